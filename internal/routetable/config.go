// Package routetable holds one published revision of the routes, services and client accounts, and matches requests to
// routes.
package routetable

import "time"

// Kind says what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	KindSafe   Kind = "safe"   // may run more than once
	KindUnsafe Kind = "unsafe" // runs at most once for each client attempt
	KindStream Kind = "stream" // a series of events; may run again only where it can be resumed
)

// Config is one published revision.
type Config struct {
	Version  int64     `json:"version"` // increases with each revision
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"` // empty if requests carry no keys
	Limits   Limits    `json:"limits"`
}

// Route maps requests to a service.
type Route struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	Prefix      string        `json:"prefix"` // begins and ends with a slash
	Kind        Kind          `json:"kind"`
	Timeout     time.Duration `json:"timeout"`   // longest time until the final answer
	Objective   time.Duration `json:"objective"` // latency objective; of the first event for streams
	EventGap    time.Duration `json:"event_gap"` // longest pause between events that is on time; 0 if unstated
	Priority    int           `json:"priority"`  // 0 is the most urgent
	Backends    []Backend     `json:"backends"`
	MaxAttempts int           `json:"max_attempts"` // targets that one client attempt may be sent to
	Public      bool          `json:"public"`       // needs no key
	Resumable   bool          `json:"resumable"`    // a stream may go on at another target after its last event
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Idempotent says whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a group of equal targets.
type Service struct {
	Name     string  `json:"name"`
	MaxConns int     `json:"max_conns"` // connections that one target accepts from all callers together; 0 if unstated
	Engine   *Engine `json:"engine"`    // nil for plain services
}

// Engine describes the model engines of a service. Times are those of an engine with nothing else to do.
type Engine struct {
	Slots        int           `json:"slots"`         // requests in one batch
	MemoryTokens int           `json:"memory_tokens"` // KV cache of one engine
	Stride       int           `json:"stride"`        // token steps in one pass; one event is sent for each pass
	StepTime     time.Duration `json:"step_time"`     // of one token step without any request
	PerRequest   time.Duration `json:"per_request"`   // added to a step by each request that is writing
	PerContext   time.Duration `json:"per_context"`   // added to a step by each 1,000 tokens of context
	ReadRate     float64       `json:"read_rate"`     // prompt tokens read in a second
	PerPairs     time.Duration `json:"per_pairs"`     // added by each million pairs of a prompt token and an earlier one
	Chunk        int           `json:"chunk"`         // prompt tokens read in one step at most
	Experts      Experts       `json:"experts"`
}

// Experts describes the expert-parallel part of an engine's work.
type Experts struct {
	Layers        int           `json:"layers"`   // sets of layers, each with a placement of its own
	Count         int           `json:"count"`    // experts in each layer set
	Places        int           `json:"places"`   // experts that a rank can hold in each layer set
	NewPerLayer   int           `json:"new"`      // experts that a rank may load in each layer set for one map
	ExpertBytes   float64       `json:"bytes"`    // weights of one expert
	LinkBandwidth float64       `json:"link_bps"` // bits per second at which a rank loads weights
	Share         float64       `json:"share"`    // share of the work for tokens that experts do
	FormTime      time.Duration `json:"form"`     // time in which a broken group opens again
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
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"` // time in which a client must send its headers
	IdleTimeout   time.Duration `json:"idle_timeout"`   // time after which an idle connection is closed
}
