package logline

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
)

// entry returns a log entry with the number n.
func entry(n int) *log.Entry {
	return &log.Entry{Level: log.InfoLevel, Timestamp: time.Now(), Message: "request", Fields: log.Fields{"n": n}}
}

// TestEntriesAfterClose guards against a process that ends with a panic, and so without its last lines, because requests that
// outlast the grace period of a stop log while the handler is closed.
func TestEntriesAfterClose(t *testing.T) {
	const writers, entriesPerWriter = 8, 500
	h := New(io.Discard)
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for n := range entriesPerWriter {
				_ = h.HandleLog(entry(n))
			}
		})
	}
	h.Close()
	all.Wait()
}

// TestCloseWritesQueuedLines guards against lines that are lost at the end of a process.
func TestCloseWritesQueuedLines(t *testing.T) {
	const entries = 300
	var out bytes.Buffer
	h := New(&out)
	for n := range entries {
		_ = h.HandleLog(entry(n))
	}
	h.Close()
	for n := range entries {
		if !strings.Contains(out.String(), fmt.Sprintf(" n=%d\n", n)) {
			t.Fatalf("line %d of %d is missing", n, entries)
		}
	}
}

// TestCloseDoesNotWaitForReader guards against a process that does not end because nothing reads its lines.
func TestCloseDoesNotWaitForReader(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	h := New(w)
	_ = h.HandleLog(entry(1))
	start := time.Now()
	h.Close()
	if d := time.Since(start); d > 2*closeTimeout {
		t.Errorf("the end took %v", d)
	}
}
