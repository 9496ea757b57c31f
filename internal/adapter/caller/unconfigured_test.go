package caller

import (
	"net/http/httptest"
	"testing"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/port"
)

// TestTicketWithoutConfiguration guards against the outcome not-run for a call with a ticket at an entry that has no
// configuration yet, or one without the service or operation. An earlier request with the ticket may have run through
// another entry.
func TestTicketWithoutConfiguration(t *testing.T) {
	unconfigured := &Service{Config: &config.Store{}, Clock: port.SystemClock{}, Entry: entry.New(entry.Options{Clock: port.SystemClock{}})}
	starting := httptest.NewServer(unconfigured.Handler())
	t.Cleanup(starting.Close)
	for _, c := range []struct {
		name string
		srv  *httptest.Server
		path string
	}{
		{"no configuration", starting, "/v1/services/s/book"},
		{"unknown service", newServer(t, fakeTarget{}), "/v1/services/z/book"},
		{"unknown operation", newServer(t, fakeTarget{}), "/v1/services/s/z"},
	} {
		for body, want := range map[string]string{`{"body":"slot"}`: "not-run", `{"body":"slot","ticket":"AAAA"}`: "unknown"} {
			res, text := send(t, c.srv, "POST", c.path, body, "demo-key")
			if got := res.Header.Get(headerOutcome); got != want {
				t.Errorf("%s, %s: outcome %q, want %q: %s", c.name, body, got, want, text)
			}
		}
	}
}
