package platformhttp

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// TestVMListIsReadOnChange guards against sending an unchanged large list to every process once a second, and against
// losing the list when the response is "not modified".
func TestVMListIsReadOnChange(t *testing.T) {
	etag, bodiesSent := `"1"`, 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		bodiesSent++
		_, _ = w.Write([]byte(`[{"name":"a` + strings.Trim(etag, `"`) + `"}]`))
	}))
	defer srv.Close()
	v := &VMList{URL: srv.URL, HTTP: NewClient()}
	for _, want := range []string{"a1", "a1", "a2"} {
		if want == "a2" {
			etag = `"2"`
		}
		vms, err := v.List(context.Background())
		if err != nil || len(vms) != 1 || vms[0].Name != want {
			t.Errorf("%v, %v; want %s", vms, err, want)
		}
	}
	if bodiesSent != 2 {
		t.Errorf("%d bodies sent for 2 versions of the list", bodiesSent)
	}
}

// TestUnaskedNotModified guards against an answer without a body that is taken for the list or the document, although the
// request did not say which one the process has.
func TestUnaskedNotModified(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }))
	defer srv.Close()
	if vms, err := (&VMList{URL: srv.URL, HTTP: NewClient()}).List(t.Context()); err == nil {
		t.Errorf("a list of %d VMs without an error", len(vms))
	}
	if d, err := (&ConfigSource{URL: srv.URL, HTTP: NewClient()}).Read(t.Context()); err == nil {
		t.Errorf("document %+v without an error", d)
	}
}

// TestConfig checks the URL of a watch, and guards against accepting a document that is too large or has no revision.
func TestConfig(t *testing.T) {
	var requestedURL string
	var respond func(w http.ResponseWriter)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestedURL = r.URL.String()
		respond(w)
	}))
	defer srv.Close()
	c := &ConfigSource{URL: srv.URL + "/config?reader=x", HTTP: NewClient()}
	ctx := context.Background()
	respond = func(w http.ResponseWriter) { w.Header().Set("Revision", "7"); _, _ = w.Write([]byte("x")) }
	if d, err := c.Watch(ctx, 6); err != nil || d.Revision != 7 || string(d.Body) != "x" || requestedURL != "/config/watch?after=6&reader=x&wait=15s" {
		t.Errorf("document %+v, error %v, requested %s", d, err, requestedURL)
	}
	respond = func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotModified) }
	if d, err := c.Watch(ctx, 6); err != nil || d.Revision != 6 || d.Body != nil {
		t.Errorf("not modified: %+v, %v", d, err)
	}
	for name, a := range map[string]func(http.ResponseWriter){
		"no revision": func(w http.ResponseWriter) { _, _ = w.Write([]byte("x")) },
		"too large": func(w http.ResponseWriter) {
			w.Header().Set("Revision", "8")
			_, _ = w.Write(make([]byte, maxValueBytes+1))
		},
		"down": func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
	} {
		respond = a
		if d, err := c.Read(ctx); err == nil {
			t.Errorf("%s: accepted %d bytes", name, len(d.Body))
		}
	}
}

// TestCutConfigIsNoConfig guards against a configuration that is cut off at the end of a line, so that it can be read, and
// is taken for the revision that it begins with.
func TestCutConfigIsNoConfig(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRevision: 9\r\n\r\nrevision = 9\npreset_in_force = \"day\"\n")
			_ = c.Close()
		}
	}()
	d, err := (&ConfigSource{URL: "http://" + l.Addr().String(), HTTP: &http.Client{}}).Watch(t.Context(), 8)
	if err == nil {
		t.Errorf("revision %d, %q without an error", d.Revision, d.Body)
	}
}

// TestCompressedListIsRead guards against a list that counts as an answer without an end because net/http has decompressed
// it and removed its length.
func TestCompressedListIsRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var data bytes.Buffer
		z := gzip.NewWriter(&data)
		_, _ = io.WriteString(z, "revision = 9\n")
		_ = z.Close()
		w.Header().Set("Revision", "9")
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set("Content-Length", strconv.Itoa(data.Len()))
		_, _ = w.Write(data.Bytes())
	}))
	defer server.Close()
	if d, err := (&ConfigSource{URL: server.URL, HTTP: &http.Client{}}).Watch(t.Context(), 8); err != nil || string(d.Body) != "revision = 9\n" {
		t.Errorf("%q, %v", d.Body, err)
	}
}
