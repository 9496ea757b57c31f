package enginehttp

import (
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/latecopy"
)

// TestLateCopy guards against a second copy of an earlier answer that arrives when the next request has been sent on the same
// connection: its caller would get the text of another one, and a refused command would count as carried out.
func TestLateCopy(t *testing.T) {
	stream := func(text string) string {
		return latecopy.Answer(200, "data: {\"text\":\""+text+"\",\"tokens\":1}\n\ndata: {\"done\":true}\n\n")
	}
	cl := New("http://" + latecopy.Start(t, stream("a"), stream("b"), latecopy.Answer(409, "busy"), stream("c")))
	defer cl.http.CloseIdleConnections()
	for _, want := range []string{"a", "b"} {
		if text, err := generate(t, cl); text != want || err != nil {
			t.Errorf("text %q, error %v, want %q", text, err, want)
		}
	}
	if err := cl.LoadVersion(t.Context(), 1, "v2"); err == nil {
		t.Error("a refused command counts as carried out")
	}
	if text, err := generate(t, cl); text != "c" || err != nil {
		t.Errorf("after a command: text %q, error %v, want %q", text, err, "c")
	}
}

// generate returns the text of one request.
func generate(t *testing.T, cl *Client) (string, error) {
	var text strings.Builder
	err := cl.Generate(t.Context(), port.EngineRequest{ID: "id", MaxTokens: 5}, func(c port.Chunk) error {
		text.WriteString(c.Text)
		return nil
	})
	return text.String(), err
}
