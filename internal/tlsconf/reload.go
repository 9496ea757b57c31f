package tlsconf

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// reloadInterval is the shortest time between two checks of the files for a renewal. It may be long, since certificates
// are renewed hours before they expire.
const reloadInterval = 30 * time.Second

// certificateReloader holds a certificate with its key, and loads both again after the certificate file has changed, so
// that a renewal needs no restart. It checks the file when a handshake needs the certificate.
type certificateReloader struct {
	certificatePath, keyPath string
	now                      func() time.Time

	mu        sync.Mutex
	loaded    *tls.Certificate
	modTime   time.Time // of the certificate file when it was loaded
	lastCheck time.Time
}

func newCertificateReloader(certificatePath, keyPath string, now func() time.Time) (*certificateReloader, error) {
	r := &certificateReloader{certificatePath: certificatePath, keyPath: keyPath, now: now}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *certificateReloader) load() error {
	info, err := os.Stat(r.certificatePath)
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(r.certificatePath, r.keyPath)
	if err != nil {
		return err
	}
	r.loaded, r.modTime = &pair, info.ModTime()
	return nil
}

// current returns the certificate, after a check for a renewal if one is due. While the files are unreadable or do not
// match, as can happen in the middle of a renewal, it returns the certificate loaded earlier.
func (r *certificateReloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.lastCheck) < reloadInterval {
		return r.loaded
	}
	r.lastCheck = now
	if info, err := os.Stat(r.certificatePath); err == nil && !info.ModTime().Equal(r.modTime) {
		_ = r.load()
	}
	return r.loaded
}

func (r *certificateReloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.current(), nil
}

func (r *certificateReloader) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.current(), nil
}
