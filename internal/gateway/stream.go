package gateway

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

// position is what the caller of a stream has of it.
type position struct {
	lastEventID string // id of the last event that the caller has
	unnumbered  bool   // the last event that was sent has no id, so that the stream cannot be resumed after it
	eventBegun  bool   // an event after lastEventID has begun, so that the stream does not end there
	begunID     string // id of that event; empty if it is not known
}

// targetStream is the stream of one target for a request.
type targetStream struct {
	x        *exchange
	resp     *upstream.Response
	parser   eventParser
	ready    []byte // complete blocks that have not been sent to the caller
	events   int
	received int       // bytes
	last     time.Time // time of the last event
	resumed  bool      // it is to continue after an event that the caller has
	numbered bool      // an event with an id has arrived
}

// stream passes events on as they arrive. It passes on complete events only, so that the stream can be resumed at
// another target after the last one.
func (x *exchange) stream(resp *upstream.Response) (result, error) {
	s := &targetStream{x: x, resp: resp, last: time.Now(), resumed: x.lastEventID != "", parser: eventParser{dropMark: x.headSent}}
	before := x.position
	ending, err := s.passOn()
	resp.Finish(ending.Complete())
	r := resultServed
	switch {
	case ending.Complete():
		x.prompt.Begun()
		r.ending = ending
		x.record.setOutcome(OutcomeServed, "")
	case x.withheld && ending == BrokenStop:
		r, err = x.giveUpWithheld()
	case x.withheld:
		x.position = before // the caller has got nothing
		r = x.brokenResult(ending)
	default:
		s.noteCutEvent()
		r = x.brokenResult(ending)
	}
	r.events = s.events
	return r, err
}

// noteCutEvent records an event of which the end has not arrived. It is the next one after the last event that the caller
// has.
func (s *targetStream) noteCutEvent() {
	if _, inEvent := s.parser.rest(); !inEvent {
		return
	}
	s.x.eventBegun = true
	if id := s.parser.current.id; id != "" {
		s.x.begunID = id
	}
}

// brokenResult returns the result of an attempt whose answer is incomplete. If the request has reached its time limit or
// its caller has left, or the process stops, that is why the answer ended.
func (x *exchange) brokenResult(e Ending) result {
	r := resultBroken
	switch {
	case e == BrokenLeft:
		r = resultCallerLeft
	case x.r.Context().Err() != nil:
		r, e = x.contextResult(result{}), BrokenLeft
	case x.stopped():
		r, e = x.contextResult(result{}), BrokenStop
	case x.ctx.Err() != nil:
		r, e = x.contextResult(result{}), BrokenTime
	}
	r.ending = e
	return r
}

// passOn passes blocks of the stream on until it ends.
func (s *targetStream) passOn() (Ending, error) {
	for {
		space, err := s.parser.space()
		if err != nil && s.mayPassOnStart() {
			if !s.x.sendBlocks(s.resp, s.parser.takeStart()) {
				return BrokenLeft, nil
			}
			continue
		}
		if err != nil {
			return BrokenLongEvent, err
		}
		n, err := s.resp.Body.Read(space)
		s.parser.added(n)
		if s.received += n; s.received > maxUnframedBytes {
			return BrokenEndless, errEndless
		}
		if ending := s.passOnBlocks(); ending != "" {
			return ending, nil
		}
		if err != nil {
			return s.end(err), err
		}
	}
}

// mayPassOnStart reports whether the start of an event that exceeds the buffer may be sent to the caller. On a stream route
// it may not, as the caller is to get whole events only. On other routes answers may be large.
func (s *targetStream) mayPassOnStart() bool {
	return s.x.route.Kind != routetable.KindStream && !s.x.withheld
}

// passOnBlocks sends the complete blocks that have arrived to the caller. It returns an ending if the stream cannot go
// on.
func (s *targetStream) passOnBlocks() Ending {
	events := 0
	for {
		b, ok := s.parser.next()
		if !ok {
			break
		}
		if b.invalid {
			s.x.eventBegun = s.x.eventBegun || b.isEvent
			return s.sendReady(events, BrokenMalformed)
		}
		if b.isEvent {
			if !s.follows(b.id) {
				s.x.eventBegun = s.x.eventBegun || b.id == ""
				return s.sendReady(events, BrokenOrder)
			}
			s.events++
			events++
			if s.events == begunEvents {
				s.x.prompt.Begun()
			}
			s.numbered = s.numbered || b.id != ""
			s.x.noteEvent(b.id)
		}
		if s.x.withheld && !s.withhold(b.raw) {
			return BrokenStop
		}
		s.ready = append(s.ready, b.raw...)
	}
	return s.sendReady(events, "")
}

// sendReady sends the blocks in ready, which hold a number of events, and the head of an answer that is complete without
// any. It returns the ending, or BrokenLeft if the caller has left. A stream that is withheld is sent when it is complete.
func (s *targetStream) sendReady(events int, ending Ending) Ending {
	if events > 0 {
		s.noteEvents()
	}
	if !ending.Complete() && (len(s.ready) == 0 || s.x.withheld) || len(s.ready) == 0 && s.x.headSent {
		return ending
	}
	sent := s.x.sendBlocks(s.resp, s.ready)
	s.ready = s.ready[:0]
	if !sent {
		return BrokenLeft
	}
	return ending
}

// noteEvents records the time of the events that have arrived.
func (s *targetStream) noteEvents() {
	now, gap := time.Now(), time.Duration(0)
	if s.x.record.FirstByte > 0 {
		gap = now.Sub(s.last)
		s.x.record.LongestGap = max(s.x.record.LongestGap, gap)
	}
	s.x.lease.EventReceived(gap)
	s.last = now
}

// follows reports whether an event with the id may be sent to the caller now. Ids increase and may have gaps, but an event
// that has begun must not be left out. A continuation has to begin with an id, as nothing else shows that the caller does
// not have its events already.
func (s *targetStream) follows(id string) bool {
	last, begun := s.x.lastEventID, s.x.begunID
	if id == "" || last == "" {
		return s.numbered || !s.resumed
	}
	return isAfter(id, last) && (begun == "" || !isAfter(id, begun))
}

// isAfter reports whether an id is that of a later event. Ids that are no numbers can only be told from each other.
func isAfter(id, other string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	before, otherErr := strconv.ParseUint(other, 10, 64)
	if err == nil && otherErr == nil {
		return n > before
	}
	return id != other
}

// end returns the ending of a stream that was read until err. It sends what follows the last block if that is no part of
// an event, so that the caller gets the whole answer.
func (s *targetStream) end(err error) Ending {
	rest, inEvent := s.parser.rest()
	ending := s.x.checkCrash(s.ending(err, inEvent))
	if ending.Complete() {
		s.ready = append(s.ready, rest...)
		return s.sendReady(0, ending)
	}
	return ending
}

// noteEvent records an event that is sent to the caller.
func (x *exchange) noteEvent(id string) {
	x.eventBegun, x.begunID = false, ""
	if x.unnumbered = id == ""; !x.unnumbered {
		x.lastEventID = id
	}
}

// sendBlocks sends a part of a stream to the caller, and reports whether the caller has taken it.
func (x *exchange) sendBlocks(resp *upstream.Response, data []byte) bool {
	if !x.headSent {
		x.copyHead(resp)
		x.w.WriteHeader(resp.Status)
	}
	_, err := x.w.Write(data)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.record.setOutcome(OutcomeBroken, ReasonTimeout)
		x.truncated = true
	case err != nil:
		x.record.setOutcome(OutcomeLeft, "")
	}
	return err == nil
}
