package measure

import (
	"os"
	"testing"
)

// TestPropagation guards against a configuration exchange that takes longer than its bound, and against a figure that
// differs between two runs with the same seed. It simulates a small fleet, because all sizes of the figure would be too
// slow for the test suite.
func TestPropagation(t *testing.T) {
	for _, outage := range []bool{false, true} {
		for seed := range uint64(2) {
			took, err := propagationSeconds(100, seed, outage)
			if err != nil || took > propagationBoundSeconds {
				t.Errorf("seed %d, outage %v: %v s, %v", seed, outage, took, err)
			}
			if again, _ := propagationSeconds(100, seed, outage); again != took {
				t.Errorf("seed %d, outage %v: %v s, and again %v s", seed, outage, took, again)
			}
		}
	}
}

// TestReadProcStat guards against reading the wrong fields of /proc/PID/stat.
func TestReadProcStat(t *testing.T) {
	u, err := readProcStat(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if u.rssMB <= 0 || u.rssMB > 4000 || u.cpuSeconds < 0 {
		t.Errorf("%+v", u)
	}
}
