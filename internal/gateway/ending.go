package gateway

import (
	"errors"
	"io"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

// Ending states how the answer of a target ended, and how this is known.
type Ending string

// Endings of complete answers.
const (
	EndLength Ending = "length"     // it has the length that its head states
	EndChunks Ending = "last-chunk" // the last chunk has arrived
	EndNoBody Ending = "no-body"    // its method or status allows no body
	// EndConnection means that the answer has neither a length nor chunks, and its connection was closed in order. Such an
	// answer cannot be told from one that broke off there, unless it ends within an event or its target has ended too.
	EndConnection Ending = "connection-closed"
)

// Endings of incomplete answers.
const (
	BrokenNoHead     Ending = "no-head"      // the connection ended before the head was complete
	BrokenShort      Ending = "short"        // the connection was closed before the stated length or the last chunk
	BrokenConnection Ending = "connection"   // the connection failed
	BrokenTime       Ending = "time"         // the time limit of the request passed
	BrokenStop       Ending = "stopped"      // the planned stop of the process ended the request
	BrokenLeft       Ending = "caller-left"  // the caller left before the end
	BrokenEndless    Ending = "endless"      // it exceeds the bound for answers without a stated length
	BrokenCrash      Ending = "target-ended" // it ended with its connection, and so did the process of its target
	BrokenInEvent    Ending = "inside-event" // its stream ended within an event
	BrokenLongEvent  Ending = "long-event"   // an event exceeds the bound
	BrokenNoEvent    Ending = "no-event"     // its stream had no event
	BrokenMalformed  Ending = "malformed"    // a line of its stream is no field of an event
	BrokenOrder      Ending = "event-order"  // an event does not follow the one before it
	BrokenNoStream   Ending = "no-stream"    // it should continue a stream, but is no answer of that kind
	BrokenForeign    Ending = "foreign"      // it is not the target's own answer to this request
)

// Complete reports whether the answer may end in order for its caller.
func (e Ending) Complete() bool {
	switch e {
	case EndLength, EndChunks, EndNoBody, EndConnection:
		return true
	}
	return false
}

// connectionLost reports whether the connection to the target ended, as it does if the target's process ends.
func (e Ending) connectionLost() bool {
	switch e {
	case BrokenNoHead, BrokenShort, BrokenConnection, BrokenCrash, BrokenInEvent, BrokenNoEvent:
		return true
	}
	return false
}

// bodyEnding returns the ending of an answer whose body was read until err.
func bodyEnding(f upstream.Framing, err error) Ending {
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return framedEnding(f)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return BrokenShort
	case errors.Is(err, errEndless):
		return BrokenEndless
	case errors.Is(err, errLongEvent):
		return BrokenLongEvent
	default:
		return BrokenConnection
	}
}

// framedEnding returns the ending of an answer that was read to the end that its framing states.
func framedEnding(f upstream.Framing) Ending {
	switch f {
	case upstream.FramingNone:
		return EndNoBody
	case upstream.FramingLength:
		return EndLength
	case upstream.FramingChunked:
		return EndChunks
	default:
		return EndConnection
	}
}

// ending returns the ending of a stream that was read until err.
func (s *targetStream) ending(err error, inEvent bool) Ending {
	e := bodyEnding(s.resp.Framing, err)
	switch {
	case !e.Complete():
		return e
	case inEvent:
		return BrokenInEvent
	case s.events == 0 && !s.mayBeEmpty(e):
		return BrokenNoEvent
	}
	return e
}

// mayBeEmpty reports whether the stream is complete without an event. Its framing has to show that it is whole. An empty
// continuation says that nothing is left only if no further event has begun before.
func (s *targetStream) mayBeEmpty(e Ending) bool {
	if e == EndConnection {
		return false
	}
	return s.x.route.Kind != routetable.KindStream || s.resumed && !s.x.eventBegun
}
