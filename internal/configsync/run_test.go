package configsync_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/configsync"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// disagreeingReplicas is a service whose replicas have different revisions, so that every watch ends at once with
// another revision.
type disagreeingReplicas struct{ calls atomic.Int64 }

func (f *disagreeingReplicas) Read(ctx context.Context) (port.Document, error) {
	return f.Watch(ctx, 0)
}

func (f *disagreeingReplicas) Watch(context.Context, int64) (port.Document, error) {
	revision := 1 + f.calls.Add(1)%2
	return port.Document{Revision: revision, Body: document(revision, "day")}, nil
}

// noPeers is a fleet without other processes.
type noPeers struct{}

func (noPeers) Peers() []wire.VM { return nil }
func (noPeers) Heard(wire.Hello) {}
func (noPeers) Call(context.Context, string, string, any, any) error {
	return errors.New("no peers")
}

// TestRunLimitsCallsAndEnds guards against a watcher that calls the service without delay when its replicas disagree,
// against a revision in force that goes back to a lower one, and against goroutines that remain after Run ends.
func TestRunLimitsCallsAndEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	service, store := &disagreeingReplicas{}, &config.Store{}
	s := configsync.New(configsync.Options{
		Self:  func() wire.Hello { return wire.Hello{Name: "a", DataCentre: "dc"} },
		Store: store, Source: service, Fleet: noPeers{}, Caller: noPeers{}, Clock: port.SystemClock{},
		Rand: rand.New(rand.NewPCG(1, 1)), Log: &log.Logger{Handler: discard.Default},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx) }()
	begin, highest := time.Now(), int64(0)
	const calls = 8 // one by Start, five without delay, and two after 2 s each
	for service.calls.Load() < calls {
		if cur := store.Current(); cur != nil {
			if cur.Revision() < highest {
				t.Fatalf("revision %d after %d", cur.Revision(), highest)
			}
			highest = cur.Revision()
		}
		if time.Since(begin) > time.Minute {
			t.Fatalf("%d calls in a minute", service.calls.Load())
		}
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begin); took < 3*time.Second {
		t.Errorf("%d calls within %s", calls, took)
	}
	if highest != 2 || !s.Ready() {
		t.Errorf("revision %d, ready %v", highest, s.Ready())
	}
	cancel()
	<-ended
}
