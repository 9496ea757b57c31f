package platformhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
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
