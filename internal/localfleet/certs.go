package localfleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/camphorbank/camphorbank/internal/tlsconf"
)

// Authority is a certificate authority that issues certificates for tests.
type Authority struct {
	Path string // PEM file with the authority's own certificate
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority that writes its own certificate, and the files that it issues, to dir.
func NewAuthority(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a := &Authority{Path: filepath.Join(dir, name+".ca.pem"), dir: dir, key: key}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, writePEM(a.Path, "CERTIFICATE", der)
}

// Issue writes a certificate and its private key to files. Until the given time, the certificate is valid for the
// loopback address 127.0.0.1 and for connections between camphorbankd processes, as a server and as a client.
func (a *Authority) Issue(name string, until time.Time) (tlsconf.Files, error) {
	files := tlsconf.Files{Certificate: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), CA: a.Path}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{tlsconf.PeerName},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, err
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", keyDER)
}

func writePEM(path, blockType string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600)
}

// EnableTLS makes all nodes that are started later use TLS on all listeners, with the same certificate.
func (f *Fleet) EnableTLS(files tlsconf.Files) error {
	conf, err := files.PeerClient()
	if err != nil {
		return err
	}
	f.operatorTLS = conf
	f.tls = fmt.Sprintf("[tls]\npeers = %s\noperators = %s\n", inlineTable(files, files.CA), inlineTable(files, files.CA))
	f.callersTLS = "callers = " + inlineTable(files, "") + "\n"
	return nil
}

// inlineTable formats the paths as a TOML inline table.
func inlineTable(files tlsconf.Files, ca string) string {
	return fmt.Sprintf("{ certificate = %q, key = %q, ca = %q }", files.Certificate, files.Key, ca)
}

// tlsSettings returns the tls table of the settings file for the role. In the file, only other tables may follow it: a
// top-level key after it would become a key of the tls table.
func (f *Fleet) tlsSettings(role string) string {
	table, callers := f.tls, f.callersTLS
	if table == "" {
		table, callers = "[tls]\npeers.plaintext = true\noperators.plaintext = true\n", "callers.plaintext = true\n"
	}
	if role == "entry" {
		table += callers
	}
	return table
}

// operatorGet sends a GET request to an operators' listener, over TLS if the fleet uses it.
func (f *Fleet) operatorGet(addr, path string) (*http.Response, error) {
	scheme, client := "http", http.DefaultClient
	if f.operatorTLS != nil {
		scheme, client = "https", &http.Client{Transport: &http.Transport{TLSClientConfig: f.operatorTLS, DisableKeepAlives: true}}
	}
	return client.Get(scheme + "://" + addr + path)
}

// operatorOK reports whether an operators' listener answers a GET request for path with status 200.
func (f *Fleet) operatorOK(addr, path string) bool {
	res, err := f.operatorGet(addr, path)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
