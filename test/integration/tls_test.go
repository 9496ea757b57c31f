package integration

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/gen/http/camphorbank/server"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	fleetstatus "github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// TestTLS guards against listeners that, although the settings name certificates, serve without TLS or serve processes
// and operators that have no certificate of the fleet's authority.
func TestTLS(t *testing.T) {
	f := newFleet(t)
	dir := t.TempDir()
	authority, err := localfleet.NewAuthority(dir, "fleet")
	check(t, err)
	files, err := authority.Issue("node", time.Now().Add(30*24*time.Hour)) // an alarm is raised below one week
	check(t, err)
	check(t, f.EnableTLS(files))
	desk := startTarget(t, f, "desk-1", "desk", wire.KindCall, "order-desk")
	entry, err := f.StartEntry("entry-1", "zh-1")
	check(t, err)

	tool := func(args ...string) ([]byte, error) {
		out, err := exec.Command(filepath.Join(f.Bin, "camphorbank"), args...).Output()
		t.Logf("camphorbank %v: %v\n%s", args, err, out)
		return out, err
	}
	out, err := tool("send", "call", "-key", "demo-key", "-service", "order-desk", "-operation", "reserve", "-json",
		"-entry", "https://"+entry.Callers, "-ca", authority.Path, "slot-1")
	check(t, err)
	var sent server.CallResponseBody
	check(t, json.Unmarshal(out, &sent))
	operator := []string{"-certificate", files.Certificate, "-key-file", files.Key, "-ca", files.CA, "-process", desk.Operators}
	var explained fleetstatus.Explanation
	check(t, localfleet.WaitFor("explanation over TLS", func() bool {
		out, err := tool(append(append([]string{"explain", "-json"}, operator...), sent.RequestID)...)
		return err == nil && json.Unmarshal(out, &explained) == nil
	}))
	if r := explained.Record; r.Outcome != "completed" || len(r.Attempts) == 0 || r.Attempts[len(r.Attempts)-1].Target != "desk-1" {
		t.Errorf("explanation %+v", explained)
	}
	check(t, localfleet.WaitFor("status over TLS", func() bool {
		_, err := tool(append([]string{"status"}, operator...)...)
		return err == nil
	}))
	out, err = tool(append([]string{"report"}, operator...)...)
	check(t, err)
	if !strings.Contains(string(out), "call\t1\t1\t0\t0\t") || !strings.Contains(string(out), "laden-zuerich\t1\t1") {
		t.Errorf("the report lacks the call:\n%s", out)
	}
	if _, err := tool("status", "-process", entry.Operators); err == nil {
		t.Error("the operators' listener answers without a certificate")
	}
	for name, addr := range map[string]string{"data": desk.VM.Data, "control": desk.VM.Control, "operators": desk.Operators} {
		if answersPlainHTTP(addr) {
			t.Errorf("the %s listener answers plain HTTP", name)
		}
	}
}

func answersPlainHTTP(addr string) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + addr + "/healthz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
