package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelState is the model version and the adapters that the engine has loaded. If checksFence is set, commands with a
// lower fencing number than the highest one seen are refused.
type modelState struct {
	checksFence bool
	loadTime    time.Duration // of loading a version or an adapter

	mu            sync.Mutex
	version       string
	adapters      []string
	loading       bool
	fencingNumber int64
	versionLoads  int // number of model versions loaded since the start
}

func newModelState(version, adapters string, loadTime time.Duration, checksFence bool) *modelState {
	return &modelState{version: version, adapters: strings.Split(adapters, ","), loadTime: loadTime, checksFence: checksFence}
}

func (m *modelState) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/model", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"version": m.version, "adapters": m.adapters, "loading": m.loading, "fence": m.fencingNumber, "changes": m.versionLoads,
		})
	})
	mux.HandleFunc("PUT /v1/model/version", m.fencedCommand(func(r *http.Request) {
		var q struct {
			Version string `json:"version"`
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		m.simulateLoad()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.version, m.loading = q.Version, false
		m.versionLoads++
	}))
	mux.HandleFunc("PUT /v1/model/adapters/{name}", m.fencedCommand(func(r *http.Request) {
		time.Sleep(m.loadTime)
		m.mu.Lock()
		defer m.mu.Unlock()
		if name := r.PathValue("name"); !slices.Contains(m.adapters, name) {
			m.adapters = append(m.adapters, name)
		}
	}))
	mux.HandleFunc("DELETE /v1/model/adapters/{name}", m.fencedCommand(func(r *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.adapters = slices.DeleteFunc(m.adapters, func(a string) bool { return a == r.PathValue("name") })
	}))
}

func (m *modelState) simulateLoad() {
	m.mu.Lock()
	m.loading = true
	m.mu.Unlock()
	time.Sleep(m.loadTime)
}

func (m *modelState) fencedCommand(do func(r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fencingNumber, _ := strconv.ParseInt(r.Header.Get("Fencing-Number"), 10, 64)
		m.mu.Lock()
		outdated := m.checksFence && fencingNumber < m.fencingNumber
		if m.checksFence && !outdated {
			m.fencingNumber = fencingNumber
		}
		m.mu.Unlock()
		if outdated {
			http.Error(w, "old fencing number", http.StatusConflict)
			return
		}
		do(r)
		w.WriteHeader(http.StatusNoContent)
	}
}
