package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Fault is the kind of network fault injected into one request.
type Fault int

// The faults. The zero value passes a request on unchanged.
const (
	Pass        Fault = iota
	CutRequest        // the connection is reset after Bytes bytes of the request
	CutResponse       // the connection is reset after Bytes bytes of the response
	Delay             // the request is passed on after Wait
	Redeliver         // the client's connection is reset, and the request arrives on a new one after Wait
	Duplicate         // the request is passed on, and a copy arrives on a new connection after Wait
	faults            // number of faults
)

// Injection is the fault of one request with its parameters.
type Injection struct {
	Fault Fault
	Bytes int           // of CutRequest and CutResponse
	Wait  time.Duration // of Delay, Redeliver and Duplicate
}

// Plan returns the injection for request n of a link, counted from 0.
type Plan func(n int) Injection

// Rates are the shares of requests that get each fault, and the upper bounds of the parameters.
type Rates struct {
	CutRequest, CutResponse, Delay, Redeliver, Duplicate float64
	MaxBytes                                             int           // upper bound of Injection.Bytes
	MaxWait                                              time.Duration // upper bound of Injection.Wait
}

// Seeded returns a plan that draws an injection for each request from the seed and the request number only, so that
// runs with the same seed have the same plan.
func Seeded(seed uint64, r Rates) Plan {
	return func(n int) Injection {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		f := Injection{Bytes: rng.IntN(r.MaxBytes + 1), Wait: time.Duration(rng.Int64N(int64(r.MaxWait) + 1))}
		draw := rng.Float64()
		shares := [faults]float64{CutRequest: r.CutRequest, CutResponse: r.CutResponse, Delay: r.Delay, Redeliver: r.Redeliver, Duplicate: r.Duplicate}
		for kind, share := range shares {
			if draw < share {
				f.Fault = Fault(kind)
				return f
			}
			draw -= share
		}
		return f
	}
}
