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
	// eventBuffer is the space for events that are being read.
	eventBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

var errNoEvents = errors.New("stream: events are malformed")

// stream passes events on as they come, whole ones only, so that the stream can go on at another target.
func (x *exchange) stream(resp *upstream.Response) (result, error) {
	buf := make([]byte, 0, eventBuffer)
	last := time.Now()
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventBytes {
				resp.Finish(false)
				return resultBroken, errNoEvents
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := wholeEvents(buf); end > 0 {
			now := time.Now()
			pause := time.Duration(0)
			if x.record.FirstByte > 0 {
				pause = now.Sub(last)
				x.record.LongestGap = max(x.record.LongestGap, pause)
			}
			x.lease.EventReceived(pause)
			last = now
			if !x.pass(resp, buf[:end]) {
				resp.Finish(false)
				return resultLeft, nil
			}
			buf = append(buf[:0], buf[end:]...)
		}
		if err == nil {
			continue
		}
		return x.streamEnd(resp, buf, err)
	}
}

// streamEnd judges the end of a target's stream.
func (x *exchange) streamEnd(resp *upstream.Response, rest []byte, err error) (result, error) {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(rest)) == 0 && x.begun {
		resp.Finish(true)
		x.record.end(OutcomeServed, "")
		return resultServed, nil
	}
	resp.Finish(false)
	if x.ctx.Err() != nil {
		return x.ended(result{}), err
	}
	return resultBroken, err
}

// pass sends whole events to the caller and says whether the caller is still there.
func (x *exchange) pass(resp *upstream.Response, events []byte) bool {
	if !x.begun {
		x.head(resp)
		x.w.WriteHeader(resp.Status)
	}
	if _, err := x.w.Write(events); err != nil {
		x.record.end(OutcomeLeft, "")
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.record.end(OutcomeLeft, "")
		return false
	}
	if id, ok := lastEventID(events); ok {
		x.lastSeen = id
	}
	return true
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// wholeEvents returns the length of the whole events at the start of the buffer.
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
