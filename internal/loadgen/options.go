// Package loadgen is an open-loop load generator for entries, used by camphorbank load and by tests. Requests arrive at
// random times that do not depend on the answers, and each answer is checked.
package loadgen

import (
	"crypto/tls"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"time"

	"github.com/camphorbank/camphorbank/internal/finding"
)

// Class is the kind of a generated request.
type Class string

// Classes of requests.
const (
	ClassShort   Class = "short"   // short drafts
	ClassLong    Class = "long"    // long drafts, whose lengths have a heavy tail
	ClassCall    Class = "call"    // calls of an idempotent operation
	ClassBooking Class = "booking" // calls of a non-idempotent operation, with a ticket
)

// Classes lists the classes in the order of reports.
func Classes() []Class { return []Class{ClassShort, ClassLong, ClassCall, ClassBooking} }

// Limits on the options of a run, so that a mistyped flag cannot exhaust the machine, and the properties of drafts that
// have no option.
const (
	maxRatePerSecond   = 20_000
	maxDuration        = time.Hour
	maxInFlight        = 10_000 // requests
	maxTimeout         = 10 * time.Minute
	maxTokens          = 100_000 // limit of the callers' API
	maxDeadline        = time.Hour
	longParetoExponent = 1.2 // of the distribution of the numbers of tokens of long drafts
	minShortTokens     = 5
)

// Peak is a period of the run in which requests arrive at another rate.
type Peak struct {
	Rate     float64       // requests a second
	Start    time.Duration // since the start of the run
	Duration time.Duration // 0 for a run without a peak
}

// Options describe the requests of a run and the entries that get them.
type Options struct {
	Entries     []string // base URLs, used in turn
	Keys        []string // keys of client accounts; each request uses one of them at random
	TLS         *tls.Config
	AllowRemote bool // send to addresses that are not loopback

	Rate        float64 // mean arrivals a second outside the peak
	Peak        Peak
	Duration    time.Duration     // time in which requests arrive; the run ends at most Timeout later
	Mix         map[Class]float64 // weights of the classes
	Streamed    float64           // share of the drafts that are streamed
	Seed        uint64
	MaxInFlight int           // requests; further arrivals are dropped and counted
	Timeout     time.Duration // time in which an answer must end
	Deadline    time.Duration // deadline stated in requests; 0 takes that of the preset

	Model            string
	ShortTokens      int    // highest number of tokens of a short draft
	MinLongTokens    int    // lowest number of tokens of a long draft
	LongestTokens    int    // highest number of tokens of a long draft
	Service          string // plain service of calls and bookings
	Operation        string // idempotent operation, for calls
	BookingOperation string // non-idempotent operation, for bookings
}

// Defaults returns the options of a run of 15 seconds with requests of all classes, at a rate for a small fleet. Keys,
// Model, Service and the operations have no defaults.
func Defaults() Options {
	return Options{
		Entries: []string{"http://127.0.0.1:8080"}, Rate: 20, Duration: 15 * time.Second, Streamed: 0.5, Seed: 1,
		Mix:         map[Class]float64{ClassShort: 6, ClassLong: 1, ClassCall: 2, ClassBooking: 1},
		MaxInFlight: 500, Timeout: time.Minute,
		ShortTokens: 60, MinLongTokens: 250, LongestTokens: 4000,
	}
}

// checker collects the findings about the options of a run.
type checker struct{ findings finding.List }

// require adds a finding about the option named key unless ok is true.
func (c *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.findings = append(c.findings, finding.Finding{File: "load", Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

// requireBetween requires a value from low to high. It rejects NaN, which fails every comparison.
func (c *checker) requireBetween(key string, value, low, high float64) {
	c.require(value >= low && value <= high, key, "%v is not between %v and %v", value, low, high)
}

func (c *checker) requireDurationBetween(key string, value, low, high time.Duration) {
	c.require(value >= low && value <= high, key, "%v is not between %v and %v", value, low, high)
}

// Validate checks the options and returns all findings together, as a finding.List.
func (o *Options) Validate() error {
	c := &checker{}
	o.checkEntries(c)
	o.checkArrivals(c)
	o.checkMix(c)
	c.require(len(o.Keys) > 0, "keys", "at least one key of a client account is needed")
	for _, k := range o.Keys {
		c.require(k != "", "keys", "a key is empty")
	}
	return c.findings.Err()
}

func (o *Options) checkEntries(c *checker) {
	c.require(len(o.Entries) > 0, "entries", "at least one entry is needed")
	for _, e := range o.Entries {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			c.require(false, "entries", "%q is not a base URL such as http://127.0.0.1:8080", e)
			continue
		}
		c.require(o.AllowRemote || isLoopback(u.Hostname()), "entries", "%q is not a loopback address, and remote entries are not allowed", e)
	}
}

// isLoopback reports whether host is a loopback IP address. It rejects names, since a name may resolve to any address.
func isLoopback(host string) bool {
	addr, err := netip.ParseAddr(host)
	return err == nil && addr.Unmap().IsLoopback()
}

func (o *Options) checkArrivals(c *checker) {
	c.requireBetween("rate", o.Rate, 0.01, maxRatePerSecond)
	c.requireDurationBetween("duration", o.Duration, 10*time.Millisecond, maxDuration)
	c.requireDurationBetween("timeout", o.Timeout, 10*time.Millisecond, maxTimeout)
	c.requireDurationBetween("deadline", o.Deadline, 0, maxDeadline)
	c.require(o.Deadline == 0 || o.Deadline >= time.Millisecond, "deadline", "%v is less than 1ms", o.Deadline)
	c.requireBetween("max-in-flight", float64(o.MaxInFlight), 1, maxInFlight)
	if o.Peak == (Peak{}) {
		return
	}
	c.requireBetween("peak", o.Peak.Rate, 0.01, maxRatePerSecond)
	c.requireDurationBetween("peak", o.Peak.Start, 0, o.Duration)
	c.requireDurationBetween("peak", o.Peak.Duration, time.Millisecond, max(o.Duration-o.Peak.Start, time.Millisecond))
}

func (o *Options) checkMix(c *checker) {
	sum := 0.0
	for class, weight := range o.Mix {
		c.require(class == ClassShort || class == ClassLong || class == ClassCall || class == ClassBooking, "mix", "unknown class %q", class)
		c.require(weight >= 0 && !math.IsInf(weight, 0), "mix", "the weight %v of %s is not a number from 0", weight, class)
		sum += weight
	}
	c.require(sum > 0 && !math.IsInf(sum, 0), "mix", "no class has a weight")
	c.requireBetween("streamed", o.Streamed, 0, 1)
	has := func(class Class) bool { return o.Mix[class] > 0 }
	if has(ClassShort) {
		c.requireBetween("short-tokens", float64(o.ShortTokens), minShortTokens, maxTokens)
	}
	if has(ClassLong) {
		c.requireBetween("long-tokens", float64(o.MinLongTokens), 1, maxTokens)
		c.requireBetween("longest-tokens", float64(o.LongestTokens), float64(o.MinLongTokens), maxTokens)
	}
	c.require(o.Model != "" || !has(ClassShort) && !has(ClassLong), "model", "drafts need a model")
	c.require(o.Service != "" || !has(ClassCall) && !has(ClassBooking), "service", "calls and bookings need a service")
	c.require(o.Operation != "" || !has(ClassCall), "operation", "calls need an idempotent operation")
	c.require(o.BookingOperation != "" || !has(ClassBooking), "booking-operation", "bookings need an operation")
}
