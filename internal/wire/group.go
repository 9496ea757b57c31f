package wire

// Coordinator identifies one incarnation of the coordinator of a rank group, which changes the group's expert map.
type Coordinator struct {
	Number int64  `json:"number"` // higher than every number that the coordinator found at the ranks
	ID     string `json:"id"`     // incarnation of the local process; distinguishes coordinators with the same number
}

// Less reports whether c is older than d.
func (c Coordinator) Less(d Coordinator) bool {
	if c.Number != d.Number {
		return c.Number < d.Number
	}
	return c.ID < d.ID
}

// RankHold is an engine's promise not to begin a step before it knows the decision on an epoch.
type RankHold struct {
	Epoch int64 `json:"epoch"`
	Step  int64 `json:"step"`
}

// RankState is the state of one rank of a group, read from its engine.
type RankState struct {
	Group       string    `json:"group"`
	Rank        int       `json:"rank"`
	Step        int64     `json:"step"`      // last step that the rank has begun
	Epoch       int64     `json:"epoch"`     // epoch of the map in use, or of the map committed for a later step
	Decided     int64     `json:"decided"`   // highest epoch that was committed or aborted at this rank
	Committed   int64     `json:"committed"` // highest epoch that was committed at this rank
	Loading     []int64   `json:"loading"`   // epochs whose maps are being loaded in addition to the map in use
	Staged      []int64   `json:"staged"`    // epochs whose maps are loaded in addition to the map in use
	Hold        *RankHold `json:"hold,omitempty"`
	Next        *RankHold `json:"next,omitempty"` // committed change that is not yet in effect
	Fence       int64     `json:"fence"`          // highest fencing number seen; 0 if the engine ignores them
	CanHold     bool      `json:"can_hold"`       // false if the engine cannot hold a step
	ChecksFence bool      `json:"checks_fence"`   // true if the engine refuses old fencing numbers
}

// ExpertMap places experts on ranks: Slots[layer][rank] lists the experts that the rank holds in the layer.
type ExpertMap struct {
	Epoch int64     `json:"epoch"`
	Slots [][][]int `json:"slots"`
}

// GroupAddress names the rank that a message is meant for. The receiver refuses a message for another rank, because VM
// addresses are reused.
type GroupAddress struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
}

// GroupQuery asks for the state of a rank.
type GroupQuery struct {
	GroupAddress
	CoordinatorOnly bool `json:"coordinator_only"` // omit the engine's state from the reply
}

// GroupJoin announces a coordinator to a rank, which from then on refuses older coordinators.
type GroupJoin struct {
	GroupAddress
	Coordinator Coordinator `json:"coordinator"`
}

// GroupStage asks a rank to load a map while it goes on using its present map. Either Map or Change is set.
type GroupStage struct {
	GroupAddress
	Coordinator Coordinator `json:"coordinator"`
	Map         ExpertMap   `json:"map,omitzero"`
	Change      *MapChange  `json:"change,omitempty"`
}

// Epoch returns the epoch of the map to load.
func (m GroupStage) Epoch() int64 {
	if m.Change != nil {
		return m.Change.Epoch
	}
	return m.Map.Epoch
}

// MapChange describes a map by its difference from the map in use.
type MapChange struct {
	Base  int64    `json:"base"` // epoch of the map in use
	Epoch int64    `json:"epoch"`
	Rows  []MapRow `json:"rows"`
	Hash  string   `json:"hash"` // xxhash64 of the whole placement that results
}

// MapRow lists the experts that one rank holds in one layer of the new map.
type MapRow struct {
	Layer   int   `json:"layer"`
	Rank    int   `json:"rank"`
	Experts []int `json:"experts"`
}

// GroupPrepare asks a rank to promise not to begin the step before it knows the decision on the epoch.
type GroupPrepare struct {
	GroupAddress
	Coordinator Coordinator `json:"coordinator"`
	Epoch       int64       `json:"epoch"`
	Step        int64       `json:"step"`
}

// GroupDecide tells a rank the decision on an epoch.
type GroupDecide struct {
	GroupAddress
	Coordinator Coordinator `json:"coordinator"`
	Epoch       int64       `json:"epoch"`
	Commit      bool        `json:"commit"` // true to commit, false to abort
}

// GroupRefusal is the reason why a rank refused a message of a coordinator.
type GroupRefusal string

// Reasons of refusals by a rank.
const (
	RefusedAddress   GroupRefusal = "wrong-address"     // the message is meant for another rank
	RefusedOlder     GroupRefusal = "older-coordinator" // the rank knows a newer coordinator
	RefusedNotJoined GroupRefusal = "not-joined"        // this coordinator has not sent a GroupJoin to the rank
	RefusedNotLearnt GroupRefusal = "not-learnt"        // the rank restarted and does not know the coordinator yet
	RefusedOtherBase GroupRefusal = "other-base"        // the change is based on another map than the one in use
	RefusedByEngine  GroupRefusal = "engine"            // the engine refused the command
)

// GroupReply answers every message to a rank of a group. State is read from the engine after the command.
type GroupReply struct {
	Refusal     GroupRefusal `json:"refusal,omitempty"`
	Detail      string       `json:"detail,omitempty"`
	Coordinator *Coordinator `json:"coordinator,omitempty"` // newest coordinator that the rank knows; nil if it knows none
	State       RankState    `json:"state"`
}
