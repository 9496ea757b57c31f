package mapswitch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/rankmodel"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// The tests of the exploration are an explicit-state model check of the participant, the coordinator's decisions and
// the engine model. A world is one global state of 3 ranks and two coordinator incarnations. Every message that a
// coordinator has sent may arrive at any later time, any number of times or never, and every reply may be lost. A
// coordinator may pause at any point and continue after the other one has started. Local processes may restart, also
// after they have sent a command to the engine and before it arrives.
const (
	rankCount  = 3
	epoch      = 1
	changeStep = 1
	maxStep    = 2 // last step that a rank may begin
)

// phase is the phase of a coordinator in the model. A coordinator in phaseOff has not started; one in phaseEnd sends
// nothing new.
type phase byte

const (
	phaseOff phase = iota
	phaseQuery
	phaseJoin
	phasePrepare
	phaseDecide
	phaseEnd
)

// coordinatorState is the state of one coordinator incarnation.
type coordinatorState struct {
	phase    phase
	self     wire.Coordinator
	reached  phase // highest phase in which messages were sent
	decision Decision
	replies  [rankCount]*wire.GroupReply
}

// rankState is the state of one rank: its engine and the participant beside it.
type rankState struct {
	engine *rankmodel.Rank
	local  *Participant
	used   [maxStep + 1]int64 // by step: epoch of the map used, plus one; 0 if not begun
}

// delayedCommand is a command that was sent to an engine and has not arrived.
type delayedCommand struct {
	rank      int
	operation string
	fence     int64
}

// world is one global state of the model. A clone shares its ranks with the original until copyRank copies one of them.
type world struct {
	ranks        [rankCount]rankState
	coordinators [2]coordinatorState
	announced    int // coordinator that the process beside rank 0 names as the present one, or -1 for none
	restartsLeft int // restarts of local processes that are still allowed
	delayed      *delayedCommand
	trace        *traceEvent
}

// traceEvent is the last event on the path from the initial world, linked to the events before it.
type traceEvent struct {
	event       event
	coordinator byte
	phase       phase
	rank        byte
	previous    *traceEvent
}

type event string

const (
	eventRestart   event = "local process restarts"
	eventDelayed   event = "delayed command arrives at the engine"
	eventStep      event = "rank begins its next step"
	eventBegin     event = "second coordinator begins"
	eventAdvance   event = "coordinator completes the phase"
	eventReplyLost event = "message arrives, reply lost"
	eventReply     event = "message arrives"
	eventRefused   event = "message arrives, refused because of the coordinator"
	eventCrash     event = "message arrives, local process restarts before its command reaches the engine"
)

func (s *traceEvent) String() string {
	var lines []string
	for ; s != nil; s = s.previous {
		lines = append(lines, fmt.Sprintf("%s: coordinator %d, phase %d, rank %d", s.event, s.coordinator, s.phase, s.rank))
	}
	slices.Reverse(lines)
	return strings.Join(lines, "\n")
}

// modelConfig selects the faults that the model allows and the mechanisms that it turns off. The mechanisms are turned
// off only in the model's own engines and calls.
type modelConfig struct {
	checksFence       bool
	ignoreHold        bool   // ranks begin steps despite a hold
	ignoreIncarnation bool   // participants obey every coordinator
	secondID          string // ID of the second coordinator; the first one's is "m"
	delayCommands     bool   // commands may reach an engine after the local process that sent them has restarted
	restarts          int    // number of restarts of local processes
	startPromised     bool   // start when the first coordinator has the promises of all ranks
}

// modelEngine is the engine of a rank in a world. If delay is set, it is called instead of carrying out a command.
type modelEngine struct {
	rank  *rankmodel.Rank
	delay func(operation string, fence int64)
}

var errConnectionCut = errors.New("connection cut")

func (e modelEngine) do(operation string, fence int64) error {
	if e.delay != nil {
		e.delay(operation, fence)
		return errConnectionCut
	}
	return applyCommand(e.rank, operation, fence)
}

// applyCommand carries out a command at an engine.
func applyCommand(r *rankmodel.Rank, operation string, fence int64) error {
	switch operation {
	case "fence":
		return r.RaiseFence(fence)
	case "hold":
		return r.PlaceHold(fence, epoch, changeStep)
	case "commit":
		return r.Commit(fence, epoch)
	default:
		return r.Abort(fence, epoch)
	}
}

func (e modelEngine) State(context.Context) (port.RankState, error) { return e.rank.State(), nil }
func (e modelEngine) Map(context.Context) (port.ExpertMap, error)   { return port.ExpertMap{}, nil }
func (e modelEngine) Popularity(context.Context) (port.Popularity, error) {
	return port.Popularity{}, nil
}
func (e modelEngine) Fence(_ context.Context, f int64) error             { return e.do("fence", f) }
func (e modelEngine) Stage(context.Context, int64, port.ExpertMap) error { return nil }
func (e modelEngine) Hold(_ context.Context, f, _, _ int64) error        { return e.do("hold", f) }
func (e modelEngine) Commit(_ context.Context, f, _ int64) error         { return e.do("commit", f) }
func (e modelEngine) Abort(_ context.Context, f, _ int64) error          { return e.do("abort", f) }
func (w *world) learn(context.Context) (wire.Coordinator, error) {
	if w.announced < 0 {
		return wire.Coordinator{}, errors.New("no coordinator yet")
	}
	return w.coordinators[w.announced].self, nil
}

