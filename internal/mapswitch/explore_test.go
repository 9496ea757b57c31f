package mapswitch

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
)

// violation describes the property that the world violates, or returns an empty string. In every step all ranks must
// use the same map, and no epoch may be committed at one rank and aborted at another.
func (w *world) violation() string {
	for n := 1; n <= maxStep; n++ {
		maps := map[int64]bool{}
		for _, r := range w.ranks {
			if r.used[n] > 0 {
				maps[r.used[n]] = true
			}
		}
		if len(maps) > 1 {
			return fmt.Sprintf("two maps in step %d", n)
		}
	}
	committed, aborted := false, false
	for _, r := range w.ranks {
		committed = committed || r.engine.Committed == epoch
		aborted = aborted || (r.engine.Decided == epoch && r.engine.Committed != epoch)
	}
	if committed && aborted {
		return "one epoch committed and aborted"
	}
	return ""
}

// key identifies a world. The ranks are interchangeable, so worlds that differ only in the order of the ranks share a
// key.
func (w *world) key() [16]byte {
	parts := make([]string, rankCount)
	for r := range w.ranks {
		parts[r] = w.rankKey(r)
	}
	slices.Sort(parts)
	b := []byte(strings.Join(parts, ""))
	for _, c := range w.coordinators {
		b = append(b, byte(c.phase), byte(c.reached), byte(c.self.Number), bit(c.decision.Commit))
	}
	h := fnv.New128a()
	h.Write(append(b, byte(w.announced), byte(w.restartsLeft)))
	return [16]byte(h.Sum(nil))
}

// rankKey encodes the state of a rank and the messages and commands that concern it.
func (w *world) rankKey(r int) string {
	k := w.ranks[r]
	b := appendState(nil, k.engine.State())
	b = append(b, byte(k.engine.MapEpoch), bit(k.engine.Next != nil), byte(k.used[1]), byte(k.used[2]))
	b = append(b, bit(k.local.learnt), byte(k.local.known.Number))
	b = append(b, (k.local.known.ID + "-")[0])
	if k.engine.ChecksFence {
		b = binary.BigEndian.AppendUint32(b, uint32(k.local.fence))
	}
	for _, c := range w.coordinators {
		if c.replies[r] == nil {
			b = append(b, 0)
			continue
		}
		b = append(appendState(append(b, 1), c.replies[r].State), bit(c.replies[r].Refusal != ""))
		if c.phase == phaseQuery && c.replies[r].Coordinator != nil {
			b = append(b, byte(c.replies[r].Coordinator.Number))
		}
	}
	if w.delayed != nil && w.delayed.rank == r {
		b = binary.BigEndian.AppendUint32(append(b, w.delayed.operation[0]), uint32(w.delayed.fence))
	}
	return string(append(b, 0xff))
}

func appendState(b []byte, s port.RankState) []byte {
	b = append(b, byte(s.Step), byte(s.Epoch), byte(s.Decided), byte(s.Committed), bit(s.Hold != nil), byte(len(s.Staged)))
	return binary.BigEndian.AppendUint32(b, uint32(s.Fence))
}

func bit(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// result describes an exploration. trace leads to the violation, if one was found.
type result struct {
	worlds    int
	violation string
	trace     *traceEvent
	commits   int  // worlds in which all ranks have committed
	aborts    int  // worlds in which all ranks have aborted
	complete  bool // all reachable worlds were visited
}

// explore visits the reachable worlds breadth first. It stops at the first violation or when it has visited limit
// worlds.
func explore(cfg modelConfig, limit int) result {
	var res result
	seen := map[[16]byte]bool{}
	first := initialWorld(cfg)
	seen[first.key()] = true
	for queue := []*world{first}; len(queue) > 0; queue = queue[1:] {
		w := queue[0]
		queue[0] = nil
		res.worlds++
		if res.violation = w.violation(); res.violation != "" {
			res.trace = w.trace
			return res
		}
		res.count(w)
		for _, n := range w.successors(cfg) {
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, n)
			}
		}
		if res.worlds >= limit {
			return res
		}
	}
	res.complete = true
	return res
}

// count adds a world to the numbers of worlds in which all ranks have committed or aborted.
func (r *result) count(w *world) {
	commits, aborts := 0, 0
	for _, k := range w.ranks {
		commits += int(bit(k.engine.Committed == epoch))
		aborts += int(bit(k.engine.Decided == epoch && k.engine.Committed != epoch))
	}
	r.commits += commits / rankCount
	r.aborts += aborts / rankCount
}

// worldLimit is the flag -worlds.
var worldLimit = flag.Int("worlds", 20_000, "worlds that the exploration visits in each wiring with restarts; 0 visits all")

// TestNoStepWithTwoMaps guards against any order of messages, losses, repetitions, pauses and restarts that makes two
// ranks use different maps in one step, or that commits an epoch at one rank and aborts it at another. The
// configurations marked complete are explored completely, the others up to the number of worlds in the flag -worlds.
func TestNoStepWithTwoMaps(t *testing.T) {
	for name, c := range map[string]struct {
		modelConfig
		complete bool
	}{
		"fences ignored":                {modelConfig{secondID: "z"}, true},
		"fences ignored, restart":       {modelConfig{secondID: "z", restarts: 1}, false},
		"restart after the promises":    {modelConfig{secondID: "z", restarts: 1, startPromised: true}, true},
		"equal number, older id":        {modelConfig{secondID: "a"}, false},
		"fences checked, late commands": {modelConfig{secondID: "z", restarts: 1, startPromised: true, checksFence: true, delayCommands: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limit := *worldLimit
			if c.complete || limit == 0 {
				limit = math.MaxInt
			}
			r := explore(c.modelConfig, limit)
			t.Logf("%d worlds, complete %t, all committed in %d, all aborted in %d", r.worlds, r.complete, r.commits, r.aborts)
			if r.violation != "" {
				t.Errorf("%s after\n%s", r.violation, r.trace)
			}
			if c.complete && (!r.complete || r.commits == 0 || r.aborts == 0) {
				t.Errorf("exploration does not cover both decisions: %+v", r)
			}
		})
	}
}

// TestExplorationFindsViolations guards against an exploration that cannot fail: without the hold, or without the check
// of the coordinator's incarnation, the exploration must find a violation.
func TestExplorationFindsViolations(t *testing.T) {
	for name, cfg := range map[string]modelConfig{
		"no hold":              {secondID: "z", ignoreHold: true},
		"no incarnation check": {secondID: "z", ignoreIncarnation: true, startPromised: true},
	} {
		r := explore(cfg, math.MaxInt)
		if r.violation == "" {
			t.Errorf("%s: no fault in %d worlds", name, r.worlds)
			continue
		}
		t.Logf("%s: %s found after %d worlds:\n%s", name, r.violation, r.worlds, r.trace)
	}
}
