// Package hostile starts the product's processes on loopback and lets crowds of clients that do not behave connect to their
// listeners. The limits in the settings are lowered, so that a small crowd reaches them. The tests check only what does not
// depend on the speed of the machine: the process lives, its memory and descriptors stay within the settings, and an ordinary
// request is answered while the crowd stays and afterwards.
package hostile

import (
	"fmt"
	"os"
	"testing"

	"github.com/camphorbank/camphorbank/internal/localfleet"
)

// binDir is the folder of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "camphorbank-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := localfleet.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}
