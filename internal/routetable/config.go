// Package routetable holds the published configuration of routes, services and client accounts, and matches requests to
// routes. A Config is one revision as published, a Table is the same revision prepared for matching, and a Store holds
// the table in force.
package routetable

import "time"

// Kind states whether requests of a route may run more than once.
type Kind string

// Kinds of routes.
const (
	KindSafe   Kind = "safe"   // may run more than once
	KindUnsafe Kind = "unsafe" // may run at most once for each attempt of the client
	KindStream Kind = "stream" // answered with a stream of events; may run more than once only if the route is resumable
)

// Config is one published revision of the configuration.
type Config struct {
	Version  int64     `json:"version"` // increases with each revision
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"` // empty if requests carry no keys
	Limits   Limits    `json:"limits"`
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	Prefix      string        `json:"prefix"` // begins and ends with a slash
	Kind        Kind          `json:"kind"`
	Timeout     time.Duration `json:"timeout"`   // longest time until the final answer
	Objective   time.Duration `json:"objective"` // latency objective; for streams, that of the first event
	EventGap    time.Duration `json:"event_gap"` // longest gap between events that is on time; 0 if unstated
	Priority    int           `json:"priority"`  // 0 is the most urgent
	Backends    []Backend     `json:"backends"`
	MaxAttempts int           `json:"max_attempts"` // targets to which one attempt of the client may be sent
	Public      bool          `json:"public"`       // requests need no key
	Resumable   bool          `json:"resumable"`    // a broken stream may resume at another target after its last event
	// Regions are the regions whose targets the requests may reach; empty for no limit. A limit of the account applies too.
	Regions []string `json:"regions,omitempty"`
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a set of interchangeable targets.
type Service struct {
	Name     string  `json:"name"`
	MaxConns int     `json:"max_conns"` // connections that one target accepts from all clients together; 0 if unstated
	Engine   *Engine `json:"engine"`    // nil if the targets are not model engines
	// ColdStart is the time for which a target is cold after its start, and ColdRate the number of requests per second that
	// it tolerates then. ColdRate is 0 if targets need no limit.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	ColdRate  float64       `json:"cold_rate,omitempty"`
}

// Engine describes the model engines of a service. The times apply to an engine without other work.
type Engine struct {
	Slots             int           `json:"slots"`         // requests in one batch
	MemoryTokens      int           `json:"memory_tokens"` // size of the KV cache of one engine, in tokens
	Stride            int           `json:"stride"`        // tokens that a step generates for each request, in one event
	StepTime          time.Duration `json:"step_time"`     // duration of a step without any request, per token of Stride
	PerRequest        time.Duration `json:"per_request"`   // added to StepTime by each request that generates tokens
	PerThousandTokens time.Duration `json:"per_context"`   // added to StepTime by each 1,000 tokens of context
	PrefillRate       float64       `json:"read_rate"`     // prompt tokens processed per second
	PerMillionPairs   time.Duration `json:"per_pairs"`     // added by each million pairs of a prompt token and an earlier one
	Chunk             int           `json:"chunk"`         // largest number of prompt tokens processed in one step
	Experts           Experts       `json:"experts"`
	// KeepsPrompts states that an engine keeps the prompts of past requests as far as its memory is not needed. Others hold a
	// prefix only while a request with it is in flight.
	KeepsPrompts bool `json:"keeps_prompts,omitempty"`
}

// Experts describes the expert-parallel part of an engine's work.
type Experts struct {
	Layers        int           `json:"layers"`   // number of layer sets, each of which has its own placement
	Count         int           `json:"count"`    // number of experts in each layer set
	SlotsPerRank  int           `json:"places"`   // experts that a rank can hold in each layer set
	NewPerLayer   int           `json:"new"`      // experts that a rank may load in each layer set for one map
	ExpertBytes   float64       `json:"bytes"`    // size of the weights of one expert
	LinkBandwidth float64       `json:"link_bps"` // bits per second at which a rank loads weights
	Share         float64       `json:"share"`    // share of the experts in the work for tokens
	FormTime      time.Duration `json:"form"`     // time that a broken group needs to form and open again
}

// LoadTime returns the time in which a rank loads the weights of one expert.
func (e Experts) LoadTime() time.Duration {
	if e.LinkBandwidth <= 0 {
		return 0
	}
	return time.Duration(e.ExpertBytes * 8 / e.LinkBandwidth * float64(time.Second))
}

// Account is a client account.
type Account struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority"` // takes precedence over the route's; nil if unstated
	// Regions are the regions whose targets the account's requests may reach; empty for no limit.
	Regions []string `json:"regions,omitempty"`
}

// Limits bounds the sizes and times of what a client sends.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"` // time in which a client must send its headers
	IdleTimeout   time.Duration `json:"idle_timeout"`   // time after which an idle connection is closed
}
