// Package listwatch follows the platform's list of targets and its published configuration.
package listwatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// ErrHistoryGone says that the platform no longer has the changes since the given revision.
var ErrHistoryGone = errors.New("history is gone")

// Listing is the whole list of targets.
type Listing struct {
	Revision  int64 // from which changes must be watched; the list may already hold later ones
	Targets   []targetset.Target
	Malformed []string // keys of entries that name no target
}

// Changes are the changes after a revision.
type Changes struct {
	Revision int64
	Targets  []targetset.Change
	Config   *routetable.Config // the newest of them, or nil
	Invalid  error              // why a configuration could not be decoded, or nil
}

// Source is the platform's service.
type Source interface {
	Targets(ctx context.Context) (Listing, error)
	// Config returns the published configuration. ok is false if there is none yet.
	Config(ctx context.Context) (c routetable.Config, ok bool, err error)
	// Watch returns the changes after a revision as soon as there are any, or none after the wait.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

const (
	// watchWait is the time after which a watch without changes is answered. A connection that went silent is noticed
	// soon after it, within the time in which a leaving target must be known.
	watchWait = 2500 * time.Millisecond
	// readTimeout bounds one reading call.
	readTimeout = 1500 * time.Millisecond
	// idlePause is the time between two looks whether others still read the platform.
	idlePause = 100 * time.Millisecond
	// firstPause and maxPause bound the time between two attempts to reach the platform. It doubles with each failure.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
)

// Watcher keeps targets and configuration up to date.
type Watcher struct {
	Source  Source
	Targets *targetset.Set
	Tables  *routetable.Store
	// EnoughReaders says whether enough other processes read the platform and pass on what they learn; nil for never.
	EnoughReaders func() bool
	// Notify is told each change of what the process believes; must not block.
	Notify func(Event)

	revision      int64 // up to which changes are known; 0 before the first list
	lost          bool  // the platform did not answer the latest call
	readsPlatform atomic.Bool
}

// ReadsPlatform says whether this process follows the platform by itself and reaches it.
func (w *Watcher) ReadsPlatform() bool { return w.readsPlatform.Load() }

// Event is a change of what the process believes.
type Event struct {
	Kind     EventKind
	Version  int64 // of the configuration
	Revision int64 // of the list
	Changes  int
	Err      error
}

// EventKind names an event.
type EventKind string

// Kinds of events.
const (
	EventLost      EventKind = "list-lost"
	EventRegained  EventKind = "list-regained"
	EventListed    EventKind = "list-read"
	EventChanged   EventKind = "list-changed"
	EventConfig    EventKind = "configuration"
	EventInvalid   EventKind = "configuration-invalid"
	EventMalformed EventKind = "entry-malformed"
)

// Run follows the platform until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		if w.revision > 0 && !w.lost && w.EnoughReaders != nil && w.EnoughReaders() {
			w.readsPlatform.Store(false)
			w.pause(ctx, idlePause)
			continue
		}
		err := w.step(ctx)
		w.readsPlatform.Store(err == nil)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = firstPause
			w.regained()
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			w.revision = 0
			w.Notify(Event{Kind: EventLost, Revision: w.revision, Err: err})
			continue
		}
		w.failed(err)
		w.pause(ctx, pause)
		pause = min(maxPause, 2*pause)
	}
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (w *Watcher) failed(err error) {
	if !w.lost {
		w.lost = true
		w.Notify(Event{Kind: EventLost, Revision: w.revision, Err: err})
	}
}

func (w *Watcher) regained() {
	if w.lost {
		w.lost = false
		w.Notify(Event{Kind: EventRegained, Revision: w.revision})
	}
}

// step reads the whole list or waits for changes.
func (w *Watcher) step(ctx context.Context) error {
	if w.revision == 0 {
		return w.read(ctx)
	}
	wait := watchWait
	if w.lost {
		wait = 0 // learns at once whether the platform answers again
	}
	c, err := w.Source.Watch(ctx, w.revision, wait)
	if err != nil {
		return err
	}
	w.tellRegained()
	w.take(c)
	return nil
}

// tellRegained starts the time in which entries that expired during an outage may come back. It must precede the
// changes that tell of the expiry.
func (w *Watcher) tellRegained() {
	if w.lost {
		w.Targets.Regained(time.Now())
	}
}

func (w *Watcher) take(c Changes) {
	if c.Invalid != nil {
		w.Notify(Event{Kind: EventInvalid, Revision: c.Revision, Err: c.Invalid})
	}
	if c.Config != nil && w.Tables.Offer(*c.Config) {
		w.Notify(Event{Kind: EventConfig, Version: c.Config.Version, Revision: c.Revision})
	}
	if len(c.Targets) > 0 {
		w.Targets.Apply(c.Revision, c.Targets, time.Now())
		w.Notify(Event{Kind: EventChanged, Revision: c.Revision, Changes: len(c.Targets)})
	}
	w.revision = c.Revision
}

// read takes in the whole list and the configuration.
func (w *Watcher) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := w.Source.Targets(ctx)
	if err != nil {
		return err
	}
	conf, ok, err := w.Source.Config(ctx)
	if err != nil {
		return err
	}
	w.tellRegained()
	w.Targets.Replace(list.Revision, list.Targets, time.Now())
	if ok && w.Tables.Offer(conf) {
		w.Notify(Event{Kind: EventConfig, Version: conf.Version, Revision: list.Revision})
	}
	for _, key := range list.Malformed {
		w.Notify(Event{Kind: EventMalformed, Revision: list.Revision, Err: errors.New(key)})
	}
	w.Notify(Event{Kind: EventListed, Revision: list.Revision, Changes: len(list.Targets)})
	w.revision = list.Revision
	return nil
}
