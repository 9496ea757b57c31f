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

// validate checks the form of addresses, URLs and the ticket key, and that the tables fit the role.
func (s *Settings) validate(src *tomldoc.Source) {
	validateTicketKey(src, s.TicketKey)
	validateAddress(src, "listen.control", s.Listen.Control)
	validateAddress(src, "listen.operators", s.Listen.Operators)
	validateURL(src, "platform.config_url", s.Platform.ConfigURL)
	validateURL(src, "platform.vm_list_url", s.Platform.VMListURL)
	switch s.Role {
	case RoleEntry:
		required(src, "listen.callers")
		refuse(src, "listen.data", "belongs to role local only")
		refuse(src, "target", "belongs to role local only")
	case RoleLocal:
		required(src, "listen.data")
		required(src, "target")
		refuse(src, "listen.callers", "belongs to role entry only")
	}
	validateAddress(src, "listen.callers", s.Listen.Callers)
	validateAddress(src, "listen.data", s.Listen.Data)
	validateDistinct(src, s.Listen)
	validateURL(src, "target.url", s.Target.URL)
	s.validateTLS(src)
	if s.Target.Kind == wire.KindCall && s.Target.Group != "" {
		src.AddFinding("target.group", "belongs to targets of kind draft only")
	}
}

func (s *Settings) validateTLS(src *tomldoc.Source) {
	mutual := tlsconf.Requirement{ClientCertificates: true}
	if s.Role == RoleLocal {
		refuse(src, "tls.callers", "belongs to role entry only")
	} else {
		validateFiles(src, "tls.callers", s.TLS.Callers, tlsconf.Requirement{})
	}
	validateFiles(src, "tls.peers", s.TLS.Peers, mutual)
	validateFiles(src, "tls.operators", s.TLS.Operators, mutual)
}

func validateFiles(src *tomldoc.Source, table string, files tlsconf.Files, req tlsconf.Requirement) {
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

// validateDistinct reports listeners that share an address, except for port 0, which takes any free port.
func validateDistinct(src *tomldoc.Source, l Listen) {
	listeners := []struct{ path, addr string }{
		{"listen.callers", l.Callers}, {"listen.data", l.Data}, {"listen.control", l.Control}, {"listen.operators", l.Operators},
	}
	first := map[netip.AddrPort]string{}
	for _, one := range listeners {
		a, err := netip.ParseAddrPort(one.addr)
		if err != nil || a.Port() == 0 {
			continue
		}
		if other, used := first[a]; used {
			src.AddFinding(one.path, "has the address of %s", other)
			continue
		}
		first[a] = one.path
	}
}

func required(src *tomldoc.Source, path string) {
	if !src.Has(path) && src.SyntaxValid() {
		src.AddFinding(path, "missing key")
	}
}

func refuse(src *tomldoc.Source, path, why string) {
	if src.Has(path) {
		src.AddFinding(path, "%s", why)
	}
}
