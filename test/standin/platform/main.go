// Command platform is a stand-in for the configuration service and the VM list of the platform. Tests publish values
// and set faults through the paths under /admin.
package main

import (
	"cmp"
	"compress/gzip"
	"encoding/json"
	"flag"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const maxBodyBytes = 8 << 20

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address")
	callsPerSecond := flag.Float64("calls", 2000, "calls to the configuration service a second, all readers together")
	flag.Parse()
	p := &platform{configs: newPublishedValues(), vms: newPublishedValues(), faults: map[string]faults{}, changed: make(chan struct{})}
	p.setRateLimit(*callsPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", p.serveConfig)
	mux.HandleFunc("GET /config/watch", p.serveConfigWatch)
	mux.HandleFunc("GET /readers/{reader}/config", p.serveConfig)
	mux.HandleFunc("GET /readers/{reader}/config/watch", p.serveConfigWatch)
	mux.HandleFunc("GET /vms", p.serveVMs)
	mux.HandleFunc("PUT /admin/config", func(w http.ResponseWriter, r *http.Request) { p.servePublish(w, r, p.configs) })
	mux.HandleFunc("PUT /admin/vms", func(w http.ResponseWriter, r *http.Request) { p.servePublish(w, r, p.vms) })
	mux.HandleFunc("PUT /admin/faults", p.serveSetFaults)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(p.currentCounts()) })
	log.Fatal(http.ListenAndServe(*listen, mux))
}

// serveConfig serves the newest configuration document, or the older revision that a fault selects.
func (p *platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	if p.admit(w, r, func(c *counts) { c.Reads++ }) {
		p.writeConfig(w, readerName(r))
	}
}

// serveConfigWatch answers as soon as the revision for the reader differs from the query parameter after, or with 304
// Not Modified at the end of the wait.
func (p *platform) serveConfigWatch(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, func(c *counts) { c.Watches++ }) {
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 30 * time.Second
	}
	p.addWaiting(1)
	defer p.addWaiting(-1)
	timeout := time.After(wait)
	for {
		v, changed := p.currentConfig(readerName(r))
		if p.faultsFor(readerName(r)).Down || v.revision != after {
			p.writeConfig(w, readerName(r))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) writeConfig(w http.ResponseWriter, reader string) {
	v, _ := p.currentConfig(reader)
	switch {
	case p.faultsFor(reader).Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case v.body == nil:
		http.Error(w, "nothing published", http.StatusNotFound)
	default:
		w.Header().Set("Revision", strconv.FormatInt(v.revision, 10))
		_, _ = w.Write(v.body)
	}
}

// serveVMs serves the VM list as it was one VMLag ago.
func (p *platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	f := p.faultsFor(readerName(r))
	p.updateCounts(func(c *counts) { c.VMReads++ })
	if f.VMsDown {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	v := p.vms.newestAt(readerName(r), time.Now().Add(-f.VMLag.Duration))
	if v.body == nil {
		http.Error(w, "nothing published", http.StatusNotFound)
		return
	}
	etag := strconv.Quote(strconv.Itoa(v.version))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(v.body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(v.body)
	_ = z.Close()
}

// servePublish stores a value for the reader named in the query, or without a name for all readers that have no value
// of their own.
func (p *platform) servePublish(w http.ResponseWriter, r *http.Request, s *publishedValues) {
	rev, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.add(readerName(r), rev, body)
	p.wakeWatches()
}

// serveSetFaults replaces the faults of the reader named in the query, or without a name the faults of all readers that
// have none of their own.
func (p *platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.faults[readerName(r)] = f
	p.mu.Unlock()
	p.wakeWatches()
}

// readerName returns the name of the VM that reads, which is given in the path or the query, or the empty string.
func readerName(r *http.Request) string {
	return cmp.Or(r.PathValue("reader"), r.URL.Query().Get("reader"))
}
