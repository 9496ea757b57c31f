package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/tlsconf"
)

// operatorTimeout bounds one request to a process, which may have to ask all other processes of the fleet.
const operatorTimeout = 30 * time.Second

// maxReplyBytes bounds the reply of a process. A reply about 1,560 processes takes about 1 MB.
const maxReplyBytes = 16 << 20

// processClient sends requests to the operators' listener of one process, over plain HTTP if no files are given.
type processClient struct {
	address string
	files   tlsconf.Files
}

func (p *processClient) register(fs *flag.FlagSet) {
	fs.StringVar(&p.address, "process", "127.0.0.1:9090", "operators' address of any process of the fleet, IP:PORT")
	fs.StringVar(&p.files.Certificate, "certificate", "", "PEM certificate of the operator; without it plain HTTP is used")
	fs.StringVar(&p.files.Key, "key-file", "", "PEM private key of the operator")
	fs.StringVar(&p.files.CA, "ca", "", "PEM certificates that the process's certificate must chain to")
}

// get sends a GET request and decodes the JSON reply into out.
func (p *processClient) get(ctx context.Context, path string, out any) error {
	client, scheme, err := p.client()
	if err != nil {
		return &usageError{err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+p.address+path, nil)
	if err != nil {
		return &usageError{fmt.Errorf("-process: %w", err)}
	}
	res, err := client.Do(req)
	if err != nil {
		return &reachError{fmt.Errorf("process %s: %w", p.address, unwrapURL(err))}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return &reachError{fmt.Errorf("process %s: %w", p.address, err)}
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("process %s: %s", p.address, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, out)
}

// client returns the HTTP client and the URL scheme for the process.
func (p *processClient) client() (*http.Client, string, error) {
	transport := httpclient.NewTransport(operatorTimeout)
	transport.Proxy = http.ProxyFromEnvironment
	client, scheme := &http.Client{Timeout: operatorTimeout, Transport: transport}, "http"
	if p.files != (tlsconf.Files{}) {
		conf, err := p.files.PeerClient()
		if err != nil {
			return nil, "", err
		}
		transport.TLSClientConfig, scheme = conf, "https"
	}
	return client, scheme, nil
}

// unwrapURL returns the cause of an error of net/http without the method and URL that precede it.
func unwrapURL(err error) error {
	if u, ok := err.(*url.Error); ok {
		return u.Err
	}
	return err
}
