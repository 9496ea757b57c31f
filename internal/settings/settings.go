// Package settings defines the settings file that a camphorbankd process reads at its start: its role, name, addresses
// and TLS files, where it finds the platform's services, and the target of a local process. It decodes the TOML file
// and checks it for the role. Processes that run with the flag -platform read the settings file of package platform
// instead.
package settings

import (
	"os"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/tlsconf"
	"github.com/camphorbank/camphorbank/internal/tomldoc"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Roles of a process.
const (
	RoleEntry = "entry" // accepts callers' requests
	RoleLocal = "local" // runs beside one target
)

// Settings are the start-up settings of one process. The tags of the fields of this and the types below state keys,
// defaults and bounds as package tomldoc defines them.
type Settings struct {
	Role       string          `toml:"role" oneof:"entry local"`
	Name       string          `toml:"name" min:"1" max:"64"` // name of the VM in the platform's VM list
	DataCentre string          `toml:"data_centre" min:"1" max:"64"`
	TicketKey  string          `toml:"ticket_key" min:"64" max:"1024"`              // hexadecimal key that authenticates booking tickets; the same in all entries
	DrainDelay config.Duration `toml:"drain_delay" default:"3s" min:"0s" max:"10m"` // time from SIGTERM, when the process begins to report that it drains, until it refuses new work
	Listen     Listen          `toml:"listen"`
	Platform   Platform        `toml:"platform"`
	Target     Target          `toml:"target" default:""` // local only
	TLS        TLS             `toml:"tls"`
	Limits     Limits          `toml:"limits" default:""`
}

// Limits bound what clients can make the process use. Package resources divides them.
type Limits struct {
	MemoryMB int `toml:"memory_mb" default:"1024" min:"64" max:"1048576"` // memory of the VM for the process, in units of 10^6 bytes
	Sockets  int `toml:"sockets" default:"8192" min:"64" max:"1048576"`   // connections that the process has open at once, its own included
}

// Listen holds the addresses that the process listens on, of the form IP:PORT.
type Listen struct {
	Callers   string `toml:"callers" default:""` // entry only
	Data      string `toml:"data" default:""`    // local only
	Control   string `toml:"control" min:"1"`
	Operators string `toml:"operators" min:"1"`
}

// TLS names the certificate and key files of each kind of listener. Each kind that the process has needs a certificate
// or plaintext = true.
type TLS struct {
	Callers   tlsconf.Files `toml:"callers" default:""`   // callers' listener; entry only
	Peers     tlsconf.Files `toml:"peers" default:""`     // data and control listeners, and connections to other processes
	Operators tlsconf.Files `toml:"operators" default:""` // operators' listener
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	ConfigURL string `toml:"config_url" min:"1"`
	VMListURL string `toml:"vm_list_url" min:"1"`
}

// Target describes the target that runs beside a local process.
type Target struct {
	Kind   wire.Kind `toml:"kind" oneof:"draft call"`
	Serves string    `toml:"serves" min:"1" max:"64"` // name of a model or of a plain service
	URL    string    `toml:"url" min:"1"`
	Slots  int       `toml:"slots" default:"8" min:"1" max:"100000"` // number of requests that the target runs at once, until the target reports it itself
	Group  string    `toml:"group" default:"" max:"64"`              // name of the target's rank group; empty if it belongs to none
	Rank   int       `toml:"rank" default:"0" min:"0" max:"1023"`
}

// Load reads and checks a settings file. It returns all problems of its content together as a finding.List.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, body)
}

// Parse decodes and checks settings. It returns all problems together as a finding.List, in which file is the name of
// the settings file.
func Parse(file string, body []byte) (*Settings, error) {
	var s Settings
	src := tomldoc.Parse(file, body)
	src.Decode(&s)
	s.validate(src)
	if err := src.Findings().Err(); err != nil {
		return nil, err
	}
	return &s, nil
}
