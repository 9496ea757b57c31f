package integration

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

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

// TestStopAnswersRequestThatHasBegun guards against a planned stop that cuts off a request without an answer of which only a
// part had arrived on a kept connection, at an entry and at a local process.
func TestStopAnswersRequestThatHasBegun(t *testing.T) {
	f := newFleet(t)
	local := startTarget(t, f, "wording-1", "engine", wire.KindDraft, "wording", "-step", "1ms")
	entry, err := f.StartEntry("entry-1", "zh-1")
	check(t, err)
	const request = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		node *localfleet.Node
		addr string
	}{{entry, entry.Callers}, {local, local.VM.Data}} {
		conn, err := net.Dial("tcp", c.addr)
		check(t, err)
		defer conn.Close()
		check(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		answers := bufio.NewReader(conn)
		ask := func(part string) (*http.Response, error) {
			if _, err := io.WriteString(conn, part); err != nil {
				return nil, err
			}
			res, err := http.ReadResponse(answers, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			return res, err
		}
		_, err = ask(request)
		check(t, err)
		_, err = io.WriteString(conn, request[:20])
		check(t, err)
		check(t, c.node.Signal(syscall.SIGTERM))
		check(t, localfleet.WaitFor("a closed listener", func() bool {
			other, err := net.Dial("tcp", c.addr)
			if err == nil {
				_ = other.Close()
			}
			return err != nil
		}))
		if res, err := ask(request[20:]); err != nil || res.StatusCode != http.StatusNotFound || !res.Close {
			t.Errorf("%s: answer %+v, error %v", c.node.Name, res, err)
		}
	}
}
