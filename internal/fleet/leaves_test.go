package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// pairMember is one entry of a pair that exchanges heartbeats without a network.
type pairMember struct {
	*Fleet
	sent int // leaves that it has sent
}

// newPairMember returns the incarnation of an entry that started at a time. It knows no targets and no leaves.
func newPairMember(control string, started int64) *pairMember {
	f := New(Options{Self: Entry{Name: control, Control: control, Started: started}, Tables: &routetable.Store{}, Targets: targetset.New(),
		Pool: unreachable{}, InFlight: func() map[string]int { return nil }, ReportInFlight: func(string, map[string]int) {},
		ReadsPlatform: func() bool { return false }, Stopping: func() bool { return false }, Notify: func(Event) {}})
	return &pairMember{Fleet: f}
}

// heartbeat returns the heartbeat to another entry and counts its leaves.
func (p *pairMember) heartbeat(to *pairMember) Heartbeat {
	h := p.ownHeartbeat(to.opt.Self)
	p.sent += len(h.Leaves)
	return h
}

// exchangeWith exchanges heartbeats as a call does. The request or the reply may be lost.
func (p *pairMember) exchangeWith(to *pairMember, requestLost, replyLost bool) {
	request := p.heartbeat(to)
	if requestLost {
		return
	}
	reply, _ := to.serveExchange(context.Background(), request)
	to.sent += len(reply.Leaves)
	if !replyLost {
		p.recordSender(reply, time.Now())
	}
}

// leave records that a target leaves.
func (p *pairMember) leave(id string) {
	p.opt.Targets.Leave([]targetset.Leave{{Incarnation: targetset.Incarnation{ID: id}, Position: targetset.Position{Revision: 1}}})
}

// TestLeavesAreSentOnce guards against leaves that are sent with each heartbeat. After an outage of the platform's list
// hundreds of targets may leave, and each entry exchanges several heartbeats a second with twenty others.
func TestLeavesAreSentOnce(t *testing.T) {
	const leaves = 100
	a, b := newPairMember("a", 1), newPairMember("b", 1)
	a.exchangeWith(b, false, false)
	for i := range leaves {
		a.leave(fmt.Sprint("t", i))
	}
	for range 20 {
		a.exchangeWith(b, false, false)
	}
	// The request holds them, and b sends them back once, since they are a change of its own leaves.
	if a.sent > leaves || b.sent > leaves {
		t.Errorf("%d leaves were sent %d times one way and %d times the other way", leaves, a.sent, b.sent)
	}
}

// TestLeavesSurviveLossAndRestarts guards against leaves that an entry never gets because a heartbeat was lost, or
// because the entry or its peer was started again, also with a clock that was set back.
func TestLeavesSurviveLossAndRestarts(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pair := []*pairMember{newPairMember("a", 1000), newPairMember("b", 1000)}
		for i := range 60 {
			own := rng.IntN(2)
			switch rng.IntN(8) {
			case 0, 1:
				pair[own].leave(fmt.Sprint("t", i))
			case 2:
				started := pair[own].opt.Self.Started + int64(rng.IntN(2000)-700)
				if started != pair[own].opt.Self.Started {
					pair[own] = newPairMember(pair[own].opt.Self.Control, started)
				}
			default:
				pair[own].exchangeWith(pair[1-own], rng.IntN(4) == 0, rng.IntN(4) == 0)
			}
		}
		for range 3 {
			pair[0].exchangeWith(pair[1], false, false)
		}
		a, _ := pair[0].opt.Targets.Leaves(0, time.Now())
		b, _ := pair[1].opt.Targets.Leaves(0, time.Now())
		known := map[string]int{}
		for _, l := range append(a, b...) {
			known[l.ID]++
		}
		for id, n := range known {
			if n != 2 {
				t.Fatalf("seed %d: the leave of %s is known to one entry only", seed, id)
			}
		}
	}
}
