// Package httphead checks the heads of HTTP/1 answers: their lines and their statuses.
package httphead

import (
	"errors"
	"fmt"
	"net/http"
)

// Errors of heads.
var (
	ErrMalformed = errors.New("line of a head does not end with CRLF")
	ErrEvent     = errors.New("head has a line of an event")
	ErrStatus    = errors.New("status is not one of a final answer")
)

// endOfStatuses is the first number above the statuses of HTTP.
const endOfStatuses = 600

// CheckFinal returns ErrStatus if a status is not one of a final answer. net/http reads any three digits as a status, such as 000,
// and each client takes those that it does not know for the end of the exchange or for an informational answer.
func CheckFinal(status int) error {
	if status < http.StatusOK || status >= endOfStatuses {
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return nil
}

// IsInformational reports whether another head follows one with the status. The change of the protocol ends the exchange.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// statusClassAt is the position of the first digit of the status in a status line, such as "HTTP/1.1 200 OK".
const statusClassAt = len("HTTP/1.1 ")

// eventData begins the lines of an event that hold its data.
const eventData = "data:"

// Lines checks the lines of the heads of one answer: each must end with CRLF, and none may be the data of an event. net/http
// also accepts a bare line feed: if a server drops the rest of a head and goes on with the body, lines of the body would be
// taken for header lines, and a blank line in it for the end of the head. The lines of an event may end with CRLF themselves.
// The zero value is ready for the first byte of an answer.
type Lines struct {
	length  int  // of the line so far
	event   int  // bytes of eventData that begin the line
	last    byte // of the line so far
	header  bool // the status line has ended
	interim bool // the head is that of an informational answer, after which another head follows
	ended   bool // the head of the final answer has ended
}

// Check takes the next bytes of an answer. It ignores those after the end of its head.
func (l *Lines) Check(p []byte) error {
	for _, b := range p {
		if l.ended {
			return nil
		}
		if (b == '\n') != (l.last == '\r') {
			return ErrMalformed
		}
		if b == '\n' {
			l.endLine()
			continue
		}
		if !l.header && l.length == statusClassAt {
			l.interim = b == '1'
		}
		if l.event == l.length && l.event < len(eventData) && b == eventData[l.event] {
			l.event++
		}
		l.length++
		l.last = b
		if l.event == len(eventData) {
			return ErrEvent
		}
	}
	return nil
}

// endLine notes the end of a line.
func (l *Lines) endLine() {
	blank := l.length == len("\r")
	l.length, l.event, l.last = 0, 0, 0
	switch {
	case !blank:
		l.header = true
	case l.interim:
		*l = Lines{}
	default:
		l.ended = true
	}
}
