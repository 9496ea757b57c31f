package balance

import (
	"time"
)

// coldReturn returns the time after which a caller returns whose targets are at the limit of the requests that they may get
// while they are cold. Places become free within a second.
func (b *Balancer) coldReturn() time.Duration {
	return time.Duration(float64(time.Second) * (1 - retryAfterJitter*b.Random()))
}

// MaySend reports whether the request may be sent now, which is asked immediately before it is sent, each time.
func (l *Lease) MaySend() bool {
	l.held = !l.cold.MaySend(l.b.now())
	return !l.held
}

// Held reports whether MaySend has refused the request, since too many others were sent to the target meanwhile.
func (l *Lease) Held() bool { return l.held }

// Cold records that the target has said that it stays cold for some time.
func (l *Lease) Cold(d time.Duration) { l.cold.Cold(d, l.b.now()) }
