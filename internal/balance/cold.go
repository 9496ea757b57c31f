package balance

import (
	"time"
)

// maxColdRetryAfter bounds the retry-after time of callers whose targets are at the limit for cold targets. The limit holds for
// any second, so that a target that has reached it may get requests again within one.
const maxColdRetryAfter = time.Second

// coldRetryAfter returns the retry-after time of callers whose targets are at the limit for cold targets.
func (b *Balancer) coldRetryAfter() time.Duration {
	return time.Duration(float64(maxColdRetryAfter) * (1 - retryAfterJitter*b.Random()))
}

// MaySend reports whether the limit for cold targets permits sending the request now. It must be called immediately before the
// first byte is sent, for each connection on which the request is tried.
func (l *Lease) MaySend() bool {
	l.atColdLimit = !l.cold.MaySend(l.b.now())
	return !l.atColdLimit
}

// AtColdLimit reports whether MaySend has refused the request, because too many others were sent to the target since the lease
// was taken.
func (l *Lease) AtColdLimit() bool { return l.atColdLimit }

// ReportCold records that the target has stated in an answer that it stays cold for the duration.
func (l *Lease) ReportCold(d time.Duration) { l.cold.ReportCold(d, l.b.now()) }
