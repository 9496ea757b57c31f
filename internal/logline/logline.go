// Package logline provides an asynchronous log handler for package apex/log that writes entries as key=value lines.
// Logging never blocks the caller: when the queue is full, lines are dropped and their number is logged.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// maxQueuedLines is the capacity of the queue of formatted lines. Lines beyond it are dropped and counted.
	maxQueuedLines = 2048
	// closeTimeout bounds the wait for the writer at the end. The reader of the lines may have stopped reading.
	closeTimeout = 500 * time.Millisecond
)

// Handler formats log entries as key=value pairs and queues them for a goroutine that writes them.
type Handler struct {
	lines   chan []byte
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when the writer goroutine has ended
	dropped atomic.Int64
}

// New returns a handler that writes to w, and starts its writer goroutine. Close ends it.
func New(w io.Writer) *Handler {
	h := &Handler{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go h.write(w)
	return h
}

// HandleLog formats an entry and queues it. It drops the entry if the queue is full, and always returns nil.
func (h *Handler) HandleLog(e *log.Entry) error {
	select {
	case h.lines <- formatEntry(e):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Close writes the queued lines and ends the writer goroutine. It must be called once. Entries that are handled afterwards are
// lost: requests that outlast the grace period of a stop still log when the process ends.
func (h *Handler) Close() {
	close(h.stop)
	select {
	case <-h.done:
	case <-time.After(closeTimeout):
	}
}

// write writes queued lines to w until Close, and then those that are still queued.
func (h *Handler) write(w io.Writer) {
	defer close(h.done)
	var buf bytes.Buffer
	for {
		select {
		case line := <-h.lines:
			h.writeBatch(w, &buf, line)
		case <-h.stop:
			h.writeBatch(w, &buf, nil)
			return
		}
	}
}

// writeBatch joins a line and all that are queued into one write, to save system calls.
func (h *Handler) writeBatch(w io.Writer, buf *bytes.Buffer, line []byte) {
	buf.Reset()
	buf.Write(line)
	for more := true; more; {
		select {
		case next := <-h.lines:
			buf.Write(next)
		default:
			more = false
		}
	}
	if n := h.dropped.Swap(0); n > 0 {
		fmt.Fprintf(buf, "time=%s level=warn msg=\"log lines dropped\" lines=%d\n", formatTime(time.Now()), n)
	}
	if buf.Len() == 0 {
		return
	}
	if _, err := w.Write(buf.Bytes()); err != nil {
		h.dropped.Add(1) // a failed write has no other place to be reported
	}
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }

// formatEntry returns the line of one entry, with its fields sorted by name.
func formatEntry(e *log.Entry) []byte {
	var b bytes.Buffer
	b.WriteString("time=" + formatTime(e.Timestamp) + " level=" + e.Level.String() + " msg=" + quote(e.Message))
	for _, name := range e.Fields.Names() {
		b.WriteString(" " + name + "=" + quote(formatValue(e.Fields.Get(name))))
	}
	b.WriteByte('\n')
	return b.Bytes()
}

// formatValue returns the text of a field value. Durations are stated in milliseconds.
func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case int64:
		return strconv.FormatInt(v, 10)
	case int:
		return strconv.Itoa(v)
	case time.Duration:
		return strconv.FormatFloat(float64(v)/float64(time.Millisecond), 'f', 1, 64) + "ms"
	default:
		return fmt.Sprint(v)
	}
}

// quote quotes s if it is empty or contains a space, a quotation mark, an equals sign or a control character that would
// break the key=value format.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \"=\n\r\t") {
		return strconv.Quote(s)
	}
	return s
}
