// Command engine is a stand-in for a model engine. It implements continuous batching with a limited number of slots,
// priorities, cancellation and resumption of streams, and load reports that lag behind the state. The text of a
// response depends only on the request.
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

type completionRequest struct {
	ID         string `json:"id"`
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from"`
}

type streamEvent struct {
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Done   bool   `json:"done,omitempty"`
}

type loadReport struct {
	Slots      int     `json:"slots"`
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	TokensPerS float64 `json:"tokens_per_s"`
	// CacheTokens is the size of the prefix cache.
	CacheTokens int `json:"cache_tokens"`
}

type engine struct {
	slots                        int
	tokenTime, prefillTimePerKiB time.Duration // prefillTimePerKiB is for prompt text that is not cached
	batch                        batch
	cache                        *enginemodel.PrefixCache
	cacheTokens                  int

	mu      sync.Mutex
	faults  standin.EngineFaults
	stats   standin.EngineStats
	load    loadReport // as of its last update
	cancels map[string]context.CancelFunc
}

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address")
	slots := flag.Int("slots", 8, "requests that run at once")
	tokenTime := flag.Duration("step", 5*time.Millisecond, "time of one token")
	prefillTimePerKiB := flag.Duration("prefill", 0, "time of one KiB of a prompt that is not cached")
	cacheBlocks := flag.Int("cache-blocks", 1024, "blocks of 256 bytes that the prefix cache holds")
	unreportedEvents := flag.Int("events-late", 4, "latest cache events that are not reported yet")
	lostEventPeriod := flag.Int("events-gap", 10, "period in which a cache event is lost; 0 for none")
	loadReportInterval := flag.Duration("load-lag", 50*time.Millisecond, "interval of the load report")
	version := flag.String("version", "1", "model version that is loaded")
	adapters := flag.String("adapters", "de,fr,it", "adapters that are loaded")
	loadTime := flag.Duration("load", 0, "time of a load")
	checksFence := flag.Bool("fencing", true, "refuse commands with old fencing numbers")
	flag.Parse()
	e := &engine{slots: *slots, tokenTime: *tokenTime, prefillTimePerKiB: *prefillTimePerKiB, batch: batch{freeSlots: *slots}, cancels: map[string]context.CancelFunc{}}
	e.cacheTokens = *cacheBlocks * cacheBlockBytes / bytesPerToken
	e.cache = enginemodel.NewPrefixCache(*cacheBlocks, cacheBlockBytes)
	go e.updateLoadReport(*loadReportInterval)
	mux := http.NewServeMux()
	newModelState(*version, *adapters, *loadTime, *checksFence).registerHandlers(mux)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("DELETE /v1/completions/{id}", e.cancelStream)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { e.writeLockedJSON(w, &e.load) })
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		_ = json.NewEncoder(w).Encode(e.cache.Events(after, *unreportedEvents, *lostEventPeriod))
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { e.writeLockedJSON(w, &e.stats) })
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := json.NewDecoder(r.Body).Decode(&e.faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	log.Fatal(http.ListenAndServe(*listen, mux))
}

func (e *engine) writeLockedJSON(w http.ResponseWriter, v any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) updateLoadReport(interval time.Duration) {
	for ; ; time.Sleep(interval) {
		e.batch.mu.Lock()
		running, waiting := e.slots-e.batch.freeSlots, len(e.batch.waiting)
		e.batch.mu.Unlock()
		e.mu.Lock()
		e.load = loadReport{Slots: e.slots, Running: running, Waiting: waiting, TokensPerS: float64(e.slots) / e.tokenTime.Seconds(), CacheTokens: e.cacheTokens}
		e.mu.Unlock()
	}
}

func (e *engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	breakAt, stallAt, stallFor := e.registerStream(q, cancel)
	defer e.unregisterStream(q.ID)
	if !e.batch.acquireSlot(ctx, q.Priority) {
		return
	}
	defer e.batch.releaseSlot()
	if !e.waitForPrefill(ctx, q.Prompt) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	words := standin.Words(q.Model, q.Prompt, q.MaxTokens)
	for i := min(max(q.ResumeFrom, 0), len(words)); i < len(words); i++ {
		wait := e.tokenTime
		if i == stallAt {
			wait += stallFor
		}
		if i == breakAt {
			panic(http.ErrAbortHandler) // closes the connection without the end of the stream
		}
		if !sleep(ctx, wait) {
			return
		}
		writeEvent(w, streamEvent{Text: words[i], Tokens: 1})
	}
	e.updateStats(func(s *standin.EngineStats) { s.Finished++ })
	writeEvent(w, streamEvent{Done: true})
}

// cacheBlockBytes is the size of one block of the prefix cache.
const cacheBlockBytes = 256

// bytesPerToken is the mean length of a token of a prompt.
const bytesPerToken = 4

// waitForPrefill waits for the time that the uncached part of the prompt takes. It reports whether ctx was still active
// at the end.
func (e *engine) waitForPrefill(ctx context.Context, prompt string) bool {
	cached := e.cache.Lookup(prompt)
	if cached > 0 {
		e.updateStats(func(s *standin.EngineStats) { s.Cached++ })
	}
	return sleep(ctx, e.prefillTimePerKiB*time.Duration(len(prompt)-cached)/1024)
}

// registerStream counts a stream, keeps its cancel function and returns its faults. A fault is given by the position of
// the token before which it happens, or -1 if the stream does not get it.
func (e *engine) registerStream(q completionRequest, cancel context.CancelFunc) (breakAt, stallAt int, stallFor time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[q.ID] = cancel
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

func (e *engine) unregisterStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, id)
}

func (e *engine) updateStats(f func(*standin.EngineStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.stats)
}

func (e *engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancels[r.PathValue("id")]; cancel != nil {
		cancel()
		e.stats.Cancelled++
	}
	w.WriteHeader(http.StatusNoContent)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func writeEvent(w http.ResponseWriter, e streamEvent) {
	raw, _ := json.Marshal(e)
	fmt.Fprintf(w, "data: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}
