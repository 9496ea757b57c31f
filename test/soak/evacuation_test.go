package soak_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// evacuationBound is the bound in the settings for the last request to an evacuated data centre.
	evacuationBound = 2 * time.Second
	// maxEvacuationPause is the longest time between two evacuations, and maxEvacuationTime the longest time for which one lasts
	// beyond the bound. Every third one ends before the bound.
	maxEvacuationPause = time.Second
	maxEvacuationTime  = 2 * time.Second
	// evacuatedDataCentre is the data centre that is evacuated. It has every third target of the service chat. The others are in
	// remainingDataCentre and not in that of the entries, which they would prefer.
	evacuatedDataCentre = "b"
	remainingDataCentre = "c"
	entryDataCentre     = "a"
	evacuatedPeriod     = 3
	evacuationKey       = "op/evacuate/" + evacuatedDataCentre
)

// evacuation is the time in which a data centre was evacuated.
type evacuation struct {
	DataCentre string
	From, To   time.Time // To is zero while it lasts
}

// dataCentreOf returns the data centre of the target with a number.
func dataCentreOf(service string, n int) string {
	switch {
	case service != "chat":
		return entryDataCentre
	case n%evacuatedPeriod == 0:
		return evacuatedDataCentre
	}
	return remainingDataCentre
}

// injectEvacuations evacuates a data centre again and again until ctx ends, beside the faults of the run.
func (w *system) injectEvacuations(ctx context.Context, rng *rand.Rand) {
	for n := 1; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(maxEvacuationPause))))
		lasts := evacuationBound + time.Duration(rng.Int64N(int64(maxEvacuationTime)))
		if n%evacuatedPeriod == 0 {
			lasts = time.Duration(rng.Int64N(int64(evacuationBound)))
		}
		w.t.Logf("%s evacuation of %v", time.Now().Format("05.000"), lasts)
		w.evacuate(lasts)
	}
}

// evacuate evacuates the data centre for a time.
func (w *system) evacuate(lasts time.Duration) {
	defer w.recorder.beginFault("evacuation", true)()
	w.setEvacuated(true)
	e := &evacuation{DataCentre: evacuatedDataCentre, From: time.Now()}
	w.recorder.locked(func() { w.recorder.evacuations = append(w.recorder.evacuations, e) })
	time.Sleep(lasts)
	w.recorder.locked(func() { e.To = time.Now() })
	w.setEvacuated(false)
}

// setEvacuated writes to the store whether the data centre is evacuated.
func (w *system) setEvacuated(evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = evacuated
	w.publishEvacuation()
}

// publishEvacuation writes the present state of the evacuation to the store. The caller holds mu.
func (w *system) publishEvacuation() {
	if w.evacuated {
		w.store.Put(evacuationKey, "{}")
	} else {
		w.store.Delete(evacuationKey)
	}
}

// checkEvacuations checks that a target gets no request after the bound of the evacuation of its data centre, unless a fault is
// in force. A planned restart excuses nothing, since a process that starts reads the evacuations before it sends.
func (l *recorder) checkEvacuations(id string, runs []targetRequest) {
	for _, r := range runs {
		for _, e := range l.evacuations {
			late := r.At.After(e.From.Add(evacuationBound)) && (e.To.IsZero() || r.At.Before(e.To))
			if r.DataCentre == e.DataCentre && late && l.noFaultBetween(e.From.Add(-settleTime), r.At, false) {
				l.addViolation(nil, "%s reached %s %v after its data centre was evacuated", id, r.Target, r.At.Sub(e.From))
			}
		}
	}
}

// TestChecksOfEvacuations guards against a check that misses requests to an evacuated data centre, or finds allowed ones.
func TestChecksOfEvacuations(t *testing.T) {
	reachAt := func(ms int, dataCentre string, faults ...*faultPeriod) func(*recorder, *clientRequest, *targetRequest) {
		return func(l *recorder, _ *clientRequest, r *targetRequest) {
			l.evacuations = []*evacuation{{"b", at(0), at(4000)}}
			l.faultPeriods = faults
			r.At, r.DataCentre = at(ms), dataCentre
		}
	}
	testChecks(t, []violation{
		{"after the bound", safeRoute, reachAt(2100, "b"), "evacuated"},
		{"within the bound", safeRoute, reachAt(1900, "b"), ""},
		{"after the evacuation", safeRoute, reachAt(4100, "b"), ""},
		{"in another data centre", safeRoute, reachAt(2100, "a"), ""},
		{"during a fault", safeRoute, reachAt(2100, "b", &faultPeriod{What: "store", From: at(100), To: at(500)}), ""},
		{"during another operator action", safeRoute, reachAt(2100, "b", &faultPeriod{What: "configuration", Planned: true, From: at(100), To: at(500)}), "evacuated"},
	})
}
