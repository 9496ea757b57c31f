// Package platformhttp is the HTTP client of the platform on which the fleet runs. It reads and watches the
// configuration service, and reads the list of VMs.
package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/traffic"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// maxValueBytes bounds a configuration document. The configuration service holds values of at most 1 MiB; the rest
	// is margin.
	maxValueBytes = 1<<20 + 4096
	// maxVMListBytes bounds the VM list. It suffices for ten times the 1,560 VMs of the target fleet.
	maxVMListBytes = 4 << 20
	// watchTimeout is the time after which the service is asked to answer a watch without a change. It is bounded so
	// that a service that hangs is detected.
	watchTimeout = 15 * time.Second
	// connectTimeout bounds the TLS handshake. It is also the time that the headers of a response may take beyond
	// watchTimeout.
	connectTimeout = 2 * time.Second
	// vmListTimeout bounds one request for the VM list.
	vmListTimeout = 5 * time.Second
)

// NewClient returns an HTTP client for requests to the platform, with timeouts and few idle connections.
func NewClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSHandshakeTimeout = connectTimeout
	t.ResponseHeaderTimeout = watchTimeout + connectTimeout
	t.MaxIdleConnsPerHost = 2
	t.MaxResponseHeaderBytes = httpclient.MaxHeadBytes
	t.DialContext = traffic.Dial
	return &http.Client{Transport: &httpclient.Transport{Transport: t}}
}

// ConfigSource reads the configuration service. It implements port.ConfigSource.
type ConfigSource struct {
	URL  string
	HTTP *http.Client
}

// Read returns the current document.
func (c *ConfigSource) Read(ctx context.Context) (port.Document, error) {
	d, err := c.get(ctx, c.URL, 0)
	if err == nil && d.Body == nil {
		err = errUnaskedNotModified
	}
	return d, err
}

// Watch waits until the service's revision differs from after and returns the new document. If the revision does not
// change within watchTimeout, it returns a document without a body under the revision after.
func (c *ConfigSource) Watch(ctx context.Context, after int64) (port.Document, error) {
	u, err := url.Parse(c.URL)
	if err != nil {
		return port.Document{}, err
	}
	u = u.JoinPath("watch")
	q := u.Query()
	q.Set("after", strconv.FormatInt(after, 10))
	q.Set("wait", watchTimeout.String())
	u.RawQuery = q.Encode()
	return c.get(ctx, u.String(), after)
}

func (c *ConfigSource) get(ctx context.Context, url string, after int64) (port.Document, error) {
	res, err := get(ctx, c.HTTP, url, "", maxValueBytes)
	if err != nil {
		return port.Document{}, err
	}
	if res.notModified {
		return port.Document{Revision: after}, nil
	}
	rev, err := strconv.ParseInt(res.header.Get("Revision"), 10, 64)
	if err != nil {
		return port.Document{}, errorx.Decorate(err, "Revision header of the configuration service")
	}
	return port.Document{Revision: rev, Body: res.body}, nil
}

// VMList reads the VM list. It implements port.VMList. It keeps the last list and its entity tag, and the platform
// sends the list again only when it has changed. The list of a large fleet, read once a second, would otherwise be most
// of a process's control traffic.
type VMList struct {
	URL  string
	HTTP *http.Client

	mu      sync.Mutex
	etag    string
	lastVMs []wire.VM
}

// List returns the VMs in the platform's current list. The slice is shared and must not be modified.
func (v *VMList) List(ctx context.Context) ([]wire.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	res, err := get(ctx, v.HTTP, v.URL, v.etag, maxVMListBytes)
	if err != nil {
		return nil, err
	}
	if res.notModified && v.etag == "" {
		return nil, errUnaskedNotModified
	}
	if res.notModified {
		return v.lastVMs, nil
	}
	var vms []wire.VM
	if err := json.Unmarshal(res.body, &vms); err != nil {
		return nil, errorx.Decorate(err, "decode VM list")
	}
	v.etag, v.lastVMs = res.header.Get("ETag"), vms
	return vms, nil
}

type response struct {
	body        []byte
	header      http.Header
	notModified bool
}

// errUnframed is the error of an answer whose end is not stated, so that a part of the value cannot be told from all of
// it.
var errUnframed = errors.New("answer without a length or chunks")

// errUnaskedNotModified is the error of an answer that refers to a value that the request did not name.
var errUnaskedNotModified = errors.New("not modified, in answer to a request without a condition")

// get sends a GET request, conditional on the entity tag if there is one, and reads a body of at most maxBytes bytes.
func get(ctx context.Context, client *http.Client, url, etag string, maxBytes int64) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return response{}, err
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	res, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return response{notModified: true}, nil
	default:
		return response{}, fmt.Errorf("GET %s: %s", url, res.Status)
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed { // compressed data states its end itself
		return response{}, fmt.Errorf("GET %s: %w", url, errUnframed)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = fmt.Errorf("GET %s: value larger than %d bytes", url, maxBytes)
	}
	return response{body: body, header: res.Header}, err
}
