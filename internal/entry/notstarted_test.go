package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/ticket"
)

// TestRetryThatIsNotStarted guards against an entry that refuses to start a retry of a booking and reports not-run,
// although an earlier request with the same ticket may have run.
func TestRetryThatIsNotStarted(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason outcome.Reason
		refuse func(e *Entry, r *Request)
	}{
		{"stopping", outcome.Stopping, func(e *Entry, _ *Request) { e.Stop() }},
		{"over the account's limit", outcome.AccountLimit, func(e *Entry, r *Request) {
			r.Account.MaxInFlight = 1
			e.limits.admit(r.Account, time.Now())
		}},
	} {
		for _, ticketed := range []bool{false, true} {
			s := &scriptedFleet{}
			e, r := s.entry(1), s.request(t, "slot", false, time.Minute)
			want := outcome.NotRun
			if ticketed {
				r.Ticket, want = &ticket.Ticket{}, outcome.Unknown
			}
			c.refuse(e, r)
			_, err := e.Do(t.Context(), r, &collector{})
			var got *Refusal
			if !errors.As(err, &got) || got.Outcome != want || got.Reason != c.reason || got.RetryAfter <= 0 {
				t.Errorf("%s, ticket %v: got %+v, want outcome %s", c.name, ticketed, err, want)
			}
		}
	}
}
