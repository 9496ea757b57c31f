package node

import (
	"encoding/json"
	"net/http"

	"github.com/camphorbank/camphorbank/internal/configcheck"
)

// serveConfiguration answers an operator with the configuration in force. It holds hashes in place of the keys of client
// accounts.
func (e *entry) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	table := e.tables.Load()
	if table == nil {
		http.Error(w, "no configuration is in force yet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(configcheck.HashKeys(table.Config)) // a write fails only if the client has disconnected
}