// clone returns a copy of the world with the event added to its trace. The copy shares the ranks until copyRank is
// called for one of them.
func (w *world) clone(e event, k int, p phase, r int) *world {
	c := *w
	c.trace = &traceEvent{e, byte(k), p, byte(r), w.trace}
	return &c
}

// copyRank replaces a rank that the world shares with other worlds by a copy and returns it.
func (w *world) copyRank(r int) *rankState {
	k := &w.ranks[r]
	k.engine = k.engine.Clone()
	old := k.local
	k.local = &Participant{address: old.address, engine: modelEngine{rank: k.engine}, learn: w.learn, commandSlot: old.commandSlot,
		known: old.known, learnt: old.learnt, fence: old.fence}
	return k
}

// participant returns a participant for the rank as it is after a restart.
func (w *world) participant(r int) *Participant {
	return NewParticipant(wire.GroupAddress{Rank: r}, modelEngine{rank: w.ranks[r].engine}, w.learn)
}

func initialWorld(cfg modelConfig) *world {
	w := &world{announced: 0, restartsLeft: cfg.restarts}
	for r := range w.ranks {
		w.ranks[r].engine = &rankmodel.Rank{Staged: []int64{epoch}, ChecksFence: cfg.checksFence}
		w.ranks[r].local = w.participant(r)
	}
	w.coordinators[0] = coordinatorState{phase: phaseJoin, reached: phaseJoin, self: wire.Coordinator{Number: 1, ID: "m"}}
	if cfg.startPromised {
		w.collectPromises()
	}
	return w
}

// collectPromises advances the first coordinator from joining to the decision to commit, without any faults.
func (w *world) collectPromises() {
	coord := &w.coordinators[0]
	for r := range w.ranks {
		_, _ = coord.send(phaseJoin, r, w.ranks[r].local)
		_, _ = coord.send(phasePrepare, r, w.ranks[r].local)
	}
	coord.phase, coord.reached, coord.decision = phaseDecide, phaseDecide, Decision{Epoch: epoch, Commit: true}
}

// successors returns all worlds that are one event away.
func (w *world) successors(cfg modelConfig) []*world {
	var out []*world
	for k := range w.coordinators {
		out = append(out, w.coordinatorStep(k, cfg)...)
		for p := phaseQuery; p <= w.coordinators[k].reached; p++ {
			for r := range w.ranks {
				out = append(out, w.deliver(k, p, r, cfg)...)
			}
		}
	}
	for r := range w.ranks {
		out = append(out, w.engineStep(r, cfg)...)
		if w.restartsLeft > 0 {
			c := w.clone(eventRestart, 0, 0, r)
			c.restartsLeft--
			c.ranks[r].local = c.participant(r)
			out = append(out, c)
		}
	}
	if w.delayed != nil {
		c := w.clone(eventDelayed, 0, 0, w.delayed.rank)
		_ = applyCommand(c.copyRank(w.delayed.rank).engine, w.delayed.operation, w.delayed.fence)
		c.delayed = nil
		out = append(out, c)
	}
	return out
}

// engineStep returns the world in which a rank begins its next step, or none if it may not.
func (w *world) engineStep(r int, cfg modelConfig) []*world {
	n := w.ranks[r].engine.Step + 1
	if n > maxStep || (!w.ranks[r].engine.MayBegin(n) && !cfg.ignoreHold) {
		return nil
	}
	for _, other := range w.ranks {
		if other.engine.Step < n-1 {
			return nil
		}
	}
	c := w.clone(eventStep, 0, 0, r)
	k := c.copyRank(r)
	k.used[n] = k.engine.Begin(n) + 1
	return []*world{c}
}

// coordinatorStep returns the world in which a coordinator that has all replies of its phase advances to the next one,
// or in which the second coordinator starts.
func (w *world) coordinatorStep(k int, cfg modelConfig) []*world {
	if k == 1 && w.coordinators[1].phase == phaseOff {
		c := w.clone(eventBegin, 1, 0, 0)
		c.coordinators[1] = coordinatorState{phase: phaseQuery, reached: phaseQuery}
		c.announced = -1
		return []*world{c}
	}
	coord := w.coordinators[k]
	if coord.phase == phaseOff || coord.phase == phaseEnd {
		return nil
	}
	var replies []wire.GroupReply
	for _, r := range coord.replies {
		if r == nil {
			return nil
		}
		replies = append(replies, *r)
	}
	c := w.clone(eventAdvance, k, coord.phase, 0)
	c.coordinators[k].advance(replies, k == 1, cfg)
	if c.coordinators[k].phase == phaseJoin && k == 1 {
		c.announced = 1
	}
	return []*world{c}
}

