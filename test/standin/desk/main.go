// Command desk is a stand-in for a booking service. It counts how often each booking is executed, so that tests can
// find a booking that was executed twice.
package main

import (
	"encoding/json"
	"flag"
	"io"
	"log"
	"net/http"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/test/standin"
)

const maxBodyBytes = 1 << 20

type desk struct {
	operationTime time.Duration

	mu       sync.Mutex
	faults   standin.DeskFaults
	arrivals map[string]int
	runs     map[string]int
}

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address")
	operationTime := flag.Duration("took", 5*time.Millisecond, "time of one operation")
	flag.Parse()
	d := &desk{operationTime: *operationTime, arrivals: map[string]int{}, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{operation}", d.serveOperation)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(d.runs)
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err := json.NewDecoder(r.Body).Decode(&d.faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	log.Fatal(http.ListenAndServe(*listen, mux))
}

func (d *desk) serveOperation(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	op := r.PathValue("operation")
	fault, wait := d.recordArrival(op + " " + string(body))
	switch fault {
	case standin.DropBefore:
		panic(http.ErrAbortHandler) // closes the connection without a response
	case standin.Busy:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	if fault == standin.LoseReply {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, op+" done: "+string(body))
}

// recordArrival counts an arrival of a booking, draws its fault, and counts an execution unless the fault prevents it.
// It returns the fault and the time that the operation takes. The draw depends on the seed, the booking and the number
// of its earlier arrivals.
func (d *desk) recordArrival(booking string) (standin.DeskFault, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := d.faults.Draw(booking, d.arrivals[booking])
	d.arrivals[booking]++
	if fault != standin.DropBefore && fault != standin.Busy {
		d.runs[booking]++
	}
	if fault == standin.Slow {
		return fault, d.operationTime + d.faults.SlowFor
	}
	return fault, d.operationTime
}
