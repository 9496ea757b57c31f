package configcheck

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/gateway"
)

const (
	// minHeaderBytes is the size of the headers that a request of this platform needs at least.
	minHeaderBytes = 1 << 10
	// minConnTimeout is the shortest time limit of a connection that covers a lost packet at its start, which is sent again
	// after a second.
	minConnTimeout = time.Second
)

func (k *checker) checkLimits() {
	l := k.config.Limits
	for _, c := range []struct {
		field       Field
		value       int64
		least, most int64 // 0 for no bound
		unit        int64
		unitName    string
	}{
		{HeaderBytes, int64(l.HeaderBytes), minHeaderBytes, gateway.MaxHeaderBytes, 1, "bytes"},
		{BodyBytes, l.BodyBytes, 0, 0, 1, "bytes"},
		{HeaderTimeout, int64(l.HeaderTimeout), int64(minConnTimeout), int64(gateway.HeaderTimeout), int64(time.Millisecond), "ms"},
		{IdleTimeout, int64(l.IdleTimeout), int64(minConnTimeout), int64(gateway.IdleTimeout), int64(time.Millisecond), "ms"},
	} {
		at := Place{Section: Limits, Field: c.field}
		switch {
		case c.value < 0:
			k.add(Error, at, "must not be negative")
		case c.value > 0 && c.value < c.least:
			k.add(Warning, at, "%d is below the %d %s that requests need", c.value/c.unit, c.least/c.unit, c.unitName)
		case c.most > 0 && c.value > c.most:
			k.add(Warning, at, "has no effect above the %d %s that entries allow", c.most/c.unit, c.unitName)
		}
	}
}
