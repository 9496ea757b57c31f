// Package node assembles and runs one camphorbank process on a platform, which provides the settings of its VM. A
// process is either an entry, which accepts callers' requests and forwards them to targets, or it runs beside one rank
// of an engine group and coordinates that group if needed. The package connects the parts of each role, reloads
// settings, and writes log lines and metrics.
package node

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/resources"
)

// Role is the function of a process.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry" // accepts callers' requests
	RoleRank  Role = "rank"  // runs beside one rank of an engine group
)

// Settings hold what the platform tells a process at its start. Some of them can change later; see Reloader.
type Settings struct {
	Name        string
	Role        Role
	IP          string
	DataCentre  string
	Regions     map[string]string // region of each data centre; one that is missing is in no known region
	Ports       PortRange         // for traffic between processes of camphorbank
	Seeds       []string          // control addresses of some entries, possibly stale
	FirstStart  bool              // no camphorbank process has run in this deployment before
	Listen      Listen
	LocalEngine string // address of the engine on the same VM; empty if there is none
	Bounds      DeploymentLimits
	Store       string // address of the platform's key-value store
	MemoryBytes int64  // memory of the VM, above which the process is killed; 0 if unstated
	MaxFiles    int    // descriptors that the process may have open; 0 if unstated
}

// limits returns the limits of memory and connections.
func (s *Settings) limits() resources.Limits {
	return resources.Limits{MemoryBytes: s.MemoryBytes, Sockets: resources.SocketsWithin(s.MaxFiles), NoCallers: s.Role == RoleRank}
}

// PortRange is an inclusive range of ports.
type PortRange struct{ First, Last int }

// Listen holds the addresses that a process listens on.
type Listen struct {
	Callers string // requests of callers
	Ready   string // readiness checks of the platform
	Control string // calls between processes of camphorbank
	Metrics string // empty if metrics are not served
}

// DeploymentLimits are the time limits and retry limits that the deployment guarantees or requires.
type DeploymentLimits struct {
	Grace         time.Duration // from SIGTERM to SIGKILL
	Drain         time.Duration // limit from the start of a target's drain until its last new request
	RetryShare    float64       // retries allowed for each request
	RetrySlack    float64       // retries allowed in addition in each window, by all processes together
	RetryWindow   time.Duration // length of the sliding window in which retries are counted
	ColdOvershoot float64       // requests in a second that a cold target may get, for each one that it tolerates
	ColdSlack     float64       // requests in a second that a cold target may get in addition
	FencingChecks bool          // engines reject orders with an outdated fencing number
	// Evacuation is the limit from the start of the evacuation of a data centre until the last request to its targets. It is 0
	// if the operator of the deployment does not evacuate data centres.
	Evacuation time.Duration
}
