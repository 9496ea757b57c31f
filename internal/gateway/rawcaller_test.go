package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

// callerKind is a version of HTTP and a use of the connection by a caller.
type callerKind struct {
	name, version, header string
	kept                  bool // the connection stays open after a complete answer
}

var callerKinds = []callerKind{
	{"HTTP/1.1 kept", "HTTP/1.1", "", true},
	{"HTTP/1.1 closed", "HTTP/1.1", "Connection: close\r\n", false},
	{"HTTP/1.0", "HTTP/1.0", "", false},
}

// answerEnd is how an answer ended for its caller.
type answerEnd string

const (
	endedInOrder   answerEnd = "in order"
	endedShort     answerEnd = "closed before the end of its framing"
	endedByReset   answerEnd = "reset"
	endedMalformed answerEnd = "malformed"
	endedNever     answerEnd = "still open"
)

// seenAnswer is what a caller has read of an answer.
type seenAnswer struct {
	status int
	header textproto.MIMEHeader
	body   string // without its framing
	end    answerEnd
	raw    string // all bytes of the connection
}

func (a seenAnswer) String() string {
	raw := a.raw
	if len(raw) > 600 {
		raw = raw[:300] + "..." + raw[len(raw)-300:]
	}
	return fmt.Sprintf("status %d, ended %s; bytes %q", a.status, a.end, raw)
}

// rawCallerLimit is the time after which a caller takes its answer for one that never ends. It is longer than all limits of
// requests in these tests.
const rawCallerLimit = soundLimit + 10*time.Second

// call sends a request on a connection of its own and reads what follows to its end. progress is called with what has
// been read of the body so far.
func (k callerKind) call(addr, path, header string, progress func(body string)) (seenAnswer, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return seenAnswer{}, err
	}
	defer c.Close()
	// The connection leaves no TIME_WAIT when it is closed with a reset; thousands of them would use up the ports.
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		return seenAnswer{}, err
	}
	if err := c.SetDeadline(time.Now().Add(rawCallerLimit)); err != nil {
		return seenAnswer{}, err
	}
	if _, err := io.WriteString(c, "POST "+path+" "+k.version+"\r\nHost: test.example\r\n"+target.HeaderID+": req-1\r\nAuthorization: Bearer k1\r\n"+
		k.header+header+"Content-Length: 1\r\n\r\nx"); err != nil {
		return seenAnswer{}, err
	}
	raw, buf := "", make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		raw += string(buf[:n])
		a, rest := parseAnswer(raw, errors.Is(err, io.EOF))
		a.raw = raw
		progress(a.body)
		switch {
		case err == nil && a.end == endedInOrder && k.kept && rest == "":
			return a, k.checkKept(c)
		case err == nil && a.end != endedMalformed:
			continue
		case errors.Is(err, syscall.ECONNRESET):
			a.end = endedByReset
		case errors.Is(err, os.ErrDeadlineExceeded):
			a.end = endedNever
		case err != nil && !errors.Is(err, io.EOF):
			return a, err
		case a.end == endedInOrder && rest != "":
			a.end = endedMalformed
		case a.end == endedInOrder && k.kept:
			return a, errors.New("the connection was closed after a complete answer")
		}
		return a, nil
	}
}

// checkKept checks that another request on the connection gets its own answer, so that no byte follows the answer before.
func (k callerKind) checkKept(c net.Conn) error {
	_, err := io.WriteString(c, "GET /other/x "+k.version+"\r\nHost: test.example\r\n"+target.HeaderID+": req-2\r\n\r\n")
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Errorf("second request on the connection: %w", err)
	}
	defer resp.Body.Close()
	if id := resp.Header.Get(target.HeaderID); resp.StatusCode != http.StatusNotFound || id != "req-2" {
		return fmt.Errorf("second request on the connection got the answer to %q with status %d", id, resp.StatusCode)
	}
	return nil
}

// parseAnswer divides the bytes of a connection into an answer and the bytes after it. closed states that the connection
// was closed in order after them.
func parseAnswer(raw string, closed bool) (a seenAnswer, rest string) {
	a.end = endedShort
	head, body, found := strings.Cut(raw, "\r\n\r\n")
	if !found {
		return a, ""
	}
	statusLine, fields, _ := strings.Cut(head, "\r\n")
	version, status, _ := strings.Cut(statusLine, " ")
	var err error
	a.status, err = strconv.Atoi(strings.SplitN(status, " ", 2)[0])
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") {
		a.end = endedMalformed
		return a, ""
	}
	a.header, err = textproto.NewReader(bufio.NewReader(strings.NewReader(fields + "\r\n\r\n"))).ReadMIMEHeader()
	if err != nil {
		a.end = endedMalformed
		return a, ""
	}
	chunked, length := a.header.Get("Transfer-Encoding") != "", a.header.Get("Content-Length")
	switch {
	case chunked && length != "", len(a.header["Content-Length"]) > 1:
		a.end = endedMalformed
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		a.end = endedInOrder
		return a, body
	case chunked:
		return a.parseChunks(body)
	case length != "":
		n, err := strconv.Atoi(length)
		if err != nil {
			a.end = endedMalformed
			return a, ""
		}
		if len(body) >= n {
			a.end = endedInOrder
		}
		a.body = body[:min(n, len(body))]
		return a, body[len(a.body):]
	default:
		a.body = body
		if closed {
			a.end = endedInOrder
		}
	}
	return a, ""
}

// parseChunks reads a body in chunks. A chunk that is not complete counts as far as it goes.
func (a seenAnswer) parseChunks(encoded string) (_ seenAnswer, rest string) {
	for {
		line, data, found := strings.Cut(encoded, "\r\n")
		if !found {
			return a, ""
		}
		n, err := strconv.ParseUint(line, 16, 31)
		if err != nil {
			a.end = endedMalformed
			return a, ""
		}
		size := int(n)
		a.body += data[:min(size, len(data))]
		if len(data) < size+2 {
			return a, ""
		}
		if data[size:size+2] != "\r\n" {
			a.end = endedMalformed
			return a, ""
		}
		encoded = data[size+2:]
		if size == 0 {
			a.end = endedInOrder
			return a, encoded
		}
	}
}

// TestRawCallerTellsEndsApart guards against a caller in these tests that takes a broken answer for a complete one, which
// would let the faults pass that the other tests look for.
func TestRawCallerTellsEndsApart(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for raw, want := range map[string]answerEnd{
		"":                                   endedShort,
		"HTTP/1.1 200 OK\r\n":                endedShort,
		"\x00\r\n\r\n":                       endedMalformed,
		head + "Content-Length: 2\r\n\r\na":  endedShort,
		head + "Content-Length: 2\r\n\r\nab": endedInOrder,
		head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab": endedMalformed,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\na":                  endedShort,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n":             endedShort,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n":        endedShort,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n":    endedInOrder,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n":   endedMalformed,
		head + "\r\nab": endedInOrder,
	} {
		if a, rest := parseAnswer(raw, true); a.end != want || rest != "" {
			t.Errorf("%q ended %s with the rest %q, want %s", raw, a.end, rest, want)
		}
	}
}
