package loadgen

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/internal/adapter/callerclient"
	"github.com/camphorbank/camphorbank/internal/httpclient"
)

const (
	dialTimeout = 5 * time.Second // also bounds the TLS handshake
	idleTimeout = 30 * time.Second
	// maxAnswerBytes bounds the body of an answer. The maximum of 100,000 tokens of about five bytes takes 0.5 MB, and six
	// times that with JSON escapes.
	maxAnswerBytes = 16 << 20
)

// generator sends the requests of one run.
type generator struct {
	opt      Options
	clients  []*client.Client // one for each of Options.Entries
	rec      *recorder
	inFlight chan struct{} // holds one value for each request in flight
	requests sync.WaitGroup
}

// Run sends the requests that the options describe and returns when all have ended. When ctx is cancelled, it sends no
// more requests and cancels those in flight.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	g := &generator{opt: o, rec: newRecorder(&o), inFlight: make(chan struct{}, o.MaxInFlight)}
	transport := o.transport()
	defer transport.CloseIdleConnections()
	if err := g.createClients(transport); err != nil {
		return nil, err
	}
	start := time.Now()
	plan := newArrivals(&o)
	for a, ok := plan.next(); ok && waitUntil(ctx, start.Add(a.at)); a, ok = plan.next() {
		g.send(ctx, a, start.Add(a.at))
	}
	g.requests.Wait()
	g.rec.result.Elapsed = time.Since(start)
	return &g.rec.result, nil
}

// waitUntil waits until the time t and reports whether ctx was still active then.
func waitUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send starts a request without waiting for its answer, or drops it if Options.MaxInFlight requests are in flight.
func (g *generator) send(ctx context.Context, a arrival, due time.Time) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		g.rec.recordDropped(a.class)
		return
	}
	g.rec.recordStart(a.class, time.Since(due))
	g.requests.Go(func() {
		defer func() { <-g.inFlight }()
		ctx, cancel := context.WithTimeout(ctx, g.opt.Timeout)
		defer cancel()
		r := &request{generator: g, arrival: a, due: due, client: g.clients[a.entry]}
		reqResult := r.perform(ctx)
		g.rec.recordEnd(a, reqResult, time.Since(due))
	})
}

// createClients creates a client for each entry. It connects to none of them.
func (g *generator) createClients(transport *http.Transport) error {
	doer := &http.Client{
		Transport:     limitedTransport{&httpclient.Transport{Transport: transport}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for _, e := range g.opt.Entries {
		u, err := url.Parse(e)
		if err != nil {
			return err
		}
		g.clients = append(g.clients, callerclient.New(u, doer))
	}
	return nil
}

// transport returns a transport that uses no proxy. Unless AllowRemote is set, it connects to loopback addresses only.
func (o *Options) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if !o.AllowRemote {
		dialer.Control = func(_, addr string, _ syscall.RawConn) error {
			if ip, err := netip.ParseAddrPort(addr); err != nil || !ip.Addr().Unmap().IsLoopback() {
				return fmt.Errorf("%s is not a loopback address", addr)
			}
			return nil
		}
	}
	return &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: o.TLS, TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: o.MaxInFlight, MaxResponseHeaderBytes: httpclient.MaxHeadBytes, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

// limitedTransport limits the size of each answer to maxAnswerBytes, so that a faulty entry cannot exhaust the memory.
type limitedTransport struct{ next http.RoundTripper }

// RoundTrip sends the request. Reading more than maxAnswerBytes of the answer's body fails.
func (b limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := b.next.RoundTrip(req)
	if err == nil {
		res.Body = http.MaxBytesReader(nil, res.Body, maxAnswerBytes)
	}
	return res, err
}
