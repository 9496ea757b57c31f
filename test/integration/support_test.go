package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/internal/adapter/callerclient"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/harness"
)

// seedOf returns the seed of a run, from CAMPHORBANK_SEED if it is set, and logs it.
func seedOf(t *testing.T) uint64 {
	t.Helper()
	seed := uint64(1)
	if s, err := strconv.ParseUint(os.Getenv("CAMPHORBANK_SEED"), 10, 64); err == nil {
		seed = s
	}
	t.Logf("seed %d", seed)
	return seed
}

// fleet is the running fleet of one test.
type fleet struct {
	*harness.Fleet
	entries []*localfleet.Node
	targets []*localfleet.Node // local processes, each beside its own target
}

// targetSpec describes a number of equal stand-in targets.
type targetSpec struct {
	count           int
	program, serves string
	kind            wire.Kind
	args            []string
}

func desks(n int, args ...string) targetSpec {
	return targetSpec{n, "desk", "order-desk", wire.KindCall, args}
}

func engines(n int, args ...string) targetSpec {
	return targetSpec{n, "engine", "wording", wire.KindDraft, args}
}

// startFleet starts targets with their local processes, starts entries, and waits until each entry reaches a target of
// each kind. If proxied is set, nodes are reached through links that can inject faults.
func startFleet(t *testing.T, proxied bool, entries int, specs ...targetSpec) *fleet {
	t.Helper()
	f := &fleet{Fleet: newFleet(t)}
	f.Proxied = proxied
	for _, s := range specs {
		for i := range s.count {
			f.targets = append(f.targets, startTarget(t, f.Fleet, fmt.Sprintf("%s-%d", s.program, i+1), s.program, s.kind, s.serves, s.args...))
		}
	}
	for i := range entries {
		n, err := f.StartEntry(fmt.Sprintf("entry-%d", i+1), "zh-1")
		check(t, err)
		f.entries = append(f.entries, n)
	}
	for _, n := range f.entries { // an entry may be ready before it reads a VM list that names all targets
		check(t, localfleet.WaitFor(n.Name+" reaches its targets", func() bool { return f.reachesTargets(n, specs) }))
	}
	return f
}

func (f *fleet) reachesTargets(n *localfleet.Node, specs []targetSpec) bool {
	for _, s := range specs {
		var got callerResult
		if s.kind == wire.KindDraft {
			got = draft(n.Callers, "warm-up", 1)
		} else {
			got = call(n.Callers, "status", "warm-up", "", time.Second)
		}
		if got.outcome != outcome.Completed {
			return false
		}
	}
	return true
}

// callerResult is what a caller was told about its request. The outcome is empty if no answer arrived.
type callerResult struct {
	outcome        outcome.Outcome
	reason, target string
	status         int
	text           string
	err            error
}

// answerTimeout is how long a caller waits for the answer after the deadline of its request has passed.
const answerTimeout = 3 * time.Second

var transport = &http.Transport{MaxIdleConnsPerHost: 100}

func newCallerClient(addr string) *client.Client {
	return callerclient.New(&url.URL{Scheme: "http", Host: addr}, &http.Client{Transport: transport})
}

// errorResult returns the result of a request that failed with err, which is a refusal if it has an outcome.
func errorResult(err error) callerResult {
	var r *api.Refusal
	if errors.As(err, &r) {
		return callerResult{outcome: outcome.Outcome(r.Outcome), reason: r.Reason, err: err}
	}
	return callerResult{err: err}
}

func call(addr, operation, body, ticket string, deadline time.Duration) callerResult {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+answerTimeout)
	defer cancel()
	ms := int(deadline.Milliseconds())
	p := &api.CallPayload{Authorization: bearer(), Service: "order-desk", Operation: operation, Body: body, DeadlineMs: &ms}
	if ticket != "" {
		p.Ticket = &ticket
	}
	res, err := newCallerClient(addr).Call()(ctx, p)
	if err != nil {
		return errorResult(err)
	}
	r := res.(*api.CallResult)
	return callerResult{outcome: outcome.Outcome(r.Outcome), target: r.Target, status: r.Status, text: r.Body}
}

func getTicket(addr string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	res, err := newCallerClient(addr).Ticket()(ctx, &api.TicketPayload{Authorization: bearer(), Service: "order-desk"})
	if err != nil {
		return "", err
	}
	return res.(*api.TicketResult).Ticket, nil
}

func draft(addr, prompt string, tokens int) callerResult {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	id := "same-id"
	res, err := newCallerClient(addr).Draft()(ctx, &api.DraftPayload{Authorization: bearer(), Model: "wording", Prompt: prompt, MaxTokens: tokens, ClientRequestID: &id})
	if err != nil {
		return errorResult(err)
	}
	r := res.(*api.DraftResult)
	return callerResult{outcome: outcome.Outcome(r.Outcome), target: r.Target, text: r.Text}
}

// draftStream reads a streamed draft to its end. onText is called after each text event.
func draftStream(addr, prompt string, tokens int, onText func()) callerResult {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	id := "same-id"
	res, err := newCallerClient(addr).DraftStream()(ctx, &api.DraftStreamPayload{Authorization: bearer(), Model: "wording", Prompt: prompt, MaxTokens: tokens, ClientRequestID: &id})
	if err != nil {
		return errorResult(err)
	}
	events := res.(client.DraftStreamClientStream)
	defer events.Close()
	text := ""
	var answer callerclient.AnswerChecker
	for {
		e, err := events.Recv(ctx)
		if err != nil || e == nil {
			return callerResult{text: text, err: fmt.Errorf("stream ended without an end or error event: %w", err)}
		}
		if err := answer.Add(e); err != nil {
			return callerResult{text: text, err: err}
		}
		switch e.Kind {
		case "text":
			text += *e.Text
			onText()
		case "restart":
			text = ""
		case "error":
			return callerResult{outcome: outcome.Outcome(*e.Outcome), reason: *e.Reason, text: text}
		case "end":
			return callerResult{outcome: outcome.Outcome(*e.Outcome), text: text}
		}
	}
}

// parallel calls f with each number from 0 to n-1 in a number of concurrent workers and waits for all calls.
func parallel(workers, n int, f func(i int)) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range workers {
		wg.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}

// deskRuns returns how often all desks together ran each operation, by operation and body.
func (f *fleet) deskRuns(t *testing.T) map[string]int {
	t.Helper()
	sum := map[string]int{}
	for _, n := range f.targets {
		if n.VM.Kind != wire.KindCall {
			continue
		}
		runs := map[string]int{}
		check(t, localfleet.GetJSON(n.TargetURL+"/runs", &runs))
		for k, v := range runs {
			sum[k] += v
		}
	}
	return sum
}

// endFaultsAndStop ends all faults, waits for redeliveries, and stops entries and local processes gracefully, so
// that nothing can reach a target after it returns.
func (f *fleet) endFaultsAndStop(t *testing.T) {
	t.Helper()
	for _, n := range f.targets {
		_ = n.Resume()
	}
	check(t, f.HealLinks())
	check(t, localfleet.Terminate(f.entries...))
	check(t, localfleet.Terminate(f.targets...))
}
