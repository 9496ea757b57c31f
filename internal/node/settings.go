// Package node runs one process of camphorbank on a platform that starts it with the settings of its VM.
package node

import "time"

// Role is what a process does.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry" // takes callers' requests
	RoleRank  Role = "rank"  // runs beside one rank of an engine group
)

// Settings are what the platform tells a process at its start.
type Settings struct {
	Name        string
	Role        Role
	IP          string
	DataCentre  string
	Ports       PortRange // for traffic between processes of camphorbank
	Seeds       []string  // control addresses of some entries, possibly stale
	FirstStart  bool      // the whole system starts for the first time
	Listen      Listen
	LocalEngine string // address of the engine on the same VM; empty without one
	MemoryBytes int64
	Files       int // descriptors that the process may hold
	Bounds      Bounds
	Store       string // address of the platform's store
}

// PortRange is an inclusive range of ports.
type PortRange struct{ First, Last int }

// Listen holds the addresses that a process serves.
type Listen struct {
	Callers string
	Ready   string
	Control string
	Metrics string // empty if metrics are not served
}

// Bounds are the promises of the deployment.
type Bounds struct {
	Grace         time.Duration // from SIGTERM to SIGKILL
	Drain         time.Duration // in which a leaving target must get its last request
	ConfigApply   time.Duration // in which a configuration must be in force
	StoreTimeout  time.Duration // in which the store acknowledges
	EventDelay    time.Duration // in which an event must be passed on
	RetryShare    float64       // further attempts allowed for each request
	RetrySlack    float64       // further attempts allowed besides, in each window, by all processes together
	RetryWindow   time.Duration
	Stall         time.Duration // in which an engine gives up on a rank that is gone
	FencingChecks bool          // engines refuse orders with an old fencing number
}
