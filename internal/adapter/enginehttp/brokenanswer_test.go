package enginehttp

import (
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/latecopy"
)

// TestBrokenAnswerToCommand guards against a command that counts as carried out because bytes of a faulty engine begin like a
// response.
func TestBrokenAnswerToCommand(t *testing.T) {
	for name, rest := range map[string]string{
		"short of its length": "Content-Length: 9\r\n\r\nok", "within chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			if err := New("http://"+latecopy.Start(t, "HTTP/1.1 200 OK\r\n"+rest)).LoadVersion(t.Context(), 1, "v2"); err == nil {
				t.Error("the command counts as carried out")
			}
		})
	}
}
