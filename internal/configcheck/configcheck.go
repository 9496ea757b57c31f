// Package configcheck checks a published configuration before operators publish it, and states in words what it changes.
// It knows the types of package routetable only; the caller knows the format and the lines of the document.
package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// Severity states what a problem means for the use of the configuration.
type Severity string

// Severities of problems.
const (
	// Error means that the configuration cannot be meant like this, such as a route to a service that it does not describe.
	Error Severity = "error"
	// Warning means that a part of the configuration has no effect, or contradicts another one.
	Warning Severity = "warning"
)

// Problem is one problem of a configuration.
type Problem struct {
	Severity Severity
	Place    Place
	Message  string
}

// Section is a list of the configuration, or its limits.
type Section string

// Sections of a configuration.
const (
	Top      Section = "" // the configuration itself
	Routes   Section = "routes"
	Services Section = "services"
	Accounts Section = "accounts"
	Limits   Section = "limits"
)

// Field is a field of an element of a section.
type Field string

// Fields that problems name.
const (
	Version       Field = "version"
	Name          Field = "name"
	Host          Field = "host"
	Prefix        Field = "prefix"
	Timeout       Field = "timeout"
	Objective     Field = "objective"
	EventGap      Field = "event-gap"
	Resumable     Field = "resumable"
	MaxAttempts   Field = "max-attempts"
	Backends      Field = "backends"
	Weight        Field = "weight"
	MaxConns      Field = "max-connections"
	ColdRate      Field = "cold-rate"
	ColdStart     Field = "cold-start"
	EngineSlots   Field = "engine-slots"
	Keys          Field = "keys"
	HeaderBytes   Field = "header-bytes"
	BodyBytes     Field = "body-bytes"
	HeaderTimeout Field = "header-timeout"
	IdleTimeout   Field = "idle-timeout"
)

// Place is a place in a configuration.
type Place struct {
	Section Section
	Index   int // of the element of a list
	Field   Field
	Element int // index of a backend or of a key, if the field is in a list of them
}

// checker collects the problems of a configuration.
type checker struct {
	config   *routetable.Config
	services map[string]*routetable.Service
	used     map[string]bool // names of the services that get requests
	found    []Problem
}

// Check returns the problems of a configuration.
func Check(c *routetable.Config) []Problem {
	k := &checker{config: c, services: map[string]*routetable.Service{}, used: map[string]bool{}}
	k.checkVersion()
	k.checkServices()
	k.checkRoutes()
	k.checkUnusedServices()
	k.checkAccounts()
	k.checkLimits()
	return k.found
}

// add records a problem.
func (k *checker) add(s Severity, at Place, format string, args ...any) {
	k.found = append(k.found, Problem{s, at, fmt.Sprintf(format, args...)})
}

func (k *checker) checkVersion() {
	if k.config.Version <= 0 {
		k.add(Error, Place{Field: Version}, "missing or not above 0")
	}
}

// checkName reports a name that is empty or has been used before in its section.
func (k *checker) checkName(at Place, name string, seen map[string]bool) {
	at.Field = Name
	switch {
	case name == "":
		k.add(Error, at, "missing")
	case seen[name]:
		k.add(Error, at, "duplicate name %q", name)
	}
	seen[name] = true
}

// hashLength is the number of hexadecimal digits that identify a key in output.
const hashLength = 10

// KeyHash returns a short hash that identifies a key in output, which must never contain the key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:hashLength]
}

// HashKeys returns a copy of a configuration with the hashes of the keys in place of the keys.
func HashKeys(c routetable.Config) routetable.Config {
	accounts := make([]routetable.Account, len(c.Accounts))
	for i, a := range c.Accounts {
		keys := make([]string, len(a.Keys))
		for n, key := range a.Keys {
			keys[n] = KeyHash(key)
		}
		a.Keys = keys
		accounts[i] = a
	}
	c.Accounts = accounts
	return c
}
