package fleet

import (
	"encoding/binary"
	"math"

	"github.com/camphorbank/camphorbank/internal/contention"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

// Demand is the demand for the services with priorities, by service.
type Demand map[string][]contention.ClassDemand

// rateUnitsPerSecond is the number of units of an encoded rate in one request per second.
const rateUnitsPerSecond = 10

// maxEncodedRate bounds a decoded rate, in units. A higher one is malformed.
const maxEncodedRate = 1 << 30

// encodeDemand returns a demand as variable-length integers: for each service its index in the configuration and the
// number of its classes, and for each class its number, its rate of arrivals and its requests in flight. It returns
// nil for no demand.
func encodeDemand(table *routetable.Table, demand Demand) []byte {
	if table == nil || len(demand) == 0 {
		return nil
	}
	var out []byte
	for i, s := range table.Config.Services {
		classes := demand[s.Name]
		if len(classes) == 0 {
			continue
		}
		out = binary.AppendUvarint(out, uint64(i))
		out = binary.AppendUvarint(out, uint64(len(classes)))
		for _, c := range classes {
			out = binary.AppendUvarint(out, uint64(max(0, c.Class)))
			out = binary.AppendUvarint(out, uint64(math.Round(max(0, c.ArrivalsPerSecond)*rateUnitsPerSecond)))
			out = binary.AppendUvarint(out, uint64(max(0, c.InFlight)))
		}
	}
	return out
}

// decodeDemand returns the demand that encodeDemand encoded with the same configuration. It returns false if the bytes
// are malformed.
func decodeDemand(table *routetable.Table, encoded []byte) (Demand, bool) {
	out, services := Demand{}, table.Config.Services
	ok := len(services) > 0 || len(encoded) == 0
	next := func(limit uint64) int {
		v, n := binary.Uvarint(encoded)
		if n <= 0 || v > limit {
			ok, encoded = false, nil
			return 0
		}
		encoded = encoded[n:]
		return int(v)
	}
	for ok && len(encoded) > 0 {
		service, classes := next(uint64(len(services)-1)), next(uint64(len(encoded)))
		for i := 0; i < classes && ok; i++ {
			c := contention.ClassDemand{Class: next(math.MaxInt32)}
			c.ArrivalsPerSecond = float64(next(maxEncodedRate)) / rateUnitsPerSecond
			c.InFlight = next(math.MaxInt32)
			if name := services[service].Name; ok {
				out[name] = append(out[name], c)
			}
		}
	}
	return out, ok
}

// recordDemand records and reports the demand that a heartbeat states. It ignores a demand under another configuration, in which
// the indexes of services may mean others.
func (f *Fleet) recordDemand(h Heartbeat) {
	table := f.opt.Tables.Load()
	encoded := h.Demand
	if h.Summary != nil {
		encoded = h.Summary.Demand
	}
	if table == nil || table.Config.Version != h.Config || len(encoded) == 0 || f.opt.ReportDemand == nil {
		if h.Summary == nil {
			f.storeDemand(h.From, nil) // an earlier one must not go on to other data centres
		}
		return
	}
	demand, ok := decodeDemand(table, encoded)
	if !ok || h.Summary == nil && !f.storeDemand(h.From, demand) {
		return
	}
	f.opt.ReportDemand(inFlightSource(h), demand)
}

// ownDemand returns this entry's demand.
func (f *Fleet) ownDemand() Demand {
	if f.opt.Demand == nil {
		return Demand{}
	}
	return f.opt.Demand()
}

// storeDemand stores the demand at one entry. It returns false if it is contained in the summaries of the entry's data
// centre.
func (f *Fleet) storeDemand(from Entry, demand Demand) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isRemote(from) && f.summarizes() {
		return false
	}
	if e := f.entries[from.Control]; e != nil {
		e.demand = demand
	}
	return true
}

// addDemand adds the demand at another entry to a sum.
func addDemand(sum, other Demand) {
	for service, classes := range other {
		for _, c := range classes {
			sum[service] = addClass(sum[service], c)
		}
	}
}

func addClass(classes []contention.ClassDemand, c contention.ClassDemand) []contention.ClassDemand {
	for i := range classes {
		if classes[i].Class == c.Class {
			classes[i].ArrivalsPerSecond += c.ArrivalsPerSecond
			classes[i].InFlight += c.InFlight
			return classes
		}
	}
	return append(classes, c)
}
