package rankhttp

import (
	"errors"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/latecopy"
)

// TestBrokenAnswerToCommand guards against a command that counts as carried out, or as refused, because bytes of a faulty engine
// begin like a reply. A group could then begin a step with two maps.
func TestBrokenAnswerToCommand(t *testing.T) {
	for _, status := range []string{"200 OK", "202 Accepted", "409 Conflict"} {
		for name, rest := range map[string]string{
			"short of its length": "Content-Length: 9\r\n\r\nheld", "within chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nheld",
		} {
			t.Run(status+"/"+name, func(t *testing.T) {
				err := New("http://"+latecopy.Start(t, "HTTP/1.1 "+status+"\r\n"+rest)).Hold(t.Context(), 1, 1, 1)
				var refused *port.RankRefusedError
				if err == nil || errors.As(err, &refused) {
					t.Errorf("error %v, want one that leaves the outcome open", err)
				}
			})
		}
	}
}
