package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// evacuate starts or ends the evacuation of data centres at a revision of the list.
func (f *fixture) evacuate(revision int64, ended bool, dataCentres ...string) {
	at := targetset.Position{Revision: revision}
	var changes []targetset.EvacuationChange
	for _, name := range dataCentres {
		changes = append(changes, targetset.EvacuationChange{DataCentre: name, Position: at, Ended: ended})
	}
	f.gateway.Targets.Apply(at, nil, time.Now(), changes...)
}

// TestEvacuatedTargetsGetNothing guards against requests to an evacuated data centre on kept connections, also in retries, and
// against callers that wait for a target although all data centres are evacuated.
func TestEvacuatedTargetsGetNothing(t *testing.T) {
	f := newFixture(t, target.Answer(200, "near"), target.Answer(200, "far"))
	if a := f.do("GET", "/safe/x", ""); a.body != "near" {
		t.Fatalf("%+v", a)
	}
	f.evacuate(2, false, "near")
	if a := f.do("GET", "/safe/x", ""); a.body != "far" {
		t.Errorf("first data centre evacuated: %+v", a)
	}
	f.second.SetBehaviour(target.Raw("HTTP/1.1 503 Busy\r\n"+target.HeaderID+": ID\r\n"+target.HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n", true))
	if a := f.do("GET", "/safe/x", ""); a.status != 503 {
		t.Errorf("the only target left refuses: %+v", a)
	}
	f.evacuate(3, false, "far")
	started := time.Now()
	a := f.do("GET", "/safe/x", "", "X-Camphorbank-Deadline-Ms", "900") // of a returning caller
	if a.status != 503 || a.header.Get("Retry-After") == "" || !strings.Contains(a.body, "targets-evacuated") || time.Since(started) > 100*time.Millisecond {
		t.Errorf("both evacuated: %+v after %v", a, time.Since(started))
	}
	if near, far := len(f.first.Arrivals()), len(f.second.Arrivals()); near != 1 || far != 2 {
		t.Errorf("%d requests reached the first and %d the second data centre, want 1 and 2", near, far)
	}
	f.evacuate(4, true, "near")
	if a := f.do("GET", "/safe/x", ""); a.body != "near" {
		t.Errorf("evacuation ended: %+v", a)
	}
}

// TestEvacuationBeforeFirstByte guards against a request for a target that was chosen immediately before its data centre was
// evacuated, and against one that is then refused although another target is left.
func TestEvacuationBeforeFirstByte(t *testing.T) {
	f := newFixture(t, target.Answer(200, "near"), target.Answer(200, "far"))
	chosen := false
	f.gateway.Balance.Connected = func(string) bool { // asked while the target is being chosen
		if !chosen {
			chosen = true
			f.evacuate(2, false, "near")
		}
		return true
	}
	if a := f.do("POST", "/unsafe/x", "b"); a.body != "far" || f.arrivals() != 1 {
		t.Errorf("%+v after %d arrivals", a, f.arrivals())
	}
	if r := <-f.records; r.Outcome != gateway.OutcomeServed || len(r.Attempts) != 2 || r.Attempts[0].Result != "evacuated" {
		t.Errorf("%+v", r)
	}
}

// TestStreamsDuringEvacuation guards against a running stream that an evacuation cuts off, and against one that is continued in
// an evacuated data centre.
func TestStreamsDuringEvacuation(t *testing.T) {
	for name, c := range map[string]struct {
		cut      bool
		evacuate string
		events   int // that the caller gets
	}{
		"runs on":                {false, "near", 10},
		"continued elsewhere":    {true, "near", 10},
		"not continued anywhere": {true, "far", 5},
	} {
		t.Run(name, func(t *testing.T) {
			first := target.Stream(10, 20*time.Millisecond, false)
			if c.cut {
				first = target.Stream(5, 20*time.Millisecond, true)
			}
			f := newFixture(t, first, target.Stream(10, time.Millisecond, false))
			done := make(chan answer)
			go func() { done <- f.do("POST", "/stream/x", "prompt") }()
			for f.arrivals() == 0 {
				time.Sleep(time.Millisecond)
			}
			f.evacuate(2, false, c.evacuate)
			a := <-done
			if n := strings.Count(a.body, "data:"); n != c.events || (a.err == nil) != (n == 10) {
				t.Errorf("%d events, %+v", n, a)
			}
			if c.evacuate == "far" && len(f.second.Arrivals()) > 0 {
				t.Error("the stream was continued in the evacuated data centre")
			}
		})
	}
}
