package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// promptHeader states the parts of a request's prompt in order, as a list of ID:TOKENS with ids in hexadecimal.
const promptHeader = "X-Camphorbank-Prompt-Prefix"

const (
	// crashPartSeedPeriod is the period of the seeds in which a part of prompts crashes engines.
	crashPartSeedPeriod = 2
	// timeBeforePart is the time without faults before the part is sent, in which clients send about 50 requests to the
	// service. The shares of later ones are compared with theirs.
	timeBeforePart = 3 * time.Second
	// timeOfPartAlone is the time for which the part is sent after the last other fault.
	timeOfPartAlone = 4 * time.Second
	// crashingShare is the share of prompts for the service that contain the part. It results in about three a second.
	crashingShare = 0.15
	// minChatRunning is the number of running engines of the service below which no client sends the part. Without
	// running engines, neither crashes nor the service of sound requests can be observed.
	minChatRunning = 6
	// Time that a crashed engine needs until it is back.
	minRestartTime = time.Second
	maxRestartTime = 2 * time.Second
	// partEndTime is the time in which requests that were sent with the part, and their retries, have reached engines.
	partEndTime = time.Second
	middleParts = 6
)

// drawPrompt draws the parts of the prompt of request n: one that all requests of the account share, one out of a small
// pool, and one of its own. With crashing, the part that crashes engines follows the first or the second one, or replaces
// the second one.
func (c *client) drawPrompt(account string, n int64, crashing bool) string {
	middle := c.rng.IntN(middleParts)
	parts := []string{
		fmt.Sprintf("%08x:800", uint32(xxhash.Sum64String(account))),
		fmt.Sprintf("%08x:%d", uint32(xxhash.Sum64String(fmt.Sprint("middle ", middle))), 300+50*middle),
		fmt.Sprintf("%08x:%d", uint32(xxhash.Sum64String(fmt.Sprint("own ", n))), 100+n%400),
	}
	if crashing {
		bad := *c.system.crashPart.Load() + ":410"
		if at := 1 + c.rng.IntN(3); at < len(parts) {
			parts = slices.Insert(parts, at, bad)
		} else {
			parts[1] = bad
		}
	}
	return strings.Join(parts, ",")
}

// sendsPart reports whether clients may send the part that crashes engines.
func (w *system) sendsPart() bool {
	return w.partIsSent.Load() && w.chatRunning.Load() >= minChatRunning
}

// beginPart draws a part that crashes engines, and makes clients send it.
func (w *system) beginPart(rng *rand.Rand) {
	part := fmt.Sprintf("%08x", rng.Uint32())
	w.crashPart.Store(&part)
	w.partIsSent.Store(true)
	w.t.Logf("%s part %s crashes engines", time.Now().Format("05.000"), part)
}

// endPart makes clients send the part no more, and waits until all engines are back.
func (w *system) endPart() {
	w.partIsSent.Store(false)
	time.Sleep(partEndTime)
	w.restarts.Wait()
	w.recorder.locked(func() { w.t.Logf("%d crashes by the part", len(w.recorder.crashes)) })
}

// crashingPart returns the part of a prompt that crashes engines, or an empty string.
func (w *system) crashingPart(prompt string) string {
	if part := w.crashPart.Load(); part != nil && slices.Contains(partIDs(prompt), *part) {
		return *part
	}
	return ""
}

// crashOn ends the target, as a process that crashes does: it refuses connections and resets the open ones. It is back
// after a random time.
func (r *proxiedTarget) crashOn(part string) {
	if !r.crashed.CompareAndSwap(false, true) {
		return
	}
	w := r.system
	w.chatRunning.Add(-1)
	w.recorder.locked(func() { w.recorder.crashes = append(w.recorder.crashes, crash{part, time.Now()}) })
	end := w.recorder.beginFault(crashFault+r.id, false)
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(part+r.id), uint64(r.born)))
	w.restarts.Go(func() {
		r.close()
		defer end()
		time.Sleep(minRestartTime + time.Duration(rng.Int64N(int64(maxRestartTime-minRestartTime))))
		if rng.IntN(2) == 0 {
			w.restartTarget(r)
			return
		}
		w.addTarget(r.service, nil)
		w.chatRunning.Add(1)
		w.restarts.Go(func() {
			time.Sleep(targetLease - maxRestartTime)
			r.setState("")
		})
	})
}

// restartTarget starts a target that has crashed at its old address, as a new incarnation with the same id.
func (w *system) restartTarget(old *proxiedTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &proxiedTarget{id: old.id, born: old.born + 1, service: old.service, system: w, listed: true}
	if err := r.start(old.link.Addr()); err != nil {
		w.t.Errorf("restart of %s: %v", r.id, err)
		return
	}
	w.targets[slices.Index(w.targets, old)] = r
	w.chatRunning.Add(1)
}
