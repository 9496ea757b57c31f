package report

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// TestJoinMergesReports guards against a merged report that loses or counts twice what entries recorded, also after
// the reports are encoded to JSON and decoded.
func TestJoinMergesReports(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1_000_000, 0)}
	var reports []Report
	for entry := range 3 {
		r := NewRecorder(clock)
		for i := range 100 {
			r.RecordRequest(Observation{Class: ClassShort, Account: "a", Outcome: outcome.Completed, Attempts: 1,
				FirstToken: time.Duration(100*entry+i) * time.Millisecond, Total: time.Second})
			r.RecordTokenGap(ClassShort, 10*time.Millisecond)
		}
		r.RecordRequest(Observation{Class: ClassCall, Account: "b", Outcome: outcome.NotRun, Reason: outcome.QueueFull})
		raw, err := json.Marshal(r.Report(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		var back Report
		if err := json.Unmarshal(raw, &back); err != nil {
			t.Fatal(err)
		}
		reports = append(reports, back)
	}
	got, err := Merge(time.Minute, reports)
	if err != nil {
		t.Fatal(err)
	}
	short, call := got.Classes[0], got.Classes[1]
	if short.Requests != 300 || short.Completed != 300 || call.NotRun != 3 || call.Reasons[outcome.QueueFull] != 3 {
		t.Errorf("counts %+v, %+v", short.ClassCounts, call.ClassCounts)
	}
	if times, err := DecodePercentiles(short.FirstToken); err != nil || times.P95 < 280*time.Millisecond || times.P95 > 290*time.Millisecond {
		t.Errorf("p95 of the first token %v, %v; want about 285 ms", times.P95, err)
	}
	if len(got.Accounts) != 2 || got.Accounts[0] != (AccountReport{"a", 300, 300}) {
		t.Errorf("accounts %+v", got.Accounts)
	}
}

// TestWindow guards against a report that includes requests from before its window, and against a recorder that keeps
// more than bucketCount buckets.
func TestWindow(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1_000_000, 0)}
	r := NewRecorder(clock)
	requests := func(window time.Duration) (n int64) {
		for _, c := range r.Report(window).Classes {
			n += c.Requests
		}
		return n
	}
	for range 4 * bucketCount {
		r.RecordRequest(Observation{Class: ClassLong, Account: "a", Outcome: outcome.Completed})
		clock.now = clock.now.Add(bucketDuration)
	}
	if n := requests(MaxWindow); n < bucketCount-1 || n > bucketCount {
		t.Errorf("%d requests in the longest window, want one for each of %d buckets", n, bucketCount)
	}
	if n := requests(time.Minute); n > 4 {
		t.Errorf("%d requests in one minute", n)
	}
	clock.now = clock.now.Add(2 * MaxWindow)
	if n := requests(MaxWindow); n != 0 {
		t.Errorf("%d requests after an idle time", n)
	}
}

// TestAccountsAreBounded guards against memory that grows with the number of client accounts.
func TestAccountsAreBounded(t *testing.T) {
	r := NewRecorder(&fakeClock{now: time.Unix(1_000_000, 0)})
	for i := range 3 * maxAccounts {
		r.RecordRequest(Observation{Class: ClassCall, Account: string(rune('a' + i)), Outcome: outcome.Completed})
	}
	got := r.Report(MaxWindow).Accounts
	if len(got) != maxAccounts+1 || got[0].Name != otherAccounts || got[0].Requests != 2*maxAccounts {
		t.Errorf("%d accounts, first %+v", len(got), got[0])
	}
}
