package localfleet

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// printAddresses is the variable that makes TestAddressesOfTwoProcessesDiffer print addresses.
const printAddresses = "PRINT_ADDRESSES"

// TestAddressesOfTwoProcessesDiffer guards against a test of another package that takes the port of a program which is being
// restarted.
func TestAddressesOfTwoProcessesDiffer(t *testing.T) {
	const addresses = 3 * blockPorts
	take := func() (out []string) {
		for range addresses {
			a, err := Address()
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, a)
		}
		return out
	}
	if os.Getenv(printAddresses) != "" {
		_, _ = os.Stdout.WriteString(strings.Join(take(), "\n") + "\n")
		return
	}
	own := map[string]bool{}
	for _, a := range take() {
		if own[a] {
			t.Errorf("%s is returned twice", a)
		}
		own[a] = true
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatalf("%s is not free: %v", a, err)
		}
		_ = l.Close()
	}
	other := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	other.Env = append(os.Environ(), printAddresses+"=1")
	for range 20 { // each shares some with this process by chance if it claims none
		c := *other
		text, err := c.Output()
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(text), "127.0.0.1:"); n != addresses {
			t.Fatalf("the other process has %d addresses, want %d", n, addresses)
		}
		for line := range strings.Lines(string(text)) {
			if own[strings.TrimSpace(line)] {
				t.Fatalf("%s is given to two processes", strings.TrimSpace(line))
			}
		}
	}
}
