package daemon

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/resources"
	"github.com/camphorbank/camphorbank/internal/settings"
	"github.com/camphorbank/camphorbank/internal/traffic"
)

// tlsConfigs holds the TLS configurations of a process: for its listeners and for its connections to peers. Each is nil
// for plain TCP.
type tlsConfigs struct {
	callers, peers, operators *tls.Config
	peerClient                *tls.Config
}

func loadTLS(s *settings.Settings) (c tlsConfigs, err error) {
	if s.Role == settings.RoleEntry {
		if c.callers, err = s.TLS.Callers.Server(); err != nil {
			return c, errorx.Decorate(err, "tls.callers")
		}
	}
	if c.peers, err = s.TLS.Peers.Server(); err != nil {
		return c, errorx.Decorate(err, "tls.peers")
	}
	if c.operators, err = s.TLS.Operators.Server(); err != nil {
		return c, errorx.Decorate(err, "tls.operators")
	}
	c.peerClient, err = s.TLS.Peers.PeerClient()
	return c, err
}

// listen opens a listener for a limited number of connections, with TLS unless conf is nil.
func listen(addr string, conns *connlimit.Limit, conf *tls.Config) (net.Listener, error) {
	l, err := resources.Listen(addr, conns)
	if err != nil {
		return nil, err
	}
	return withTLS(conns.Listener(l), conf), nil
}

// listenControl opens the control listener, with TLS unless conf is nil, and counts its traffic. Its server limits the
// connections.
func (d *daemon) listenControl(addr string, conf *tls.Config) (net.Listener, error) {
	l, err := d.resources.ListenPeers(addr)
	if err != nil {
		return nil, err
	}
	return withTLS(traffic.CountListener(l), conf), nil
}

// withTLS returns l with TLS, or l itself if conf is nil.
func withTLS(l net.Listener, conf *tls.Config) net.Listener {
	if conf == nil {
		return l
	}
	return tls.NewListener(l, conf)
}

// listeners holds the open listeners of a process. The work listener is that of callers in an entry, and the data
// listener in a local process.
type listeners struct{ control, work, operators net.Listener }

// openListeners opens the listeners. It opens the control listener first: if another process of the same VM has bound
// that port, this one fails before it opens any other listener.
func (d *daemon) openListeners(workAddr string, workTLS *tls.Config) (s listeners, err error) {
	l := d.settings.Listen
	if s.control, err = d.listenControl(l.Control, d.tls.peers); err != nil {
		return s, errorx.Decorate(err, "control listener")
	}
	if s.work, err = listen(workAddr, d.resources.Callers, workTLS); err != nil {
		return s, errorx.Decorate(err, "work listener")
	}
	if s.operators, err = listen(l.Operators, d.resources.Operators, d.tls.operators); err != nil {
		return s, errorx.Decorate(err, "operators' listener")
	}
	return s, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ConnState: connlimit.ConnState, ConnContext: connlimit.ConnContext}
}

// serve runs a server on a listener. It returns nil after the server was shut down.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
