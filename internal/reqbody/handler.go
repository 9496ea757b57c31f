package reqbody

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/membudget"
)

// decodedFactor is the memory that a request with a JSON body of one text needs while it runs, besides that body, for each byte
// of it: the copy of the decoder, the decoded text and the message to the next process.
const decodedFactor = 3

// Bounds are the limits of the bodies of a Handler.
type Bounds struct {
	Memory *membudget.Budget // for the requests of the handler; nil for no bound
	Bytes  int64             // Of a longer body one byte more is read, and its rest is left to the server.
	Time   time.Duration     // in which the whole body must arrive

	// Account returns the client account of a request of which only the head has arrived. It may be nil.
	Account func(*http.Request) string
	// Refuse answers a request for which there is no memory. Nothing of it has run.
	Refuse http.HandlerFunc
}

// Handler returns a handler that reads the body of each request within the bounds before next handles it. An error of reading
// is returned to next where the body ends. From then on until its answer has been written, the connection of the request is not closed
// to make room for another one. The server needs the hooks of package connlimit for that.
func Handler(next http.Handler, b Bounds) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slot := connlimit.SlotOf(r)
		memory := b.Memory.Lease("")
		defer memory.Release()
		if r.ContentLength != 0 && !b.read(w, r, memory) {
			slot.NoMemory()
			w.Header().Set("Connection", "close") // the rest of the body is not read
			b.Refuse(w, r)
			return
		}
		if !slot.RunUntilIdle() {
			panic(http.ErrAbortHandler) // the connection is being closed; the server would write an empty answer
		}
		next.ServeHTTP(w, r)
	})
}

// read replaces the body of a request by what it has read of it. It returns false without memory for it.
func (b Bounds) read(w http.ResponseWriter, r *http.Request, memory *membudget.Lease) bool {
	if b.Account != nil {
		memory.SetAccount(b.Account(r))
	}
	deadline := &readDeadline{controller: http.NewResponseController(w)}
	deadline.set(time.Now().Add(b.Time))
	memory.Receive(deadline.expire)
	body, err := Read(countedReader{r.Body, memory}, r.ContentLength, b.Bytes+1, memory)
	if err == nil && int64(len(body)) <= b.Bytes {
		// net/http now keeps reading to notice that the client leaves, which the deadline must not end. It stays for a body of
		// which a part has not arrived, since the server reads on before it closes the connection.
		deadline.set(time.Time{})
	}
	if !memory.Complete() || errors.Is(err, ErrNoMemory) || !memory.Grow(decodedFactor*int64(len(body))) {
		return false
	}
	var rest io.Reader = errReader{err}
	if err == nil {
		rest = http.NoBody
	}
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), rest))
	return true
}

// countedReader tells a lease what has arrived.
type countedReader struct {
	io.Reader
	memory *membudget.Lease
}

func (c countedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.memory.Received(n)
	return n, err
}

// errReader returns an error.
type errReader struct{ err error }

func (e errReader) Read([]byte) (int, error) { return 0, e.err }

// readDeadline is the read deadline of a connection, which another goroutine may let expire.
type readDeadline struct {
	controller *http.ResponseController
	mu         sync.Mutex
	expired    bool
}

// set sets the deadline, unless it has expired.
func (d *readDeadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.expired {
		_ = d.controller.SetReadDeadline(t)
	}
}

// expire ends the reading.
func (d *readDeadline) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expired = true
	_ = d.controller.SetReadDeadline(time.Unix(1, 0))
}
