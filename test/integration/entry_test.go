package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/internal/adapter/callerclient"
	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/harness"
	"github.com/camphorbank/camphorbank/test/standin"
)

// TestEntryExplainsAndStopsGracefully guards against a request whose placement operators cannot look up, and against
// a stop of an entry that cuts off a stream, keeps the entry ready, or never ends.
func TestEntryExplainsAndStopsGracefully(t *testing.T) {
	f := newFleet(t)
	startTarget(t, f, "wording-1", "engine", wire.KindDraft, "wording", "-step", "20ms")
	n, err := f.StartEntry("entry-1", "zh-1")
	check(t, err)
	cl := callerclient.New(&url.URL{Scheme: "http", Host: n.Callers}, http.DefaultClient)
	res, err := cl.DraftStream()(context.Background(), &api.DraftStreamPayload{Authorization: bearer(), Model: "wording", Prompt: "Käse", MaxTokens: 40})
	check(t, err)
	events := res.(client.DraftStreamClientStream)
	defer events.Close()
	text := ""
	var last *api.DraftEvent
	for last, err = events.Recv(t.Context()); err == nil && last != nil && last.Kind == "text"; last, err = events.Recv(t.Context()) {
		if text == "" {
			check(t, n.Signal(syscall.SIGTERM))
			check(t, localfleet.WaitFor("entry not ready", func() bool { return getStatus("http://"+n.Operators+"/readyz") != http.StatusOK }))
			checkExplain(t, n, last.RequestID, false) // there is no record before the request has ended
		}
		text += *last.Text
	}
	check(t, err)
	if want := strings.Join(standin.Words("wording", "Käse", 40), ""); last == nil || last.Kind != "end" || text != want {
		t.Fatalf("last event %+v, text %q, want %q", last, text, want)
	}
	select {
	case <-n.Done():
	case <-time.After(30 * time.Second):
		t.Fatal("the entry does not exit")
	}
	if n.ExitCode() != 0 {
		t.Errorf("exit code %d", n.ExitCode())
	}
	check(t, f.Restart(n))
	res, err = cl.Draft()(context.Background(), &api.DraftPayload{Authorization: bearer(), Model: "wording", Prompt: "Käse", MaxTokens: 1})
	check(t, err)
	rec := checkExplain(t, n, res.(*api.DraftResult).RequestID, true)
	if len(rec.Attempts) == 0 || rec.Attempts[0].Target != "wording-1" || rec.Preset != "ordinary" || rec.ClientAccount != "laden-zuerich" {
		t.Errorf("record %+v", rec)
	}
}

// checkExplain reads the record of a request over the control protocol and over the operators' HTTP interface, which
// must agree on whether it exists.
func checkExplain(t *testing.T, n *localfleet.Node, id string, found bool) (rec decision.Record) {
	t.Helper()
	var answer wire.ExplainReply
	check(t, peer.Call(t.Context(), n.VM.Control, wire.MethodExplain, wire.Explain{RequestID: id}, &answer))
	if got := getStatus("http://" + n.Operators + "/explain/" + id); answer.Found != found || (got == http.StatusOK) != found {
		t.Fatalf("control protocol: found %v, operators' HTTP: %d, want found %v", answer.Found, got, found)
	}
	if found {
		check(t, json.Unmarshal(answer.Record, &rec))
	}
	return rec
}

// BenchmarkFirstToken measures the time to the first token through an entry and a local process, and for
// comparison directly from the engine stand-in, in alternating requests over kept connections.
func BenchmarkFirstToken(b *testing.B) {
	f := harness.NewFleet(b.TempDir(), binDir)
	defer func() { _ = f.Stop() }()
	must := func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	must(f.StartPlatform())
	doc, err := os.ReadFile("../../examples/etikettwerk.toml")
	must(err)
	must(f.PublishConfig(1, doc))
	engine, _, err := f.StartStandIn("engine", "engine", "-step", "5ms")
	must(err)
	_, err = f.StartLocal(wire.VM{Name: "wording-1", DataCentre: "zh-1", Kind: wire.KindDraft, Serves: "wording"}, "http://"+engine, 8)
	must(err)
	n, err := f.StartEntry("entry-1", "zh-1")
	must(err)
	body := `{"model":"wording","prompt":"Bergkäse, Angebot der Woche","max_tokens":2%s}`
	direct := func() time.Duration {
		return firstToken(b, "http://"+engine+"/v1/completions", fmt.Sprintf(body, `,"stream":true`))
	}
	throughEntry := func() time.Duration {
		return firstToken(b, "http://"+n.Callers+"/v1/drafts/stream", fmt.Sprintf(body, ""))
	}
	for range 50 {
		direct()
		throughEntry()
	}
	var directTimes, entryTimes []time.Duration
	for b.Loop() {
		directTimes, entryTimes = append(directTimes, direct()), append(entryTimes, throughEntry())
	}
	slices.Sort(directTimes)
	slices.Sort(entryTimes)
	for _, q := range []int{50, 99} {
		i := min(len(directTimes)-1, len(directTimes)*q/100)
		b.ReportMetric(float64(directTimes[i].Microseconds()), fmt.Sprintf("direct-p%d-us", q))
		b.ReportMetric(float64(entryTimes[i].Microseconds()), fmt.Sprintf("ours-p%d-us", q))
		b.ReportMetric(float64(entryTimes[i])/float64(directTimes[i]), fmt.Sprintf("ratio-p%d", q))
	}
}

func firstToken(b *testing.B, url, body string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", *bearer())
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	r := bufio.NewReader(res.Body)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data:") {
		b.Fatalf("%s: first line %q, error %v", res.Status, line, err)
	}
	took := time.Since(start)
	_, _ = io.Copy(io.Discard, r)
	return took
}
