package tlsconf_test

import (
	"crypto/tls"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/tlsconf"
)

func newAuthority(t *testing.T, name string) *localfleet.Authority {
	t.Helper()
	a, err := localfleet.NewAuthority(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *localfleet.Authority, name string, until time.Time) tlsconf.Files {
	t.Helper()
	files, err := a.Issue(name, until)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// TestCheck guards against a process that starts with certificate or key files that make every connection fail.
func TestCheck(t *testing.T) {
	a := newAuthority(t, "ca")
	good := issue(t, a, "good", time.Now().Add(time.Hour))
	other := issue(t, a, "other", time.Now().Add(time.Hour))
	cases := []struct {
		name  string
		files tlsconf.Files
		want  []string // parts of the findings, in order
	}{
		{"good", good, nil},
		{"plaintext", tlsconf.Files{Plaintext: true}, nil},
		{"nothing", tlsconf.Files{}, []string{"certificate: is missing", "key: is missing", "ca: is missing"}},
		{"plaintext with key", tlsconf.Files{Plaintext: true, Key: good.Key}, []string{"plaintext: is true, but"}},
		{"expired", issue(t, a, "old", time.Now().Add(-time.Hour)), []string{"expired at"}},
		{"mismatch", tlsconf.Files{Certificate: good.Certificate, Key: other.Key, CA: a.Path}, []string{"does not match"}},
		{"unreadable", tlsconf.Files{Certificate: "absent.pem", Key: good.Key, CA: good.Key}, []string{"absent.pem", "holds no PEM certificate"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.files.Check(tlsconf.Requirement{ClientCertificates: true}, time.Now())
			if len(got) != len(c.want) {
				t.Fatalf("findings %v, want %v", got, c.want)
			}
			for i, w := range c.want {
				if text := got[i].Key + ": " + got[i].Message; !strings.Contains(text, w) {
					t.Errorf("finding %q does not contain %q", text, w)
				}
			}
		})
	}
}

// TestMutualTLS guards against a control listener that accepts a client whose certificate was issued by another
// authority than the fleet's.
func TestMutualTLS(t *testing.T) {
	fleetAuthority, otherAuthority := newAuthority(t, "fleet"), newAuthority(t, "foreign")
	files := issue(t, fleetAuthority, "node", time.Now().Add(time.Hour))
	server, err := files.Server()
	if err != nil {
		t.Fatal(err)
	}
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go echo(l)
	otherFiles := issue(t, otherAuthority, "intruder", time.Now().Add(time.Hour))
	otherFiles.CA = fleetAuthority.Path
	if err := exchange(t, l.Addr(), files); err != nil {
		t.Errorf("process of the fleet: %v", err)
	}
	if err := exchange(t, l.Addr(), otherFiles); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
}

func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.Copy(c, io.LimitReader(c, 4))
		}()
	}
}

func exchange(t *testing.T, addr net.Addr, files tlsconf.Files) error {
	t.Helper()
	conf, err := files.PeerClient()
	if err != nil {
		t.Fatal(err)
	}
	c, err := tls.Dial("tcp", addr.String(), conf)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write([]byte("ping")); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 4))
	return err
}
