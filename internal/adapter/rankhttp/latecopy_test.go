package rankhttp

import (
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/latecopy"
)

// TestLateCopy guards against a second copy of an earlier reply that arrives when the next command or reading has been sent on
// the same connection: a refused command would count as carried out, and an earlier state as the present one.
func TestLateCopy(t *testing.T) {
	cl := New("http://" + latecopy.Start(t, latecopy.Answer(200, `{"step":1}`), latecopy.Answer(409, "held"),
		latecopy.Answer(200, `{"step":2}`), latecopy.Answer(200, `{"step":3}`)))
	if err := cl.Hold(t.Context(), 1, 1, 1); err != nil {
		t.Error(err)
	}
	if err := cl.Commit(t.Context(), 1, 1); err == nil {
		t.Error("a refused command counts as carried out")
	}
	for _, want := range []int64{2, 3} {
		if s, err := cl.State(t.Context()); err != nil || s.Step != want {
			t.Errorf("step %d, error %v, want %d", s.Step, err, want)
		}
	}
}
