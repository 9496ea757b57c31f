package tlsconf_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/tlsconf"
)

// TestCertificateReload guards against a process that presents an expired certificate after its files were renewed, and
// against one that has no certificate while the files are incomplete in the middle of a renewal.
func TestCertificateReload(t *testing.T) {
	a := newAuthority(t, "ca")
	files := issue(t, a, "node", time.Now().Add(time.Hour))
	now := time.Now()
	conf, err := files.ServerWithClock(func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	first := servedExpiry(t, conf, files)
	issue(t, a, "node", time.Now().Add(2*time.Hour))
	if err := os.Chtimes(files.Certificate, now, now.Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	second := servedExpiry(t, conf, files)
	if second.Equal(first) {
		t.Error("the server still presents the old certificate after the renewal")
	}
	if err := os.WriteFile(files.Certificate, []byte("half written"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	if got, err := conf.GetCertificate(nil); err != nil || !got.Leaf.NotAfter.Equal(second) {
		t.Errorf("certificate until %v, %v; want the loaded one", got, err)
	}
}

// servedExpiry returns when the certificate expires that a client receives in a handshake.
func servedExpiry(t *testing.T, server *tls.Config, files tlsconf.Files) time.Time {
	t.Helper()
	client, err := files.PeerClient()
	if err != nil {
		t.Fatal(err)
	}
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	go func() { _ = tls.Server(serverConn, server).Handshake() }()
	c := tls.Client(clientConn, client)
	if err := c.Handshake(); err != nil {
		t.Fatal(err)
	}
	return c.ConnectionState().PeerCertificates[0].NotAfter
}
