package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"time"

	"github.com/camphorbank/camphorbank/internal/tlsconf"
	"github.com/camphorbank/camphorbank/internal/tomldoc"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// validate checks the form of addresses, URLs and the ticket key, the TLS files, and that the keys belong to the role.
func (s *Settings) validate(src *tomldoc.Source) {
	validateTicketKey(src, s.TicketKey)
	validateAddress(src, "listen.control", s.Listen.Control)
	validateAddress(src, "listen.operators", s.Listen.Operators)
	validateURL(src, "platform.config_url", s.Platform.ConfigURL)
	validateURL(src, "platform.vm_list_url", s.Platform.VMListURL)
	switch s.Role {
	case RoleEntry:
		requireKey(src, "listen.callers")
		rejectKey(src, "listen.data", "belongs to role local only")
		rejectKey(src, "target", "belongs to role local only")
	case RoleLocal:
		requireKey(src, "listen.data")
		requireKey(src, "target")
		rejectKey(src, "listen.callers", "belongs to role entry only")
	}
	validateAddress(src, "listen.callers", s.Listen.Callers)
	validateAddress(src, "listen.data", s.Listen.Data)
	validateDistinctAddresses(src, s.Listen)
	validateURL(src, "target.url", s.Target.URL)
	s.validateTLS(src)
	if s.Target.Kind == wire.KindCall && s.Target.Group != "" {
		src.AddFinding("target.group", "belongs to targets of kind draft only")
	}
}

// validateTLS checks the TLS files of each kind of listener. Peers and operators must present client certificates.
func (s *Settings) validateTLS(src *tomldoc.Source) {
	mutualTLS := tlsconf.Requirement{ClientCertificates: true}
	if s.Role == RoleLocal {
		rejectKey(src, "tls.callers", "belongs to role entry only")
	} else {
		validateTLSFiles(src, "tls.callers", s.TLS.Callers, tlsconf.Requirement{})
	}
	validateTLSFiles(src, "tls.peers", s.TLS.Peers, mutualTLS)
	validateTLSFiles(src, "tls.operators", s.TLS.Operators, mutualTLS)
}

// validateTLSFiles reports the problems of the TLS files that the table names.
func validateTLSFiles(src *tomldoc.Source, table string, files tlsconf.Files, req tlsconf.Requirement) {
	for _, p := range files.Check(req, time.Now()) {
		src.AddFinding(tomldoc.KeyPath(table, p.Key), "%s", p.Message)
	}
}

func validateTicketKey(src *tomldoc.Source, key string) {
	if _, err := hex.DecodeString(key); err != nil {
		src.AddFinding("ticket_key", "is not hexadecimal; at least 32 bytes are wanted")
	}
}

func validateAddress(src *tomldoc.Source, path, addr string) {
	if addr == "" {
		return
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		src.AddFinding(path, "%q is not IP:PORT", addr)
	}
}

func validateURL(src *tomldoc.Source, path, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		src.AddFinding(path, "%q is not an http or https URL", text)
	}
}

// validateDistinctAddresses reports listeners that share an address. Port 0 may be shared, since each listener on it
// gets a free port of its own.
func validateDistinctAddresses(src *tomldoc.Source, l Listen) {
	listeners := []struct{ path, addr string }{
		{"listen.callers", l.Callers}, {"listen.data", l.Data}, {"listen.control", l.Control}, {"listen.operators", l.Operators},
	}
	pathOf := map[netip.AddrPort]string{}
	for _, listener := range listeners {
		a, err := netip.ParseAddrPort(listener.addr)
		if err != nil || a.Port() == 0 {
			continue
		}
		if other, used := pathOf[a]; used {
			src.AddFinding(listener.path, "has the address of %s", other)
			continue
		}
		pathOf[a] = listener.path
	}
}

// requireKey reports the key at path as missing if the document does not contain it, unless a syntax error may be why.
func requireKey(src *tomldoc.Source, path string) {
	if !src.Has(path) && src.SyntaxValid() {
		src.AddFinding(path, "missing key")
	}
}

// rejectKey reports the key at path for the given reason if the document contains it.
func rejectKey(src *tomldoc.Source, path, why string) {
	if src.Has(path) {
		src.AddFinding(path, "%s", why)
	}
}
