// Package httphead checks the lines of the heads of HTTP/1 answers.
package httphead

import "errors"

// Errors of heads.
var (
	ErrMalformed = errors.New("line of a head does not end with CRLF")
	ErrEvent     = errors.New("head has a line of an event")
)

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
