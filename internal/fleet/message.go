// Package fleet implements membership and state exchange between the processes of camphorbank.
//
// Entries, the processes that accept callers' requests, find each other through seed addresses. Each pair of entries, in
// a large fleet only of the same data centre (see Summary), exchanges heartbeats (Heartbeat) that state the sender's requests in flight and the versions of its configuration,
// target list and members. An entry that is behind fetches the newer state from the other one. The processes that run
// beside the ranks of an engine group register with one entry, which returns the other ranks of the group.
package fleet

import (
	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// Names of the RPC methods that entries serve.
const (
	methodExchange = "fleet.exchange"
	methodState    = "fleet.state"
	methodRank     = "fleet.rank"
	methodGroup    = "fleet.group"
)

// Entry identifies one entry: a process that accepts callers' requests.
type Entry struct {
	Name    string `json:"n"`
	Control string `json:"c"` // address for calls between processes
	Started int64  `json:"s"` // start time in Unix nanoseconds; distinguishes incarnations
	// DataCentre is the data centre of the entry.
	DataCentre string `json:"dc,omitempty"`
}

// Rank identifies a process that runs beside one rank of an engine group.
type Rank struct {
	Name    string `json:"n"`
	Control string `json:"c"` // address for calls between processes
	Started int64  `json:"s"` // start time in Unix nanoseconds; distinguishes incarnations
	Engine  string `json:"e"` // address of the rank's engine
	Group   string `json:"g"` // name of the engine group
	Rank    int    `json:"r"`
	Size    int    `json:"z"` // number of ranks in the group
	// DataCentre is the data centre of the process.
	DataCentre string `json:"dc,omitempty"`
}

// Heartbeat is the message that two entries send each other as request and reply of methodExchange.
type Heartbeat struct {
	From    Entry              `json:"from"`
	Config  int64              `json:"cv"` // version of the configuration in force
	List    targetset.Position `json:"lr"` // position of the sender's list of targets
	Members uint64             `json:"mh"` // hash of the known entries and ranks
	Leaves  []targetset.Leave  `json:"lv,omitempty"`
	// LeaveRange states which of the sender's leaves Leaves holds, and which leaves of the receiver the sender has.
	LeaveRange LeaveRange `json:"ln,omitzero"`
	// InFlight holds the number of requests that the sender has in flight at each target, in the order of the target ids
	// at the position List. See encodeInFlight.
	InFlight      []byte `json:"if,omitempty"`
	ReadsPlatform bool   `json:"rd,omitempty"` // the sender reads the platform itself and reaches it
	Stopping      bool   `json:"st,omitempty"`
	// Evidence states which parts of prompts crash engines.
	Evidence *quarantine.Report `json:"ev,omitempty"`
	// Demand holds the sender's demand by service and priority. See encodeDemand.
	Demand []byte `json:"dm,omitempty"`
	// Summary is sent instead of InFlight to entries of other data centres in a large fleet.
	Summary *Summary `json:"sm,omitempty"`
}

// LeaveRange makes sure that two entries send each other each leave until it has arrived, and not after that. Each entry
// numbers the changes of its leaves. The numbers of one incarnation mean nothing to another one.
type LeaveRange struct {
	// After and Last are the numbers of the changes between which the leaves of a heartbeat lie. The receiver has all up
	// to Last if it had all up to After.
	After int64 `json:"a,omitempty"`
	Last  int64 `json:"l,omitempty"`
	// Have is the number up to which the sender of the heartbeat has the leaves of the receiver, in the incarnation of
	// the receiver that started at HaveOf. It is 0 for none.
	Have   int64 `json:"h,omitempty"`
	HaveOf int64 `json:"o,omitempty"`
}

// StateRequest asks an entry for the parts of its state that are newer than the sender's.
type StateRequest struct {
	Config  int64              `json:"cv"` // configuration version that the sender has
	List    targetset.Position `json:"lr"` // position of the target list that the sender has
	Members bool               `json:"m"`  // whether to include the known entries and ranks
}

// StateReply holds a compressed State. A configuration with many routes takes hundreds of kilobytes uncompressed, and
// is sent to each entry that does not read it from the platform.
type StateReply struct {
	Packed []byte `json:"z"`
}

// State holds the parts of an entry's state that a StateRequest asked for. Parts that are not newer are left empty.
type State struct {
	Config  *routetable.Config `json:"c,omitempty"`
	List    targetset.Position `json:"lr"`
	Targets []targetset.Target `json:"t,omitempty"`
	// Evacuations belongs to the list.
	Evacuations []targetset.Evacuation `json:"v,omitempty"`
	Entries     []Entry                `json:"e,omitempty"`
	Ranks       []Rank                 `json:"r,omitempty"`
}

// RankRequest registers a process that runs beside a rank.
type RankRequest struct {
	Rank
	Have uint64 `json:"h,omitempty"` // Digest of the last reply; 0 for none
}

// RankReply tells a rank's process which entries and which other ranks of its group it can call.
type RankReply struct {
	Entries []Entry            `json:"e"`
	Ranks   []Rank             `json:"r"` // of the sender's group, the sender included
	Engine  *routetable.Engine `json:"g"` // engine parameters of the service; nil while they are unknown
	// Digest is a hash of the other fields. If it equals the digest in the request, the other fields are left empty.
	Digest uint64 `json:"d"`
}

// GroupState is the state of an engine group, which the group's coordinator sends to the entries.
type GroupState struct {
	Group     string      `json:"g"`
	Term      int64       `json:"t"`           // of the coordinator; a state replaces those of lower terms
	Seq       int64       `json:"q"`           // increases within a term
	Epoch     int64       `json:"e"`           // increases each time the group is formed
	Open      bool        `json:"o"`           // whether the group serves requests
	Imbalance float64     `json:"i"`           // work of the most loaded rank, times its pace, over the mean; 0 if unknown
	Ranks     []RankState `json:"r,omitempty"` // by rank; empty if the receiver has them
	// RanksSeq is the Seq of the first state of the term with these ranks. It is never 0.
	RanksSeq int64 `json:"rq"`
}

// GroupReply is the answer of an entry to the state of a group.
type GroupReply struct {
	NeedsRanks bool `json:"n,omitempty"` // the entry does not have the ranks that RanksSeq names
}

// RankState is the state of one rank's engine.
type RankState struct {
	Engine string  `json:"e"`           // address; empty while it is unknown
	Pace   float64 `json:"p,omitempty"` // above 1 if the engine is slow
}
