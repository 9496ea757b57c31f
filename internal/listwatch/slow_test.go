package listwatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/listwatch"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// slowSource is a platform whose watches fail with an error, and whose list answers or not.
type slowSource struct {
	mu            sync.Mutex
	targets       int
	watch, list   error
	watches, read int // numbers of calls
}

func (s *slowSource) set(targets int, watch, list error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets, s.watch, s.list = targets, watch, list
}

func (s *slowSource) Targets(context.Context) (listwatch.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read++
	out := listwatch.Listing{Position: targetset.Position{Revision: 5}}
	for i := range s.targets {
		out.Targets = append(out.Targets, targetset.Target{ID: string(rune('a' + i)), Service: "s", Addr: "a", Slots: 1})
	}
	return out, s.list
}

func (s *slowSource) Published(context.Context) (listwatch.Published, error) {
	return listwatch.Published{}, nil
}

func (s *slowSource) Watch(ctx context.Context, _ int64, wait time.Duration) (listwatch.Changes, error) {
	select {
	case <-time.After(wait + 700*time.Millisecond):
	case <-ctx.Done():
		return listwatch.Changes{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	return listwatch.Changes{Position: targetset.Position{Revision: 5}}, s.watch
}

// TestChangesThatComeTooLate guards against a process that asks for the same changes for good, since they cannot be sent in the time
// of a watch, and against one that reads the list again and again while the platform is silent.
func TestChangesThatComeTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		most time.Duration // until the list is read
	}{
		"a part arrives":    {listwatch.ErrSlowChanges, 5 * time.Second},
		"nothing arrives":   {context.DeadlineExceeded, 8 * time.Second},
		"both are reported": {errors.Join(listwatch.ErrSlowChanges, context.DeadlineExceeded), 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowSource{targets: 2}
				w := &listwatch.Watcher{Source: s, Targets: targetset.New(), Tables: &routetable.Store{}, Notify: func(listwatch.Event) {}}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go w.Run(ctx)
				time.Sleep(time.Second)
				s.set(2, c.err, errors.New("silent"))
				time.Sleep(time.Minute)
				s.mu.Lock()
				watches, read := s.watches, s.read
				s.mu.Unlock()
				if c.err == context.DeadlineExceeded && 2*read > watches {
					t.Errorf("%d lists and %d watches of a silent platform", read, watches)
				}
				s.set(3, c.err, nil)
				time.Sleep(c.most)
				if n := len(w.Targets.Snapshot().ByService["s"]); n != 3 {
					t.Errorf("%d targets are known after %v, want 3", n, c.most)
				}
			})
		})
	}
}
