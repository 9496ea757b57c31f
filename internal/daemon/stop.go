package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/httpdrain"
)

// stopTimeout bounds a graceful stop. It is longer than the longest deadline of a request and the time that a booking
// may continue after its deadline, so that a stop cuts off no request.
const stopTimeout = attempt.MaxDeadline + time.Minute

// revokeLinger is how long a local process still answers revokes after its last work has ended. When the closing
// listener resets the connection of an entry, the entry asks within a few milliseconds whether its attempt ran. Without
// an answer the outcome of a booking is unknown.
const revokeLinger = 200 * time.Millisecond

// servers holds the servers and the listener that shutDown closes.
type servers struct {
	work      *httpdrain.Listener
	operators *http.Server
	control   net.Listener
	peers     *peer.Server
}

// shutDown ends the process gracefully. At first the process isn't ready any more and its load reports say that it is
// draining, but it accepts new work for the given delay. Then it refuses new work, and closes the listeners when the
// work in flight has ended. It answers revokes until then.
func (d *daemon) shutDown(ctx context.Context, s servers, delay time.Duration) error {
	log.WithField("delay", delay).Info("stopping")
	d.stopping.Store(true)
	if d.local != nil {
		d.local.SetStopping()
	}
	// Responses now tell clients to close their connections, so that few requests arrive on a connection that the server
	// is closing.
	s.work.CloseAfterAnswers()
	time.Sleep(delay)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := d.finishWork(stopCtx, s.work)
	_ = s.operators.Shutdown(stopCtx)
	_ = s.control.Close()
	s.peers.Close()
	log.Info("stopped")
	return err
}

// finishWork refuses new work and returns when the work in flight has ended.
func (d *daemon) finishWork(ctx context.Context, work *httpdrain.Listener) error {
	if d.local == nil {
		d.entry.Stop()
		return work.Shutdown(ctx)
	}
	d.local.Stop()
	err := errors.Join(work.Shutdown(ctx), d.local.Wait(ctx))
	time.Sleep(revokeLinger)
	return err
}
