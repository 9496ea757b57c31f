package platformhttp

import (
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against an answer of the platform whose status is none that counts as an empty list or a document.
func TestOddStatus(t *testing.T) {
	for name, call := range clientCalls {
		t.Run(name, func(t *testing.T) { oddstatus.Check(t, "[]", call) })
	}
}
