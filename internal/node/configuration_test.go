package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// TestConfigurationIsShownWithoutKeys guards against keys of client accounts that anyone with access to the metrics reads,
// and against a configuration that is shown before there is one.
func TestConfigurationIsShownWithoutKeys(t *testing.T) {
	e := &entry{tables: &routetable.Store{}}
	show := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		e.serveConfiguration(w, httptest.NewRequest(http.MethodGet, "/fleet/configuration", nil))
		return w
	}
	if w := show(); w.Code != http.StatusNotFound {
		t.Errorf("status %d without a configuration", w.Code)
	}
	e.tables.Offer(routetable.Config{Version: 7, Accounts: []routetable.Account{{Name: "a", Keys: []string{"secret"}}}})
	w := show()
	if body := w.Body.String(); w.Code != http.StatusOK || !strings.Contains(body, `"version":7`) || strings.Contains(body, "secret") {
		t.Errorf("status %d: %s", w.Code, body)
	}
	if _, ok := e.tables.Load().Account("secret"); !ok {
		t.Error("the key is no longer accepted")
	}
}
