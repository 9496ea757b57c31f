package integration

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/standin"
)

// getStatus returns the HTTP status of a page, or 0 if there is no response.
func getStatus(url string) int {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// TestLocalProcessStopsGracefully guards against a planned stop that cuts off a request in flight, that withdraws
// readiness only after it refuses work, or that leaves the process running.
func TestLocalProcessStopsGracefully(t *testing.T) {
	const tokens = 60
	f := newFleet(t)
	local := startTarget(t, f, "wording-1", "engine", wire.KindDraft, "wording", "-step", "25ms")
	entry, err := f.StartEntry("entry-1", "zh-1")
	check(t, err)
	type answer struct {
		res any
		err error
	}
	done := make(chan answer, 1)
	go func() {
		res, err := newClient(entry).Draft()(context.Background(), &api.DraftPayload{Authorization: bearer(), Model: "wording", Prompt: "p", MaxTokens: tokens})
		done <- answer{res, err}
	}()
	base := "http://" + local.Operators
	check(t, localfleet.WaitFor("draft running", func() bool { return strings.Contains(getBody(base+"/status"), `"running":1`) }))
	check(t, local.Signal(syscall.SIGTERM))
	check(t, localfleet.WaitFor("readiness withdrawn", func() bool { return getStatus(base+"/readyz") == http.StatusServiceUnavailable }))
	if s := getBody(base + "/status"); !strings.Contains(s, `"draining":true`) {
		t.Errorf("status does not report draining: %s", s)
	}
	a := <-done
	check(t, a.err)
	if want := strings.Join(standin.Words("wording", "p", tokens), ""); a.res.(*api.DraftResult).Text != want {
		t.Errorf("text %q, want %q", a.res.(*api.DraftResult).Text, want)
	}
	check(t, localfleet.WaitFor("process ended", func() bool {
		select {
		case <-local.Done():
			return true
		default:
			return false
		}
	}))
	if code := local.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

func getBody(url string) string {
	res, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return string(body)
}
