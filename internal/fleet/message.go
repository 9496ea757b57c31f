// Package fleet keeps the processes of camphorbank in touch with each other. Entries find each other through seeds, and
// exchange at short intervals what each of them has in flight and which versions it knows; whoever is behind fetches the
// rest. Processes beside engine ranks report to an entry, which tells them the other ranks of their group.
package fleet

import (
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// Methods that entries serve.
const (
	methodExchange = "fleet.exchange"
	methodState    = "fleet.state"
	methodRank     = "fleet.rank"
	methodGroup    = "fleet.group"
)

// Entry is one entry of the fleet.
type Entry struct {
	Name    string `json:"n"`
	Control string `json:"c"` // address
	Started int64  `json:"s"` // Unix nanoseconds; tells incarnations apart
}

// Rank is a process beside one rank of an engine group.
type Rank struct {
	Name    string `json:"n"`
	Control string `json:"c"` // address
	Started int64  `json:"s"` // Unix nanoseconds; tells incarnations apart
	Engine  string `json:"e"` // address of the rank's engine
	Group   string `json:"g"`
	Rank    int    `json:"r"`
	Size    int    `json:"z"` // ranks of the group
}

// Beat is what entries tell each other at short intervals.
type Beat struct {
	From    Entry             `json:"from"`
	Config  int64             `json:"cv"` // version in force
	List    int64             `json:"lr"` // revision of the list of targets
	Members uint64            `json:"mh"` // hash of the known entries and ranks
	Leaves  []targetset.Leave `json:"lv,omitempty"`
	// InFlight counts the requests in flight from the sender, in the order of the targets' ids at the revision List.
	InFlight []byte `json:"if,omitempty"`
	Reading  bool   `json:"rd,omitempty"` // the sender follows the platform by itself and reaches it
	Stopping bool   `json:"st,omitempty"`
}

// StateRequest asks for what the sender lacks.
type StateRequest struct {
	Config  int64 `json:"cv"` // version that the sender has
	List    int64 `json:"lr"` // revision that the sender has
	Members bool  `json:"m"`  // whether to send the members
}

// StateReply holds a State in few bytes: a configuration with many routes is hundreds of kilobytes, and goes to each entry
// that does not read it from the platform.
type StateReply struct {
	Packed []byte `json:"z"`
}

// State is what is newer than a request states.
type State struct {
	Config  *routetable.Config `json:"c,omitempty"`
	List    int64              `json:"lr,omitempty"`
	Targets []targetset.Target `json:"t,omitempty"`
	Entries []Entry            `json:"e,omitempty"`
	Ranks   []Rank             `json:"r,omitempty"`
}

// RankRequest reports a process beside a rank.
type RankRequest struct {
	Rank
	Have uint64 `json:"h,omitempty"` // Digest of the last reply; 0 for none
}

// RankReply tells a rank's process whom to speak with.
type RankReply struct {
	Entries []Entry            `json:"e"`
	Ranks   []Rank             `json:"r"` // of the same group
	Engine  *routetable.Engine `json:"g"` // of the service; nil while it is unknown
	// Digest tells replies with other contents apart. A reply whose digest the request states holds nothing else.
	Digest uint64 `json:"d"`
}

// GroupState is what the coordinator of a group tells the entries.
type GroupState struct {
	Group     string      `json:"g"`
	Term      int64       `json:"t"` // of the coordinator; higher terms replace lower ones
	Seq       int64       `json:"q"` // increases within a term
	Epoch     int64       `json:"e"`
	Open      bool        `json:"o"`
	Imbalance float64     `json:"i"`           // work of the most loaded rank, times its pace, against the mean; 0 if unknown
	Ranks     []RankState `json:"r,omitempty"` // empty if they are those of the state before, in the same term
}

// RankState is the state of one rank's engine.
type RankState struct {
	Engine string  `json:"e"`           // address; empty while it is unknown
	Pace   float64 `json:"p,omitempty"` // above 1 if the engine is slow
}
