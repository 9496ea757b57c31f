package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// refusedTimeout bounds the time for learning whether a target refuses connections. A VM on which nothing listens refuses
// at once.
const refusedTimeout = 100 * time.Millisecond

// Refused reports whether the target refuses connections, which means that its process has ended. It opens a connection
// and keeps it for a later request if the target accepts it. A target that cannot be reached does not refuse.
func (p *Pool) Refused(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusedTimeout)
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.idleLimit = defaultMaxIdle
	p.putIdle(c)
	return false
}
