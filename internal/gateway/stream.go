package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/upstream"
)

const (
	// eventBufferBytes is the initial size of the buffer into which events are read.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
)

var errMalformedEvents = errors.New("stream: events are malformed")

// stream passes events on as they arrive. It passes on complete events only, so that the stream can be resumed at
// another target after the last one.
func (x *exchange) stream(resp *upstream.Response) (result, error) {
	buf := make([]byte, 0, eventBufferBytes)
	last := time.Now()
	received := 0
	for {
		if received > maxUnframedBytes {
			resp.Finish(false)
			return resultBroken, errEndless
		}
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventBytes {
				resp.Finish(false)
				return resultBroken, errMalformedEvents
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		received += n
		if end := wholeEvents(buf); end > 0 {
			now := time.Now()
			gap := time.Duration(0)
			if x.record.FirstByte > 0 {
				gap = now.Sub(last)
				x.record.LongestGap = max(x.record.LongestGap, gap)
			}
			x.lease.EventReceived(gap)
			last = now
			if !x.passOnEvents(resp, buf[:end]) {
				resp.Finish(false)
				return resultCallerLeft, nil
			}
			buf = append(buf[:0], buf[end:]...)
		}
		if err == nil {
			continue
		}
		return x.endStream(resp, buf, err)
	}
}

// endStream determines the result of a target's stream that has ended with err. rest is the data after the last
// complete event.
func (x *exchange) endStream(resp *upstream.Response, rest []byte, err error) (result, error) {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(rest)) == 0 && x.headSent {
		resp.Finish(true)
		x.record.setOutcome(OutcomeServed, "")
		return resultServed, nil
	}
	resp.Finish(false)
	if x.ctx.Err() != nil {
		return x.contextResult(result{}), err
	}
	return resultBroken, err
}

// passOnEvents sends complete events to the caller, and reports whether the caller is still connected.
func (x *exchange) passOnEvents(resp *upstream.Response, events []byte) bool {
	if !x.headSent {
		x.copyHead(resp)
		x.w.WriteHeader(resp.Status)
	}
	if _, err := x.w.Write(events); err != nil {
		x.record.setOutcome(OutcomeLeft, "")
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.record.setOutcome(OutcomeLeft, "")
		return false
	}
	if id, ok := lastEventID(events); ok {
		x.lastSentEventID = id
	}
	return true
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// wholeEvents returns the length of the complete events at the start of the buffer.
func wholeEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(b, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	for len(events) > 0 {
		i := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		line := bytes.TrimRight(events[i:], "\r\n")
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):])), true
		}
		events = events[:i]
	}
	return "", false
}
