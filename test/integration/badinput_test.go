package integration

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
)

const (
	// maxResidentBytes bounds the resident memory of a process under bad input. The Go runtime holds about 20 MB without
	// load.
	maxResidentBytes = 128 << 20
	// maxOpenTime is how long a listener may keep a connection open while it waits for the rest of a request.
	maxOpenTime = 20 * time.Second
	megabyte    = 1 << 20
)

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(t *testing.T, p *localfleet.Process) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	check(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(raw))[1], 10, 64)
	check(t, err)
	return pages * int64(os.Getpagesize())
}

// sendRaw sends head and then fillerBytes of filler on a new connection, half-closes it if halfClose is set, and
// returns what it receives until the other side closes. It fails if the connection is still open after maxOpenTime.
func sendRaw(addr string, head string, fillerBytes int, halfClose bool) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxOpenTime))
	go func() {
		_, err := io.WriteString(c, head)
		chunk := strings.Repeat("x", 64<<10)
		for sent := 0; sent < fillerBytes && err == nil; sent += len(chunk) {
			_, err = io.WriteString(c, chunk)
		}
		if halfClose {
			_ = c.(*net.TCPConn).CloseWrite()
		}
	}()
	got, err := io.ReadAll(io.LimitReader(c, megabyte))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return string(got), err
	}
	return string(got), nil // a reset closes the connection too
}

// postRequest returns an HTTP request whose header declares a body of the given length, which may be longer than body.
func postRequest(path, body string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// TestBadInputAtAllListeners guards against a listener that hangs, answers without a reason, dies or takes memory
// without bound on malformed, oversized, slow and half-closed input.
func TestBadInputAtAllListeners(t *testing.T) {
	f := startFleet(t, false, 1, engines(1), desks(1))
	entry, local := f.entries[0], f.targets[0]
	type input struct {
		name, head string
		filler     int
		halfClose  bool
	}
	anyListener := []input{
		{"garbage", "\x00\xff\x16\x03garbage\r\n\r\n", 0, true},
		{"endless line", "GET /", 8 * megabyte, false},
		{"silence", "", 0, false},
		{"half-closed at once", "", 0, true},
	}
	httpInputs := func(path string) []input {
		return []input{
			{"malformed JSON", postRequest(path, `{"id":`, 6), 0, false},
			{"wrong types", postRequest(path, `{"id":7,"model":[],"body":{}}`, 29), 0, false},
			{"oversized body", postRequest(path, `{"model":"`, 64*megabyte), 64 * megabyte, false},
			{"oversized header", "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Long: ", 8 * megabyte, false},
			{"slow header", "POST " + path + " HTTP/1.1\r\nHo", 0, false},
			{"slow body", postRequest(path, `{"model":`, 1000), 0, false},
			{"half-closed body", postRequest(path, `{"model":`, 1000), 0, true},
		}
	}
	rpcInputs := []input{
		{"malformed JSON", `{"jsonrpc":"2.0","id":1,"method":"attempt.revoke","params":}`, 0, true},
		{"wrong types", `{"jsonrpc":"2.0","id":1,"method":"attempt.revoke","params":[1]}`, 0, true},
		{"unknown method", `{"jsonrpc":"2.0","id":1,"method":"no.such"}`, 0, true},
		{"oversized message", `{"jsonrpc":"2.0","id":1,"method":"`, 64 * megabyte, false},
		{"slow message", `{"jsonrpc":"2.0","id":1,`, 0, false},
		{"half-closed message", `{"jsonrpc":"2.0","id":1,`, 0, true},
	}
	// The operators' listener answers a request after its header, so that only inputs with a bad header apply to it.
	operatorInputs := httpInputs("/healthz")[3:5]
	var wg sync.WaitGroup
	for _, l := range []struct {
		name, addr string
		inputs     []input
		http       bool
	}{
		{"callers drafts", entry.Callers, append(httpInputs("/v1/drafts"), anyListener...), true},
		{"callers stream", entry.Callers, httpInputs("/v1/drafts/stream"), true},
		{"callers calls", entry.Callers, httpInputs("/v1/services/order-desk/reserve"), true},
		{"callers tickets", entry.Callers, httpInputs("/v1/tickets"), true},
		{"data attempt", local.VM.Data, append(httpInputs("/attempt"), anyListener...), true},
		{"data resume", local.VM.Data, httpInputs("/resume"), true},
		{"control of the entry", entry.VM.Control, append(rpcInputs, anyListener...), false},
		{"control of the local process", local.VM.Control, append(rpcInputs, anyListener...), false},
		{"operators of the entry", entry.Operators, append(operatorInputs, anyListener...), true},
		{"operators of the local process", local.Operators, append(operatorInputs, anyListener...), true},
	} {
		for _, in := range l.inputs {
			wg.Go(func() {
				got, err := sendRaw(l.addr, in.head, in.filler, in.halfClose)
				if err != nil {
					t.Errorf("%s, %s: connection still open after %s, received %q", l.name, in.name, maxOpenTime, got)
				}
				status, rest, _ := strings.Cut(got, "\r\n")
				if l.http && got != "" && (!strings.HasPrefix(status, "HTTP/1.1 4") || !strings.Contains(rest, "\r\n\r\n") || strings.HasSuffix(got, "\r\n\r\n")) {
					t.Errorf("%s, %s: answer %q, want a 4xx with a reason or a closed connection", l.name, in.name, got)
				}
			})
		}
	}
	wg.Wait()
	for _, n := range append(f.targets, entry) {
		rss := residentBytes(t, n.Process)
		t.Logf("%s: %d MB resident", n.Name, rss/megabyte)
		if rss > maxResidentBytes {
			t.Errorf("%s: %d bytes resident", n.Name, rss)
		}
	}
	if got := draft(entry.Callers, "still there", 5); got.outcome != outcome.Completed {
		t.Errorf("a valid request after the bad input was told %+v", got)
	}
}
