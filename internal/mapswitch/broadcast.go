package mapswitch

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// broadcast sends a message to all ranks concurrently, resends it to each rank until that rank's reply is final, and
// returns the replies by rank.
func (c *Coordinator) broadcast(ctx context.Context, method string, message func(wire.GroupAddress) any,
	final func(wire.GroupReply) bool) ([]wire.GroupReply, error) {
	replies := make([]wire.GroupReply, c.opt.Ranks)
	c.updateStatus(func(s *Status) {
		s.Waiting = s.Waiting[:0]
		for rank := range c.opt.Ranks {
			s.Waiting = append(s.Waiting, rank)
		}
	})
	group, ctx := errgroup.WithContext(ctx)
	for rank := range c.opt.Ranks {
		group.Go(func() error {
			reply, err := c.sendUntilFinal(ctx, rank, method, message(wire.GroupAddress{Group: c.opt.Group, Rank: rank}), final)
			replies[rank] = reply
			if err == nil {
				c.updateStatus(func(s *Status) { s.Waiting = slices.DeleteFunc(s.Waiting, func(r int) bool { return r == rank }) })
			}
			return err
		})
	}
	return replies, group.Wait()
}

// sendUntilFinal sends a message to a rank repeatedly until the reply is final, the rank obeys another coordinator, or
// ctx ends. Failed calls are retried, and so are refusals by a process that does not know the present coordinator yet
// or that serves another rank.
func (c *Coordinator) sendUntilFinal(ctx context.Context, rank int, method string, message any, final func(wire.GroupReply) bool) (wire.GroupReply, error) {
	for {
		reply, err := c.opt.Call(ctx, rank, method, message)
		switch {
		case err != nil || reply.Refusal == wire.RefusedNotLearnt || reply.Refusal == wire.RefusedAddress:
		case reply.Refusal == wire.RefusedOlder || reply.Refusal == wire.RefusedNotJoined:
			return reply, ErrSuperseded
		case final(reply):
			return reply, nil
		}
		select {
		case <-time.After(c.opt.Retry):
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}
