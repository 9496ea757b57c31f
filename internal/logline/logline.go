// Package logline writes structured log lines without ever delaying the process.
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

// queueLines bounds the lines that wait for the output. Further ones are dropped and counted.
const queueLines = 2048

// Handler formats entries as key=value pairs and hands them to a goroutine that writes them.
type Handler struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a handler that writes to w.
func New(w io.Writer) *Handler {
	h := &Handler{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go h.write(w)
	return h
}

// HandleLog queues an entry.
func (h *Handler) HandleLog(e *log.Entry) error {
	select {
	case h.lines <- format(e):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Close writes what is queued. No entry may follow.
func (h *Handler) Close() {
	close(h.lines)
	<-h.done
}

// write joins the lines that wait into one write, since each system call costs processor time.
func (h *Handler) write(w io.Writer) {
	defer close(h.done)
	var buf bytes.Buffer
	for line := range h.lines {
		buf.Reset()
		buf.Write(line)
		for more := true; more; {
			select {
			case next, ok := <-h.lines:
				buf.Write(next)
				more = ok
			default:
				more = false
			}
		}
		if n := h.dropped.Swap(0); n > 0 {
			fmt.Fprintf(&buf, "time=%s level=warn msg=\"log lines dropped\" lines=%d\n", stamp(time.Now()), n)
		}
		if _, err := w.Write(buf.Bytes()); err != nil {
			h.dropped.Add(1) // the output is gone; there is no other place to tell it
		}
	}
}

func stamp(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }

func format(e *log.Entry) []byte {
	var b bytes.Buffer
	b.WriteString("time=" + stamp(e.Timestamp) + " level=" + e.Level.String() + " msg=" + quote(e.Message))
	for _, name := range e.Fields.Names() {
		b.WriteString(" " + name + "=" + quote(text(e.Fields.Get(name))))
	}
	b.WriteByte('\n')
	return b.Bytes()
}

func text(v any) string {
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

func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \"=\n\r\t") {
		return strconv.Quote(s)
	}
	return s
}
