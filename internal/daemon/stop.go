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
)

// stopTimeout bounds a graceful stop. It exceeds the longest deadline of a request with room for a booking that goes on
// after its deadline, so that a stop cuts off no request.
const stopTimeout = attempt.MaxDeadline + time.Minute

// revokeLinger is how long a local process answers revokes after its last work. An entry whose connection the closing
// listener reset asks within a few milliseconds whether its attempt ran; without an answer a booking ends as unknown.
const revokeLinger = 200 * time.Millisecond

// listeners are what a stop closes.
type listeners struct {
	work      *http.Server
	operators *http.Server
	control   net.Listener
	peers     *peer.Server
}

// stop ends the process gracefully: readiness fails and replies carry the drain mark first, new work is accepted for
// delay, then it is refused, and the listeners close when the work in flight has ended. Revokes are answered until then.
func (d *daemon) stop(ctx context.Context, l listeners, delay time.Duration) error {
	log.WithField("delay", delay).Info("stopping")
	d.stopping.Store(true)
	if d.local != nil {
		d.local.SetStopping()
	}
	// Replies tell clients to close their connections, so that few requests arrive on a connection that is closing.
	l.work.SetKeepAlivesEnabled(false)
	time.Sleep(delay)
	end, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := d.finishWork(end, l.work)
	_ = l.operators.Shutdown(end)
	_ = l.control.Close()
	l.peers.Close()
	log.Info("stopped")
	return err
}

func (d *daemon) finishWork(ctx context.Context, work *http.Server) error {
	if d.local == nil {
		d.entry.Stop()
		return work.Shutdown(ctx)
	}
	d.local.Stop()
	err := errors.Join(work.Shutdown(ctx), d.local.Wait(ctx))
	time.Sleep(revokeLinger)
	return err
}
