// Package config defines the configuration that operators publish for all processes of the fleet. It decodes and checks
// the published TOML document, turns a valid one into an immutable Snapshot for lookups, and holds the snapshot in
// force. Processes that run with the flag -platform use the configuration of package routetable instead.
package config

import (
	"fmt"
	"time"
)

// Duration is a duration that documents state with its unit, such as "250ms".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration such as "1.5s". A number without a unit is an error, including 0.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		return fmt.Errorf("%q is not a duration with a unit such as \"250ms\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Document is a published configuration. The tags of the fields of this and the types below state keys, defaults and
// bounds as package tomldoc defines them.
type Document struct {
	Revision       int64           `toml:"revision" min:"1" max:"1000000000000000"` // bounded, since all later revisions must be higher than a mistyped one
	PresetInForce  string          `toml:"preset_in_force" min:"1" max:"64"`
	Presets        []Preset        `toml:"presets" min:"1" max:"64"`
	ClientAccounts []ClientAccount `toml:"client_accounts" default:"" max:"10000"`
	Models         []Model         `toml:"models" default:"" max:"1000"`
	Services       []Service       `toml:"services" default:"" max:"1000"`
	Groups         []Group         `toml:"groups" default:"" max:"1000"`
}

// Preset is a named set of policies for admission, deadlines, retries, updates and rebalancing. One preset of a
// document is in force.
type Preset struct {
	Name               string   `toml:"name" min:"1" max:"64"`
	ShortMaxTokens     int      `toml:"short_max_tokens" default:"200" min:"0" max:"1000000"`   // drafts of at most this many tokens, prompt included, are short
	ShortReservedShare float64  `toml:"short_reserved_share" default:"0.25" min:"0" max:"1"`    // share of a target's slots reserved for short requests
	MaxWaitShort       Duration `toml:"max_wait_short" default:"500ms" min:"1ms" max:"10m"`     // short requests with a longer predicted wait are refused
	MaxWaitLong        Duration `toml:"max_wait_long" default:"4s" min:"1ms" max:"10m"`         // long requests with a longer predicted wait are refused
	DeadlineShort      Duration `toml:"deadline_short" default:"5s" min:"10ms" max:"10m"`       // default deadline of short drafts
	DeadlineLong       Duration `toml:"deadline_long" default:"60s" min:"10ms" max:"1h"`        // default deadline of long drafts
	DeadlineCall       Duration `toml:"deadline_call" default:"5s" min:"10ms" max:"10m"`        // default deadline of plain calls
	RetryShare         float64  `toml:"retry_share" default:"0.1" min:"0" max:"1"`              // retries permitted for each request
	MaxAttempts        int      `toml:"max_attempts" default:"3" min:"1" max:"3"`               // attempts of one request, the first included
	AdmitLongDrafts    bool     `toml:"long_open" default:"true"`                               // if false, long drafts are refused
	MaxUpdatingShare   float64  `toml:"max_updating_share" default:"0.25" min:"0" max:"1"`      // largest share of a model's targets out of service at once for a change of its version, but at least one target
	RebalanceSkew      float64  `toml:"rebalance_skew" default:"1.02" min:"0" max:"100"`        // no change of the expert map while the ratio of the most loaded rank to the mean is lower; 0 turns rebalancing off
	RebalanceInterval  Duration `toml:"rebalance_interval" default:"60s" min:"100ms" max:"24h"` // shortest time between two changes of a group's expert map
	RebalanceHorizon   Duration `toml:"rebalance_horizon" default:"10m" min:"100ms" max:"24h"`  // time over which the gain of a map change must exceed its cost
}

// ClientAccount is a client account and its limits.
type ClientAccount struct {
	Name              string  `toml:"name" min:"1" max:"64"`
	KeySHA256         string  `toml:"key_sha256" min:"64" max:"64"`                         // hexadecimal SHA-256 of the account's key
	Weight            int     `toml:"weight" default:"1" min:"1" max:"1000"`                // weight in the queue of a target, relative to other accounts
	RequestsPerSecond float64 `toml:"requests_per_second" default:"0" min:"0" max:"100000"` // per entry; 0 for no limit
	MaxInFlight       int     `toml:"max_in_flight" default:"0" min:"0" max:"100000"`       // per entry; 0 for no limit
}

// Model is a model that targets serve, with the version and the adapters that they load.
type Model struct {
	Name     string   `toml:"name" min:"1" max:"64"`
	Version  string   `toml:"version" default:"" max:"64"`
	Adapters []string `toml:"adapters" default:"" max:"1000" each:"min:\"1\" max:\"64\""`
}

// Service is a plain service, that is one whose targets answer calls and serve no model.
type Service struct {
	Name       string      `toml:"name" min:"1" max:"64"`
	Operations []Operation `toml:"operations" min:"1" max:"100"`
}

// Operation is one operation of a plain service.
type Operation struct {
	Name       string `toml:"name" min:"1" max:"64"`
	Idempotent bool   `toml:"idempotent"` // whether it may run more than once; has no default, since a wrong one could run a booking twice
}

// Group is a rank group: a set of engines that run one model in lockstep, each with some of the experts of the model.
type Group struct {
	Name                      string `toml:"name" min:"1" max:"64"`
	Model                     string `toml:"model" min:"1" max:"64"`
	Ranks                     int    `toml:"ranks" min:"1" max:"1024"`
	Layers                    int    `toml:"layers" min:"1" max:"1024"`
	Experts                   int    `toml:"experts" min:"1" max:"4096"`        // per layer
	SlotsPerRank              int    `toml:"slots_per_rank" min:"1" max:"4096"` // experts that one rank holds in each layer
	ExpertBytes               int64  `toml:"expert_bytes" min:"1" max:"1099511627776"`
	WeightStoreBytesPerSecond int64  `toml:"weight_store_bytes_per_second" min:"1" max:"1099511627776"` // the group's fixed share of the weight store's read rate
}
