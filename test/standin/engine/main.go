// Command engine is a stand-in for a model engine: continuous batching with a limited number of slots, priorities,
// cancel and resume of streams, and load reports that lag. Its text depends on the request only.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/enginemodel"
	"github.com/camphorbank/camphorbank/test/standin"
)

type completion struct {
	ID         string `json:"id"`
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from"`
}

type event struct {
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Done   bool   `json:"done,omitempty"`
}

type loadReport struct {
	Slots      int     `json:"slots"`
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	TokensPerS float64 `json:"tokens_per_s"`
}

type engine struct {
	slots         int
	step, prefill time.Duration // of one token, and of one KiB of a prompt that is not cached
	batch         batch
	cache         *enginemodel.PrefixCache

	mu     sync.Mutex
	faults standin.EngineFaults
	stats  standin.EngineStats
	report loadReport // lags behind
	cancel map[string]context.CancelFunc
}

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address")
	slots := flag.Int("slots", 8, "requests that run at once")
	step := flag.Duration("step", 5*time.Millisecond, "time of one token")
	prefill := flag.Duration("prefill", 0, "time of one KiB of a prompt that is not cached")
	blocks := flag.Int("cache-blocks", 1024, "blocks of 256 bytes that the prefix cache holds")
	late := flag.Int("events-late", 4, "latest cache events that are not reported yet")
	gap := flag.Int("events-gap", 10, "period in which a cache event is lost; 0 for none")
	lag := flag.Duration("load-lag", 50*time.Millisecond, "interval of the load report")
	version := flag.String("version", "1", "model version that is loaded")
	adapters := flag.String("adapters", "de,fr,it", "adapters that are loaded")
	load := flag.Duration("load", 0, "time of a load")
	fencing := flag.Bool("fencing", true, "refuse commands with old fencing numbers")
	flag.Parse()
	e := &engine{slots: *slots, step: *step, prefill: *prefill, batch: batch{free: *slots}, cancel: map[string]context.CancelFunc{}}
	e.cache = enginemodel.NewPrefixCache(*blocks, cacheBlockBytes)
	go e.sampleLoad(*lag)
	mux := http.NewServeMux()
	newLoaded(*version, *adapters, *load, *fencing).handle(mux)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("DELETE /v1/completions/{id}", e.stop)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { e.encode(w, &e.report) })
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		_ = json.NewEncoder(w).Encode(e.cache.Events(after, *late, *gap))
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { e.encode(w, &e.stats) })
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := json.NewDecoder(r.Body).Decode(&e.faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	log.Fatal(http.ListenAndServe(*listen, mux))
}

func (e *engine) encode(w http.ResponseWriter, v any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) sampleLoad(interval time.Duration) {
	for ; ; time.Sleep(interval) {
		e.batch.mu.Lock()
		running, waiting := e.slots-e.batch.free, len(e.batch.waiting)
		e.batch.mu.Unlock()
		e.mu.Lock()
		e.report = loadReport{Slots: e.slots, Running: running, Waiting: waiting, TokensPerS: float64(e.slots) / e.step.Seconds()}
		e.mu.Unlock()
	}
}

func (e *engine) complete(w http.ResponseWriter, r *http.Request) {
	var q completion
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	breakAt, stallAt, stallFor := e.begin(q, cancel)
	defer e.end(q.ID)
	if !e.batch.enter(ctx, q.Priority) {
		return
	}
	defer e.batch.leave()
	if !e.prefillPrompt(ctx, q.Prompt) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	words := standin.Words(q.Model, q.Prompt, q.MaxTokens)
	for i := min(max(q.ResumeFrom, 0), len(words)); i < len(words); i++ {
		wait := e.step
		if i == stallAt {
			wait += stallFor
		}
		if i == breakAt {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if !pause(ctx, wait) {
			return
		}
		writeEvent(w, event{Text: words[i], Tokens: 1})
	}
	e.count(func(s *standin.EngineStats) { s.Finished++ })
	writeEvent(w, event{Done: true})
}

// cacheBlockBytes is the size of one block of the prefix cache.
const cacheBlockBytes = 256

// prefillPrompt takes the time of the part of the prompt that is not cached. It returns false if ctx ends meanwhile.
func (e *engine) prefillPrompt(ctx context.Context, prompt string) bool {
	cached := e.cache.Lookup(prompt)
	if cached > 0 {
		e.count(func(s *standin.EngineStats) { s.Cached++ })
	}
	return pause(ctx, e.prefill*time.Duration(len(prompt)-cached)/1024)
}

// begin registers a stream and draws its faults. Positions are -1 for faults that do not happen.
func (e *engine) begin(q completion, cancel context.CancelFunc) (breakAt, stallAt int, stallFor time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel[q.ID] = cancel
	e.stats.Streams++
	if q.ResumeFrom > 0 {
		e.stats.Resumed++
	}
	breakAt, stallAt = -1, -1
	f := e.faults
	if f.BreakEvery > 0 && e.stats.Streams%f.BreakEvery == 0 {
		breakAt = q.ResumeFrom + f.BreakAfter
	}
	if f.StallEvery > 0 && e.stats.Streams%f.StallEvery == 0 {
		stallAt = q.ResumeFrom + f.StallAfter
	}
	return breakAt, stallAt, f.StallFor
}

func (e *engine) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancel, id)
}

func (e *engine) count(f func(*standin.EngineStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.stats)
}

func (e *engine) stop(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancel[r.PathValue("id")]; cancel != nil {
		cancel()
		e.stats.Cancelled++
	}
	w.WriteHeader(http.StatusNoContent)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func writeEvent(w http.ResponseWriter, e event) {
	raw, _ := json.Marshal(e)
	fmt.Fprintf(w, "data: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}
