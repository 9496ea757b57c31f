package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// prefixCount is the number of prefixes that prompts share, so that the prefix caches of the engines have an effect.
	prefixCount    = 24
	prefixBytes    = 512
	longExtraBytes = 8 << 10 // added to the prompt of a long draft
	secondSeed     = 0x10ad  // second half of the seed of the random number generator
	fillerText     = "price card runner proof slot venue paper layout evening press shop booking sheet title label order "
)

// arrival describes one request to send and when to send it.
type arrival struct {
	at       time.Duration // since the start of the run
	number   int           // counted from 0
	class    Class
	entry    int // index into Options.Entries
	key      string
	streamed bool
	tokens   int // upper bound on generated tokens
	prompt   string
}

// arrivals generates the arrivals of a run in the order of their times. It depends on the options only, so that runs
// with the same options send the same requests.
type arrivals struct {
	opt         *Options
	rng         *rand.Rand
	at          time.Duration
	number      int
	totalWeight float64 // of the weights of the mix
}

func newArrivals(o *Options) *arrivals {
	a := &arrivals{opt: o, rng: rand.New(rand.NewPCG(o.Seed, secondSeed))}
	for _, class := range Classes() {
		a.totalWeight += o.Mix[class]
	}
	return a
}

// next returns the next arrival, and false after the last one. The arrivals are a Poisson process whose rate depends on
// the time: candidates are drawn at the highest rate, and each is kept with a probability that gives the rate at its
// time (thinning).
func (a *arrivals) next() (arrival, bool) {
	highest := max(a.opt.Rate, a.opt.Peak.Rate)
	for {
		a.at += time.Duration(a.rng.ExpFloat64() / highest * float64(time.Second))
		if a.at >= a.opt.Duration {
			return arrival{}, false
		}
		if a.rng.Float64()*highest < a.opt.rateAt(a.at) {
			return a.drawArrival(), true
		}
	}
}

// rateAt returns the requests a second at a time since the start of the run.
func (o *Options) rateAt(at time.Duration) float64 {
	if at >= o.Peak.Start && at < o.Peak.Start+o.Peak.Duration {
		return o.Peak.Rate
	}
	return o.Rate
}

// drawArrival draws everything about the next arrival but its time.
func (a *arrivals) drawArrival() arrival {
	r := arrival{at: a.at, number: a.number, class: a.drawClass(), entry: a.number % len(a.opt.Entries)}
	a.number++
	r.key = a.opt.Keys[a.rng.IntN(len(a.opt.Keys))]
	r.streamed = a.rng.Float64() < a.opt.Streamed
	switch r.class {
	case ClassShort:
		r.tokens = minShortTokens + a.rng.IntN(a.opt.ShortTokens-minShortTokens+1)
		r.prompt = a.drawPrompt(0)
	case ClassLong:
		// The lengths have a Pareto distribution: a few drafts are many times longer than the rest.
		length := float64(a.opt.MinLongTokens) * math.Pow(1-a.rng.Float64(), -1/longParetoExponent)
		r.tokens = int(min(length, float64(a.opt.LongestTokens)))
		r.prompt = a.drawPrompt(longExtraBytes)
	}
	return r
}

// drawClass draws a class with the weights of the mix. Rounding can leave a remainder after the last class with a
// weight; that class is then returned.
func (a *arrivals) drawClass() Class {
	point := a.rng.Float64() * a.totalWeight
	last := ClassShort
	for _, class := range Classes() {
		weight := a.opt.Mix[class]
		if weight == 0 {
			continue
		}
		if last = class; point < weight {
			return class
		}
		point -= weight
	}
	return last
}

// drawPrompt returns a prompt that consists of one of the shared prefixes, a part that no other request of the run has,
// and extraBytes bytes of filler.
func (a *arrivals) drawPrompt(extraBytes int) string {
	text := fmt.Sprintf("prefix %d: ", a.rng.IntN(prefixCount)) + filler(prefixBytes)
	return text + fmt.Sprintf("request %d of seed %d ", a.number, a.opt.Seed) + filler(extraBytes)
}

// filler returns a text of the given length in bytes.
func filler(length int) string {
	return strings.Repeat(fillerText, length/len(fillerText)+1)[:length]
}
