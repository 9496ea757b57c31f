package measure

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/internal/adapter/callerclient"
	"github.com/camphorbank/camphorbank/internal/adapter/enginehttp"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	quickModel, slowModel       = "quick", "slow"
	quickStepTime, slowStepTime = "1us", "100ms"
	pathSlots                   = 512 // of each engine; so many that no request queues
	pathKey                     = "measure-key"
	pathKeySHA256               = "f0b4a78281d0405b3ea5df6e855cd6ea24bb92757680562021fb53b377f631f0"
	pathDeadlineMS              = 10 * 60 * 1000
	streamTokens                = 1200 // take the slow engine two minutes
)

// servingPath is an entry process in front of a quick and a slow engine stand-in, each with its local process.
type servingPath struct {
	entry  *client.Client
	engine *enginehttp.Client // client that calls the quick stand-in directly
	number atomic.Int64
}

// withPath starts the processes, calls f and stops the processes.
func withPath(f func(p *servingPath) error) (err error) {
	dir, err := os.MkdirTemp("", "camphorbank-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet := &localfleet.Fleet{Dir: dir, Bin: dir}
	defer func() {
		if stopErr := fleet.Stop(); err == nil {
			err = stopErr
		}
	}()
	transport := &http.Transport{MaxIdleConnsPerHost: openStreamCount + rpsWorkers}
	defer transport.CloseIdleConnections()
	p, err := startPath(fleet, transport)
	if err != nil {
		return err
	}
	return f(p)
}

func startPath(f *localfleet.Fleet, transport *http.Transport) (*servingPath, error) {
	if err := localfleet.Build(f.Bin); err != nil {
		return nil, err
	}
	if err := f.StartPlatform(); err != nil {
		return nil, err
	}
	if err := f.PublishConfig(1, pathDocument()); err != nil {
		return nil, err
	}
	quick, err := startEngine(f, quickModel, quickStepTime)
	if err != nil {
		return nil, err
	}
	if _, err := startEngine(f, slowModel, slowStepTime); err != nil {
		return nil, err
	}
	entry, err := f.StartEntry("entry", "dc-0")
	if err != nil {
		return nil, err
	}
	p := &servingPath{engine: enginehttp.New(quick),
		entry: callerclient.New(&url.URL{Scheme: "http", Host: entry.Callers}, &http.Client{Transport: transport})}
	return p, localfleet.WaitFor("both models are served", func() bool {
		return p.requestOneToken(context.Background(), quickModel, "warm-up") == nil && p.requestOneToken(context.Background(), slowModel, "warm-up") == nil
	})
}

// startEngine starts an engine stand-in and its local process, and returns the stand-in's base URL.
func startEngine(f *localfleet.Fleet, model, step string) (string, error) {
	addr, _, err := f.StartStandIn(model, "engine", "-step", step, "-slots", fmt.Sprint(pathSlots))
	if err != nil {
		return "", err
	}
	base := "http://" + addr
	vm := wire.VM{Name: model + "-runner", DataCentre: "dc-0", Kind: wire.KindDraft, Serves: model}
	_, err = f.StartLocal(vm, base, pathSlots)
	return base, err
}

func pathDocument() []byte {
	return fmt.Appendf(minimalDocument(1), "[[client_accounts]]\nname = \"measure\"\nkey_sha256 = %q\n[[models]]\nname = %q\n[[models]]\nname = %q\n",
		pathKeySHA256, quickModel, slowModel)
}

func pathPayload(model, prompt string, tokens int) *api.DraftPayload {
	bearer, deadline := "Bearer "+pathKey, pathDeadlineMS
	return &api.DraftPayload{Authorization: &bearer, Model: model, Prompt: prompt, MaxTokens: tokens, DeadlineMs: &deadline}
}

// requestOneToken requests one token of a model through the entry.
func (p *servingPath) requestOneToken(ctx context.Context, model, prompt string) error {
	_, err := p.entry.Draft()(ctx, pathPayload(model, prompt, 1))
	return err
}

func (p *servingPath) requestThroughEntry(ctx context.Context, prompt string) error {
	return p.requestOneToken(ctx, quickModel, prompt)
}

func (p *servingPath) requestDirect(ctx context.Context, prompt string) error {
	_, err := p.firstTokenDirect(ctx, prompt)
	return err
}

// firstTokenDirect returns the time to the first token when the quick stand-in is called directly.
func (p *servingPath) firstTokenDirect(ctx context.Context, prompt string) (first time.Duration, err error) {
	start := time.Now()
	r := port.EngineRequest{ID: fmt.Sprintf("direct-%d", p.number.Add(1)), Model: quickModel, Prompt: prompt, MaxTokens: 1}
	err = p.engine.Generate(ctx, r, func(port.Chunk) error {
		first = time.Since(start)
		return nil
	})
	if err == nil && first == 0 {
		err = errNoToken
	}
	return first, err
}

// firstTokenThrough returns the time to the first token of the quick stand-in through the entry.
func (p *servingPath) firstTokenThrough(ctx context.Context, prompt string) (time.Duration, error) {
	start := time.Now()
	events, err := p.stream(ctx, quickModel, prompt, 1)
	if err != nil {
		return 0, err
	}
	first := time.Since(start)
	return first, readToEnd(ctx, events)
}

// stream requests a streamed draft and returns when its first token has arrived.
func (p *servingPath) stream(ctx context.Context, model, prompt string, tokens int) (client.DraftStreamClientStream, error) {
	res, err := p.entry.DraftStream()(ctx, (*api.DraftStreamPayload)(pathPayload(model, prompt, tokens)))
	if err != nil {
		return nil, err
	}
	events := res.(client.DraftStreamClientStream)
	e, err := events.Recv(ctx)
	if err == nil && (e == nil || e.Kind != callerclient.EventText) {
		err = errNoToken
	}
	if err != nil {
		_ = events.Close()
		return nil, err
	}
	return events, nil
}

// readToEnd reads a stream to its end event and then to the end of the body, so that its connection can be reused.
func readToEnd(ctx context.Context, events client.DraftStreamClientStream) error {
	defer events.Close()
	last := ""
	for {
		e, err := events.Recv(ctx)
		if err != nil {
			return err
		}
		if e == nil && last != callerclient.EventEnd {
			return fmt.Errorf("the stream ended after a %q event, not an end event", last)
		}
		if e == nil {
			return nil
		}
		last = e.Kind
	}
}

// openStreams opens openStreamCount streams of the slow model through the entry, which are read in the background until
// ctx ends. It returns a counter of the streams that are still open.
func (p *servingPath) openStreams(ctx context.Context) (*atomic.Int64, error) {
	open := &atomic.Int64{}
	g := &errgroup.Group{}
	g.SetLimit(concurrentOpens)
	for i := range openStreamCount {
		g.Go(func() error {
			events, err := p.stream(ctx, slowModel, fmt.Sprintf("stream %d", i), streamTokens)
			if err != nil {
				return err
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				_ = readToEnd(ctx, events)
			}()
			return nil
		})
	}
	return open, g.Wait()
}
