package entry

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/camphorbank/camphorbank/internal/config"
)

// inFlightRetryAfter is the Retry-After for an account with too many requests in flight. When one of them will end is
// not known.
const inFlightRetryAfter = time.Second

// accountLimits enforces the rate and concurrency limits of client accounts in this process. It holds the usage of each
// configured account that has sent a request.
type accountLimits struct {
	mu       sync.Mutex
	accounts map[string]*accountUsage
}

type accountUsage struct {
	limiter  *rate.Limiter
	inFlight int
}

func newAccountLimits() *accountLimits { return &accountLimits{accounts: map[string]*accountUsage{}} }

// admit counts a request of the account as in flight until release is called. If a limit is reached, release is nil and
// wait is the time after which to retry.
func (l *accountLimits) admit(a *config.ClientAccount, now time.Time) (release func(), wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(a, now)
	if a.MaxInFlight > 0 && u.inFlight >= a.MaxInFlight {
		return nil, inFlightRetryAfter
	}
	if a.RequestsPerSecond > 0 {
		r := u.limiter.ReserveN(now, 1)
		if d := r.DelayFrom(now); d > 0 {
			r.CancelAt(now)
			return nil, d
		}
	}
	u.inFlight++
	return func() { l.release(u) }, 0
}

func (l *accountLimits) release(u *accountUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
}

// usage returns the account's usage, with its limiter set to the rate limit of a. The limiter's burst is the number of
// requests that the rate permits in one second.
func (l *accountLimits) usage(a *config.ClientAccount, now time.Time) *accountUsage {
	limit, burst := rate.Limit(a.RequestsPerSecond), max(1, int(math.Ceil(a.RequestsPerSecond)))
	u := l.accounts[a.Name]
	if u == nil {
		u = &accountUsage{limiter: rate.NewLimiter(limit, burst)}
		l.accounts[a.Name] = u
	}
	if u.limiter.Limit() != limit {
		u.limiter.SetLimitAt(now, limit)
		u.limiter.SetBurstAt(now, burst)
	}
	return u
}
