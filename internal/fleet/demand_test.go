package fleet

import (
	"reflect"
	"testing"

	"github.com/camphorbank/camphorbank/internal/contention"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

// TestDemandEncoding guards against a demand that is counted for another service or priority than the sender's, and
// against a process that fails on malformed bytes.
func TestDemandEncoding(t *testing.T) {
	table := routetable.Compile(routetable.Config{Services: []routetable.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
	want := Demand{"b": {{Class: 0, ArrivalsPerSecond: 8.2, InFlight: 300}, {Class: 2, ArrivalsPerSecond: 0, InFlight: 1}}, "c": {{Class: 1, ArrivalsPerSecond: 1000}}}
	encoded := encodeDemand(table, want)
	got, ok := decodeDemand(table, encoded)
	if !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %v, want %v", got, want)
	}
	if len(encoded) > 20 {
		t.Errorf("%d bytes for three priorities", len(encoded))
	}
	for n := range encoded {
		if d, ok := decodeDemand(table, encoded[:n]); ok && len(d["b"])+len(d["c"]) == 3 {
			t.Errorf("%d of %d bytes decode to %v", n, len(encoded), d)
		}
		changed := append([]byte{}, encoded...)
		changed[n] = 255
		decodeDemand(table, changed) // must not panic
	}
	if d, _ := decodeDemand(routetable.Compile(routetable.Config{}), encoded); len(d) > 0 {
		t.Errorf("decoded %v without services", d)
	}
}

// TestDemandOfOtherConfiguration guards against demand that is counted for the wrong service, since services have other
// indexes under another configuration.
func TestDemandOfOtherConfiguration(t *testing.T) {
	tables := &routetable.Store{}
	tables.Offer(routetable.Config{Version: 2, Services: []routetable.Service{{Name: "a"}}})
	var reported []Demand
	f := New(Options{Tables: tables, ReportDemand: func(_ string, d Demand) { reported = append(reported, d) }})
	encoded := encodeDemand(tables.Load(), Demand{"a": []contention.ClassDemand{{Class: 1, InFlight: 4}}})
	for _, version := range []int64{1, 2, 3} {
		f.recordDemand(Heartbeat{Config: version, Demand: encoded})
	}
	if len(reported) != 1 || reported[0]["a"][0].InFlight != 4 {
		t.Errorf("reported %v, want the demand of the same version only", reported)
	}
}
