package entry

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines remain after the tests. It guards against timers and control requests of an attempt that
// outlive it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
