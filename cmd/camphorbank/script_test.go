package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/camphorbank/camphorbank/internal/configcheck"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"camphorbank": main})
}

// TestScripts guards against changes of the tool's output, messages and exit statuses. Operators' scripts rely on them.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			wrongEntry := httptest.NewServer(http.HandlerFunc(answerWrongly))
			env.Defer(wrongEntry.Close)
			env.Setenv("WRONG_ENTRY", wrongEntry.URL)
			platformEntry := httptest.NewServer(http.HandlerFunc(showConfiguration))
			env.Defer(platformEntry.Close)
			env.Setenv("PLATFORM_ENTRY", platformEntry.Listener.Addr().String())
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// answerWrongly answers each draft with a text whose hash differs from the stated one.
func answerWrongly(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Camphorbank-Outcome", "completed")
	w.Header().Set("Camphorbank-Request-Id", "r")
	_, _ = io.WriteString(w, `{"request_id":"r","text":"cut","tokens":1,"text_hash":"0","target":"t","outcome":"completed"}`)
}

// showConfiguration answers like an entry of the platform that is asked for the configuration in force.
func showConfiguration(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/fleet/configuration" {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(configcheck.HashKeys(routetable.Config{Version: 7, Accounts: []routetable.Account{{Name: "a", Keys: []string{"secret-1"}}}}))
}

// exits implements the script command "exits STATUS PROGRAM ARGUMENTS...", which runs a program and checks its exit
// status.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	got := 0
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if want := args[0]; strconv.Itoa(got) != want {
		ts.Fatalf("exit status %d, want %s", got, want)
	}
}
