package integration

import (
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/standin"
)

// TestTextsAtSizeLimit guards against a size limit between processes that is below the limit for callers, with texts
// that JSON encoding makes six times as long, and against a text over the limit that is passed on.
func TestTextsAtSizeLimit(t *testing.T) {
	f := startFleet(t, false, 1, engines(1), desks(1))
	entry, text := f.entries[0].Callers, strings.Repeat("\x01", wire.MaxTextBytes)
	got := draft(entry, text, 2)
	if want := strings.Join(standin.Words("wording", text, 2), ""); got.outcome != outcome.Completed || got.text != want {
		t.Errorf("draft: %s %s %v, text %q, want %q", got.outcome, got.reason, got.err, got.text, want)
	}
	got = call(entry, "status", text, "", 10*time.Second)
	if got.outcome != outcome.Completed || !strings.HasSuffix(got.text, text) {
		t.Errorf("call: %s %s %v, %d bytes", got.outcome, got.reason, got.err, len(got.text))
	}
	if got := draft(entry, text+"x", 2); got.outcome != outcome.NotRun || got.reason != string(outcome.Invalid) {
		t.Errorf("draft one byte over the limit: %s %s %v", got.outcome, got.reason, got.err)
	}
}
