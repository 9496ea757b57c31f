// Package callerclient is a client of the API that callers use. It wraps the client that goa generates to correct
// faults in how that client reads event streams, and checks that a streamed answer is complete.
package callerclient

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	goahttp "goa.design/goa/v3/http"

	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
)

// New returns a client that sends requests to the entry at the base URL through doer.
func New(base *url.URL, doer goahttp.Doer) *client.Client {
	return client.NewClient(base.Scheme, base.Host, eventDoer{doer}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// eventDoer wraps the body of an event stream so that no read returns bytes of two events. The generated stream
// (goa v3.25.3) keeps the bytes that it read beyond an event in a buffer that the returned event shares, and so loses
// and repeats events that arrive in one read. eventDoer also decodes the refusal of a stream.
type eventDoer struct{ next goahttp.Doer }

// Do sends the request. For a refused stream it returns the refusal as the error.
func (d eventDoer) Do(req *http.Request) (*http.Response, error) {
	res, err := d.next.Do(req)
	if err != nil {
		return res, err
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		res.Body = &eventBody{body: res.Body, eventBytesLeft: maxEventBytes}
		return res, nil
	}
	res.Body = http.MaxBytesReader(nil, res.Body, maxAnswerBytes)
	if req.URL.Path == client.DraftStreamCamphorbankPath() && res.StatusCode != http.StatusOK {
		// The generated stream drops the refusal and returns only its status.
		_, err = client.DecodeDraftStreamResponse(goahttp.ResponseDecoder, false)(res)
		return nil, err
	}
	return res, nil
}

// maxAnswerBytes bounds an answer that is no stream. A draft has at most 8 MB of text, which JSON escapes can make six times as
// long.
const maxAnswerBytes = 48 << 20

// maxEventBytes bounds one event. It equals the limit of an entry for the frames that it turns into events.
const maxEventBytes = 7 << 20

var (
	eventSeparator   = []byte("\n\n")
	errEventTooLarge = errors.New("event from the entry is too large")
)

// eventBody is the body of an event stream. Each read ends at the end of an event at the latest.
type eventBody struct {
	body           io.ReadCloser
	unread         []byte // bytes read from body that Read has not returned yet
	lastByte       byte   // last byte that Read returned
	eventBytesLeft int    // number of bytes that the current event may still have
	buf            [4096]byte
}

// Read returns at most the rest of one event. It fails when an event is too large, since the generated stream keeps a
// whole event in memory.
func (b *eventBody) Read(p []byte) (int, error) {
	if b.eventBytesLeft <= 0 {
		return 0, errEventTooLarge
	}
	if len(b.unread) == 0 {
		n, err := b.body.Read(b.buf[:])
		b.unread = b.buf[:n]
		if n == 0 {
			return 0, err
		}
	}
	n := copy(p, b.unread[:b.eventLength()])
	b.eventBytesLeft -= n
	if n > 1 {
		b.lastByte = b.unread[n-2]
	}
	if n > 0 && b.unread[n-1] == '\n' && b.lastByte == '\n' {
		b.eventBytesLeft = maxEventBytes
	}
	if n > 0 {
		b.lastByte = b.unread[n-1]
	}
	b.unread = b.unread[n:]
	return n, nil
}

// eventLength returns the number of unread bytes up to the end of the current event, or of all unread bytes if the
// event does not end in them.
func (b *eventBody) eventLength() int {
	if b.lastByte == '\n' && b.unread[0] == '\n' {
		return 1
	}
	if i := bytes.Index(b.unread, eventSeparator); i >= 0 {
		return i + len(eventSeparator)
	}
	return len(b.unread)
}

// Close closes the underlying body.
func (b *eventBody) Close() error { return b.body.Close() }
