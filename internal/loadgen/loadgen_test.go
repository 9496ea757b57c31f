package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/finding"
	"github.com/camphorbank/camphorbank/internal/stream"
)

// TestMain guards against requests that go on after Run has returned, by a check for leaked goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func options(url string) Options {
	o := Defaults()
	o.Entries, o.Keys = []string{url}, []string{"key"}
	o.Model, o.Service, o.Operation, o.BookingOperation = "m", "s", "status", "reserve"
	o.Rate, o.Duration, o.Timeout = 400, 250*time.Millisecond, 20*time.Second
	return o
}

// fakeEntry returns a handler that answers like an entry, except for the named fault. An empty fault stands for correct
// answers.
func fakeEntry(fault string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Body string `json:"body"`
			ID   string `json:"client_request_id"`
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		text, id, hash := "some text", q.ID, stream.Hash("some text")
		switch fault {
		case "foreign":
			id, q.Body = id+"0", q.Body+"0"
		case "cut":
			text = "some"
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Camphorbank-Request-Id", "r")
		switch fault {
		case "malformed":
			fmt.Fprint(w, `{"request_id":"r"}`)
			return
		case "refused":
			w.Header().Set("Camphorbank-Outcome", "not-run")
			w.Header().Set("Camphorbank-Reason", "queue-full")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"name":"unavailable","outcome":"not-run","reason":"queue-full","message":"m","request_id":"r"}`)
			return
		}
		w.Header().Set("Camphorbank-Outcome", "completed")
		switch {
		case strings.HasSuffix(r.URL.Path, "/stream"):
			w.Header().Set("Content-Type", "text/event-stream")
			seq := 1
			if fault == "reordered" {
				seq = 2
			}
			fmt.Fprintf(w, "data: {\"kind\":\"text\",\"request_id\":\"r\",\"seq\":0,\"text\":%q}\n\n", text[:2])
			fmt.Fprintf(w, "data: {\"kind\":\"text\",\"request_id\":\"r\",\"seq\":%d,\"text\":%q}\n\n", seq, text[2:])
			if fault != "no-end" {
				fmt.Fprintf(w, "data: {\"kind\":\"end\",\"request_id\":\"r\",\"client_request_id\":%q,\"seq\":2,\"tokens\":2,\"text_hash\":%q,\"outcome\":\"completed\"}\n\n", id, hash)
			}
		case strings.HasSuffix(r.URL.Path, "/drafts"):
			fmt.Fprintf(w, `{"request_id":"r","client_request_id":%q,"text":%q,"tokens":2,"text_hash":%q,"target":"t","outcome":"completed"}`, id, text, hash)
		case strings.HasSuffix(r.URL.Path, "/tickets"):
			fmt.Fprint(w, `{"request_id":"r","ticket":"t","service":"s","expires_in_s":60,"outcome":"completed"}`)
		default:
			fmt.Fprintf(w, `{"request_id":"r","status":200,"body":%q,"target":"t","repeated":false,"outcome":"completed"}`, "done "+q.Body)
		}
	}
}

// TestAnswersAreChecked guards against answers that count as completed though they are truncated, unfinished, out of
// order or those to another request, and against correct answers that count as wrong.
func TestAnswersAreChecked(t *testing.T) {
	for _, tc := range []struct {
		fault    string
		streamed float64
		mix      map[Class]float64
		count    func(c *ClassResult) int64 // the counter in which all requests must appear
	}{
		{"", 0.5, Defaults().Mix, func(c *ClassResult) int64 { return c.Completed }},
		{"refused", 0.5, Defaults().Mix, func(c *ClassResult) int64 { return min(c.NotRun, c.Reasons["queue-full"], c.Refusal.TotalCount()) }},
		{"foreign", 0.5, Defaults().Mix, func(c *ClassResult) int64 { return c.Wrong }},
		{"malformed", 0, Defaults().Mix, func(c *ClassResult) int64 { return c.Wrong }},
		{"cut", 0.5, map[Class]float64{ClassShort: 1, ClassLong: 1}, func(c *ClassResult) int64 { return c.Wrong }},
		{"reordered", 1, map[Class]float64{ClassShort: 1}, func(c *ClassResult) int64 { return c.Wrong }},
		{"no-end", 1, map[Class]float64{ClassShort: 1}, func(c *ClassResult) int64 { return min(c.NoAnswer, c.Reasons[reasonConnection]) }},
	} {
		srv := httptest.NewServer(fakeEntry(tc.fault))
		o := options(srv.URL)
		o.Streamed, o.Mix = tc.streamed, tc.mix
		res, err := Run(t.Context(), o)
		srv.Close()
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range res.Classes {
			if c.Arrived == 0 || c.Dropped != 0 || tc.count(c) != c.Arrived {
				t.Errorf("fault %q: %s: %+v, examples %q", tc.fault, c.Class, *c, res.WrongExamples)
			}
		}
	}
}

// TestInFlightIsBounded guards against a generator that keeps adding requests in flight when the entry does not answer,
// that does not count the arrivals that it could not send, or that does not stop by itself.
func TestInFlightIsBounded(t *testing.T) {
	var current, highest atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n := current.Add(1)
		defer current.Add(-1)
		for old := highest.Load(); n > old && !highest.CompareAndSwap(old, n); old = highest.Load() {
		}
		buf := make([]byte, 1)
		for _, err := r.Body.Read(buf); err == nil; _, err = r.Body.Read(buf) {
		}
		<-r.Context().Done()
	}))
	defer srv.Close()
	o := options(srv.URL)
	o.MaxInFlight, o.Timeout = 7, 3*time.Second // far longer than the 250 ms of arrivals, so that none ends before the last arrival
	res, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	var arrived, dropped, noAnswer int64
	for _, c := range res.Classes {
		arrived, dropped, noAnswer = arrived+c.Arrived, dropped+c.Dropped, noAnswer+c.Reasons[reasonTimeout]
	}
	if highest.Load() > 7 || res.MaxInFlight != 7 || noAnswer != 7 || dropped != arrived-7 {
		t.Errorf("%d in flight at the entry, %d counted; %d arrived, %d dropped, %d not answered", highest.Load(), res.MaxInFlight, arrived, dropped, noAnswer)
	}
}

// TestArrivals guards against requests that depend on anything but the options, a peak that is missing or at the wrong
// time, shares of the classes that differ from the mix, and numbers of tokens outside their bounds.
func TestArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options("http://127.0.0.1:1")
		o.Seed = rapid.Uint64().Draw(t, "seed")
		o.Rate, o.Duration, o.Peak = 20, 30*time.Second, Peak{Rate: 80, Start: 10 * time.Second, Duration: 5 * time.Second}
		if err := o.Validate(); err != nil {
			t.Fatal(err)
		}
		first, second := newArrivals(&o), newArrivals(&o)
		inPeak, outsidePeak, longest, previous := 0, 0, 0, time.Duration(0)
		classes := map[Class]float64{}
		for a, ok := first.next(); ok; a, ok = first.next() {
			if b, _ := second.next(); !reflect.DeepEqual(a, b) {
				t.Fatalf("%+v and %+v of one seed", a, b)
			}
			if a.at < previous || a.tokens > o.LongestTokens || a.class == ClassShort && (a.tokens < minShortTokens || a.tokens > o.ShortTokens) ||
				a.class == ClassLong && a.tokens < o.MinLongTokens {
				t.Fatalf("arrival %+v after %s", a, previous)
			}
			previous, longest = a.at, max(longest, a.tokens)
			classes[a.class]++
			if a.at >= o.Peak.Start && a.at < o.Peak.Start+o.Peak.Duration {
				inPeak++
			} else {
				outsidePeak++
			}
		}
		// The bounds are seven standard deviations of Poisson counts with means 400 and 500, and of shares of their sum.
		if math.Abs(float64(inPeak)-400) > 140 || math.Abs(float64(outsidePeak)-500) > 157 {
			t.Errorf("%d arrivals in the peak and %d outside", inPeak, outsidePeak)
		}
		for class, weight := range o.Mix {
			if share := classes[class] / float64(inPeak+outsidePeak); math.Abs(share-weight/10) > 0.12 {
				t.Errorf("share %v of %s, want %v", share, class, weight/10)
			}
		}
		if longest < 4*o.MinLongTokens {
			t.Errorf("the longest of the long drafts has %d tokens, so their lengths have no heavy tail", longest)
		}
	})
}

// TestOptionsAreCheckedTogether guards against a run that starts with wrong options, and against a check that stops at
// the first finding.
func TestOptionsAreCheckedTogether(t *testing.T) {
	o := Options{
		Entries: []string{"http://192.0.2.1:80", "nowhere", "http://localhost:1"}, Keys: []string{""}, Rate: math.NaN(),
		Peak: Peak{Rate: 1e9, Start: time.Hour}, Duration: 2 * time.Hour, Timeout: -1, Deadline: time.Microsecond,
		Mix: map[Class]float64{ClassShort: 1, ClassLong: -1, ClassCall: 1, ClassBooking: 1, "poem": 1}, Streamed: 2,
	}
	_, err := Run(context.Background(), o)
	var list finding.List
	if !errors.As(err, &list) {
		t.Fatalf("error %v", err)
	}
	got := map[string]int{}
	for _, f := range list {
		got[f.Key]++
	}
	want := map[string]int{"entries": 3, "keys": 1, "rate": 1, "peak": 2, "duration": 1, "timeout": 1, "deadline": 1, "mix": 2, "streamed": 1,
		"max-in-flight": 1, "model": 1, "service": 1, "operation": 1, "booking-operation": 1, "short-tokens": 1}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("findings %v, want %v\n%v", got, want, err)
	}
	for url, allowed := range map[string]bool{"http://127.0.0.1:1": true, "https://[::1]:1": true, "http://10.0.0.1:1": false, "http://localhost:1": false} {
		good := options(url)
		if err := good.Validate(); (err == nil) != allowed {
			t.Errorf("%s: %v", url, err)
		}
		good.AllowRemote = true
		if err := good.Validate(); err != nil {
			t.Errorf("%s with remote entries allowed: %v", url, err)
		}
	}
}
