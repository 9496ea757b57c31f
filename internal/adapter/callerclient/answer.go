package callerclient

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
)

// Kinds of the events in a streamed answer. A restart event discards all text before it.
const (
	EventText    = "text"
	EventRestart = "restart"
	EventEnd     = "end"
	EventError   = "error"
)

// ErrIncomplete means that the events of a stream do not form one complete answer.
var ErrIncomplete = errors.New("incomplete answer")

// AnswerChecker checks that the events of one stream form a complete answer: none is missing, out of order or altered.
// It does not keep the text. The zero value is ready for use. It is not safe for concurrent use.
type AnswerChecker struct {
	digest     xxhash.Digest
	started    bool
	requestID  string
	textEvents int
	ended      bool
}

// Add checks the next event. It returns an error that wraps ErrIncomplete if the event lacks an attribute that its kind
// requires, belongs to another request or is out of order, or if it is an end event whose count of text events or hash
// differs from those of the received text.
func (a *AnswerChecker) Add(e *api.DraftEvent) error {
	if a.ended {
		return fmt.Errorf("%w: %s event after the end", ErrIncomplete, e.Kind)
	}
	if !a.started {
		a.started, a.requestID = true, e.RequestID
		a.digest.Reset()
	}
	if e.RequestID != a.requestID || a.requestID == "" {
		return fmt.Errorf("%w: event of request %q in the answer of %q", ErrIncomplete, e.RequestID, a.requestID)
	}
	switch e.Kind {
	case EventText:
		return a.addText(e)
	case EventRestart:
		a.textEvents = 0
		a.digest.Reset()
		return nil
	case EventEnd:
		return a.addEnd(e)
	case EventError:
		a.ended = true
		if e.Outcome == nil || e.Reason == nil {
			return fmt.Errorf("%w: error event without outcome or reason", ErrIncomplete)
		}
		return nil
	}
	return fmt.Errorf("%w: event of unknown kind %q", ErrIncomplete, e.Kind)
}

func (a *AnswerChecker) addText(e *api.DraftEvent) error {
	if e.Text == nil || e.Seq != a.textEvents {
		return fmt.Errorf("%w: text event %d after %d text events", ErrIncomplete, e.Seq, a.textEvents)
	}
	a.textEvents++
	_, _ = a.digest.WriteString(*e.Text)
	return nil
}

func (a *AnswerChecker) addEnd(e *api.DraftEvent) error {
	a.ended = true
	if e.Outcome == nil || e.Tokens == nil || e.TextHash == nil {
		return fmt.Errorf("%w: end event without outcome, tokens or hash", ErrIncomplete)
	}
	if got := fmt.Sprintf("%016x", a.digest.Sum64()); got != *e.TextHash || e.Seq != a.textEvents {
		return fmt.Errorf("%w: %d text events with hash %s, expected %d with %s", ErrIncomplete, a.textEvents, got, e.Seq, *e.TextHash)
	}
	return nil
}
