// Package hostile starts the product's processes on loopback and lets crowds of misbehaving clients connect to their
// listeners. The limits in the settings are lowered, so that a small crowd reaches them. The tests check only what does not
// depend on the speed of the machine: the process lives, its memory and descriptors stay within the settings, and an ordinary
// request is answered while the crowd stays and afterwards.
package hostile

import (
	"os"
	"testing"

	"github.com/camphorbank/camphorbank/test/harness"
)

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(harness.RunWithPrograms(m, &binDir))
}