// advance moves a coordinator to its next phase with the replies of the present one.
func (c *coordinatorState) advance(replies []wire.GroupReply, recovers bool, cfg modelConfig) {
	c.replies = [rankCount]*wire.GroupReply{}
	switch {
	case c.phase == phaseQuery:
		c.self = wire.Coordinator{Number: nextCoordinatorNumber(replies, 1), ID: cfg.secondID}
		c.phase = phaseJoin
		c.reached = phaseQuery // messages under an earlier number of this coordinator count as lost
	case c.phase == phaseJoin && recovers:
		d, open, err := recoveryDecision(states(replies))
		c.phase = phaseEnd
		if err == nil && open {
			c.phase, c.decision = phaseDecide, d
		}
	case c.phase == phaseJoin:
		c.phase = phasePrepare
	case c.phase == phasePrepare:
		c.phase, c.decision = phaseDecide, switchDecision(epoch, changeStep, replies)
	default:
		c.phase = phaseEnd
	}
	if c.phase != phaseEnd {
		c.reached = max(c.reached, c.phase)
	}
}

// send delivers the coordinator's message of a phase to the participant of a rank and returns its reply.
func (c coordinatorState) send(p phase, r int, to *Participant) (wire.GroupReply, error) {
	at := wire.GroupAddress{Rank: r}
	ctx := context.Background()
	switch p {
	case phaseQuery:
		return to.State(ctx, wire.GroupQuery{GroupAddress: at})
	case phaseJoin:
		return to.Join(ctx, wire.GroupJoin{GroupAddress: at, Coordinator: c.self})
	case phasePrepare:
		return to.Prepare(ctx, wire.GroupPrepare{GroupAddress: at, Coordinator: c.self, Epoch: epoch, Step: changeStep})
	default:
		return to.Decide(ctx, wire.GroupDecide{GroupAddress: at, Coordinator: c.self, Epoch: epoch, Commit: c.decision.Commit})
	}
}

// deliver returns the worlds in which a message of a coordinator arrives at a rank: one in which the reply is lost, and
// one in which it reaches the coordinator if that still waits for it.
func (w *world) deliver(k int, p phase, r int, cfg modelConfig) []*world {
	coord := w.coordinators[k]
	if (k == 0 && p == phaseQuery) || (k == 1 && p == phasePrepare) || (p == phaseJoin && coord.self.Number == 0) {
		return nil
	}
	if old := w.ranks[r].local; !cfg.ignoreIncarnation && old.learnt && coord.self.Less(old.known) && p != coord.phase {
		return nil // refused, and no coordinator waits for the reply
	}
	lost := w.clone(eventReplyLost, k, p, r)
	lost.copyRank(r)
	if cfg.ignoreIncarnation {
		lost.ranks[r].local.known, lost.ranks[r].local.learnt = coord.self, true
	}
	reply, err := coord.send(p, r, lost.ranks[r].local)
	var out []*world
	if p != phaseQuery {
		out = append(out, lost)
	}
	if err == nil && coord.phase == p && coord.replies[r] == nil {
		if got := lost.handleReply(k, p, r, reply); got != nil {
			out = append(out, got)
		}
	}
	if cfg.delayCommands && w.delayed == nil && w.restartsLeft > 0 && p != phaseQuery {
		out = append(out, w.crashDuringCommand(k, p, r))
	}
	return out
}

// handleReply returns the world in which the reply has reached the coordinator. A refusal by a rank that knows a newer
// coordinator ends the first coordinator and returns the second one to its query.
func (w *world) handleReply(k int, p phase, r int, reply wire.GroupReply) *world {
	switch reply.Refusal {
	case wire.RefusedNotLearnt:
		return nil
	case wire.RefusedOlder, wire.RefusedNotJoined:
		c := w.clone(eventRefused, k, p, r)
		c.coordinators[k].replies = [rankCount]*wire.GroupReply{}
		c.coordinators[k].phase = phaseEnd
		if k == 1 {
			c.coordinators[k].phase = phaseQuery
		}
		return c
	}
	if w.coordinators[k].phase == phaseDecide && reply.Refusal != "" {
		return nil
	}
	c := w.clone(eventReply, k, p, r)
	c.trace.previous = w.trace.previous
	c.coordinators[k].replies[r] = &reply
	return c
}

// crashDuringCommand returns the world in which the local process restarts after it has sent a command to the engine
// and before the command arrives there.
func (w *world) crashDuringCommand(k int, p phase, r int) *world {
	c := w.clone(eventCrash, k, p, r)
	c.restartsLeft--
	local := c.copyRank(r).local
	local.engine = modelEngine{rank: c.ranks[r].engine, delay: func(operation string, fence int64) {
		if c.delayed == nil {
			c.delayed = &delayedCommand{r, operation, fence}
		}
	}}
	_, _ = c.coordinators[k].send(p, r, local)
	c.ranks[r].local = c.participant(r)
	return c
}
