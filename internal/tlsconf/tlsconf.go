// Package tlsconf builds the TLS configurations of listeners and of connections between processes from the files that
// the settings name. It checks the files at the start of a process, and later loads a renewed certificate without a
// restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// PeerName is the DNS name that the certificate of every camphorbank process must contain for connections between
// processes. All share one name, since processes connect to each other by address and a replaced VM has a new address.
const PeerName = "camphorbank"

// Files names the certificate, key and CA files of one kind of listener. Without TLS, Plaintext must be set.
type Files struct {
	Plaintext   bool   `toml:"plaintext" default:"false"` // serve plain TCP
	Certificate string `toml:"certificate" default:""`    // path of the PEM certificate chain
	Key         string `toml:"key" default:""`            // path of the PEM private key
	CA          string `toml:"ca" default:""`             // path of the PEM CA certificates that verify the other side
}

// Requirement states which parts of Files a kind of listener needs.
type Requirement struct {
	ClientCertificates bool // clients must present a certificate, so that CA is required
}

// Problem is a problem with one of the files.
type Problem struct {
	Key     string // key in the settings table of the files, such as "certificate"
	Message string
}

// Check returns the problems of the files at the time now: files that are missing, unreadable or do not match, and a
// certificate that has expired or is not valid yet.
func (f Files) Check(req Requirement, now time.Time) []Problem {
	add := func(l []Problem, name, message string) []Problem { return append(l, Problem{name, message}) }
	var problems []Problem
	if f.Plaintext {
		if f.Certificate != "" || f.Key != "" || f.CA != "" {
			problems = add(problems, "plaintext", "is true, but certificate, key or ca is set as well")
		}
		return problems
	}
	if f.Certificate == "" {
		problems = add(problems, "certificate", "is missing; set plaintext = true to do without TLS")
	}
	if f.Key == "" {
		problems = add(problems, "key", "is missing; set plaintext = true to do without TLS")
	}
	if req.ClientCertificates && f.CA == "" {
		problems = add(problems, "ca", "is missing: the other side must show a certificate")
	}
	if f.Certificate != "" && f.Key != "" {
		if err := checkCertificate(f.Certificate, f.Key, now); err != nil {
			problems = add(problems, "certificate", err.Error())
		}
	}
	if f.CA != "" {
		if _, err := LoadPool(f.CA); err != nil {
			problems = add(problems, "ca", err.Error())
		}
	}
	return problems
}

// checkCertificate reports a certificate and key that cannot be loaded together, or a certificate that is not valid
// now.
func checkCertificate(certificatePath, keyPath string, now time.Time) error {
	pair, err := tls.LoadX509KeyPair(certificatePath, keyPath)
	if err != nil {
		return err
	}
	leaf := pair.Leaf
	if now.After(leaf.NotAfter) {
		return fmt.Errorf("%s expired at %s", certificatePath, leaf.NotAfter.Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return fmt.Errorf("%s is not valid before %s", certificatePath, leaf.NotBefore.Format(time.RFC3339))
	}
	return nil
}

// Expiry returns when the certificate in the file expires, or the zero time if no certificate is configured.
func (f Files) Expiry() (time.Time, error) {
	if f.Certificate == "" {
		return time.Time{}, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return time.Time{}, err
	}
	return pair.Leaf.NotAfter, nil
}

// LoadPool reads a file of PEM certificates into a pool.
func LoadPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no PEM certificate", path)
	}
	return pool, nil
}

// Server returns the configuration of a listener, or nil for plain TCP. If CA is set, clients must present a
// certificate that chains to it.
func (f Files) Server() (*tls.Config, error) { return f.ServerWithClock(time.Now) }

// ServerWithClock is like Server, but takes the current time from now to decide when to check the files for a renewal.
func (f Files) ServerWithClock(now func() time.Time) (*tls.Config, error) {
	if f.Plaintext {
		return nil, nil
	}
	reloader, err := newCertificateReloader(f.Certificate, f.Key, now)
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: reloader.serverCertificate}
	if f.CA == "" {
		return c, nil
	}
	if c.ClientCAs, err = LoadPool(f.CA); err != nil {
		return nil, err
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// PeerClient returns the configuration for connections to other camphorbank processes, or nil for plain TCP.
func (f Files) PeerClient() (*tls.Config, error) {
	if f.Plaintext {
		return nil, nil
	}
	reloader, err := newCertificateReloader(f.Certificate, f.Key, time.Now)
	if err != nil {
		return nil, err
	}
	pool, err := LoadPool(f.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: PeerName, RootCAs: pool, GetClientCertificate: reloader.clientCertificate,
	}, nil
}
