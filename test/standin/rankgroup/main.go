// Command rankgroup is a stand-in for the engines of a rank group that execute steps together. It listens on one port
// for each rank, and on one more for the record of the group's steps.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/adapter/rankhttp"
	"github.com/camphorbank/camphorbank/internal/rankmodel"
	"github.com/camphorbank/camphorbank/test/standin"
)

// rankServer serves the HTTP interface of one rank.
type rankServer struct {
	engine    rankmodel.Engine
	stallTime time.Duration // extra time of about one command in four
	tokenTime time.Duration // time of one token
	commandMu sync.Mutex    // commands and reads of the state run one at a time, in order of arrival
	rng       *rand.Rand    // guarded by commandMu
}

func main() {
	var opt rankmodel.Options
	listen := flag.String("listen", "127.0.0.1:0", "address of the record")
	rankAddrList := flag.String("ranks", "", "addresses of the ranks, separated by commas")
	stallTime := flag.Duration("stall", 0, "time that about one command in four takes longer")
	flag.IntVar(&opt.Shape.Layers, "layers", 2, "layers")
	flag.IntVar(&opt.Shape.Experts, "experts", 8, "experts of a layer")
	flag.IntVar(&opt.Shape.SlotsPerRank, "slots", 4, "experts that a rank holds in a layer")
	flag.DurationVar(&opt.StepTime, "step", 5*time.Millisecond, "time of one step under an even spread")
	flag.BoolVar(&opt.ChecksFence, "checks-fence", false, "refuse commands with old fencing numbers")
	flag.BoolVar(&opt.CannotHold, "cannot-hold", false, "refuse to hold a step")
	flag.BoolVar(&opt.IgnoreHold, "ignore-hold", false, "begin steps in spite of holds")
	flag.DurationVar(&opt.ExpertTime, "expert-time", 2*time.Millisecond, "time that the weight store takes to deliver one expert")
	flag.DurationVar(&opt.ReportInterval, "report", 100*time.Millisecond, "interval of popularity reports")
	flag.Uint64Var(&opt.Seed, "seed", 1, "seed of the popularity and of the stalls")
	flag.Parse()
	rankAddrs := strings.Split(*rankAddrList, ",")
	opt.Shape.Ranks = len(rankAddrs)
	group := rankmodel.NewGroup(opt)
	go group.Run(context.Background())
	for r, addr := range rankAddrs {
		s := &rankServer{engine: rankmodel.Engine{Group: group, Rank: r}, stallTime: *stallTime, tokenTime: opt.StepTime}
		s.rng = rand.New(rand.NewPCG(opt.Seed, uint64(r)))
		go func() { log.Fatal(http.ListenAndServe(addr, s.handler())) }()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, group.Record(), nil) })
	log.Fatal(http.ListenAndServe(*listen, mux))
}

func (s *rankServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rankhttp.PathState, func(w http.ResponseWriter, r *http.Request) {
		s.commandMu.Lock()
		defer s.commandMu.Unlock()
		state, err := s.engine.State(r.Context())
		writeJSON(w, state, err)
	})
	mux.HandleFunc("GET "+rankhttp.PathMap, func(w http.ResponseWriter, r *http.Request) {
		m, err := s.engine.Map(r.Context())
		writeJSON(w, m, err)
	})
	mux.HandleFunc("GET "+rankhttp.PathPopularity, func(w http.ResponseWriter, r *http.Request) {
		p, err := s.engine.Popularity(r.Context())
		writeJSON(w, p, err)
	})
	for path, do := range map[string]func(context.Context, rankhttp.Command) error{
		rankhttp.PathFence: func(ctx context.Context, c rankhttp.Command) error { return s.engine.Fence(ctx, c.FencingNumber) },
		rankhttp.PathStage: func(ctx context.Context, c rankhttp.Command) error {
			return s.engine.Stage(ctx, c.FencingNumber, *c.Map)
		},
		rankhttp.PathHold: func(ctx context.Context, c rankhttp.Command) error {
			return s.engine.Hold(ctx, c.FencingNumber, c.Epoch, c.Step)
		},
		rankhttp.PathCommit: func(ctx context.Context, c rankhttp.Command) error {
			return s.engine.Commit(ctx, c.FencingNumber, c.Epoch)
		},
		rankhttp.PathAbort: func(ctx context.Context, c rankhttp.Command) error {
			return s.engine.Abort(ctx, c.FencingNumber, c.Epoch)
		},
	} {
		mux.HandleFunc("POST "+path, s.serveCommand(do))
	}
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("DELETE /v1/completions/{id}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"slots": 8, "tokens_per_s": 8 / s.tokenTime.Seconds()}, nil)
	})
	return mux
}

// serveCommand returns a handler that carries out a command even if its sender closes the connection, as an engine does
// with a command that it has accepted.
func (s *rankServer) serveCommand(do func(context.Context, rankhttp.Command) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c rankhttp.Command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.commandMu.Lock()
		defer s.commandMu.Unlock()
		if s.stallTime > 0 && s.rng.IntN(4) == 0 {
			time.Sleep(s.stallTime)
		}
		if err := do(context.WithoutCancel(r.Context()), c); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	}
}

func (s *rankServer) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Model      string `json:"model"`
		Prompt     string `json:"prompt"`
		MaxTokens  int    `json:"max_tokens"`
		ResumeFrom int    `json:"resume_from"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	words := standin.Words(q.Model, q.Prompt, q.MaxTokens)
	for _, word := range words[min(max(q.ResumeFrom, 0), len(words)):] {
		time.Sleep(s.tokenTime)
		text, _ := json.Marshal(word)
		fmt.Fprintf(w, "data: {\"text\":%s,\"tokens\":1}\n\n", text)
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprint(w, "data: {\"done\":true}\n\n")
}

func writeJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}
