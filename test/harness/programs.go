package harness

import (
	"fmt"
	"os"
	"testing"

	"github.com/camphorbank/camphorbank/internal/localfleet"
)

// RunWithPrograms builds the programs under test into a temporary directory, whose name it stores in dir, and runs the tests. It
// returns the exit code.
func RunWithPrograms(m *testing.M, dir *string) int {
	built, err := os.MkdirTemp("", "camphorbank-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(built)
	if err := localfleet.Build(built); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	*dir = built
	return m.Run()
}
