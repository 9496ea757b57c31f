// Package standin provides the types and functions that the stand-in servers share with the tests that use them. A
// stand-in takes the place of a server outside this project, such as a model engine or the platform of the users, and
// its faults are set by the test.
package standin

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Words returns the response of a model to a prompt, with one element for each token. The result depends only on the
// arguments, so that a test can compute the text that it expects.
func Words(model, prompt string, maxTokens int) []string {
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	words := make([]string, maxTokens)
	for i := range words {
		words[i] = fmt.Sprintf("%04x ", (seed+uint64(i)*0x9e3779b97f4a7c15)>>48)
	}
	return words
}

// DeskFault is the fault of one call to the booking service.
type DeskFault int

// Faults of a call to the booking service.
const (
	None       DeskFault = iota
	DropBefore           // the connection is closed and the operation does not run
	LoseReply            // the operation runs and the connection is closed
	Busy                 // 503 with Retry-After; the operation does not run
	Slow                 // the operation runs and the response takes SlowFor longer
)

// DeskFaults sets the share of calls that get each fault, from 0 to 1, and the seed of the draw.
type DeskFaults struct {
	Seed                              uint64
	DropBefore, LoseReply, Busy, Slow float64
	SlowFor                           time.Duration
}

// Draw returns the fault of the call that brings a booking for the nth time, counted from 0.
func (f DeskFaults) Draw(booking string, n int) DeskFault {
	draw := float64(xxhash.Sum64String(fmt.Sprint(f.Seed, booking, n))>>11) / (1 << 53)
	for i, share := range []float64{f.DropBefore, f.LoseReply, f.Busy, f.Slow} {
		if draw < share {
			return DeskFault(i + 1)
		}
		draw -= share
	}
	return None
}

// EngineFaults sets the faults of the engine. BreakEvery and StallEvery are periods: every nth stream gets the fault,
// and 0 turns it off.
type EngineFaults struct {
	BreakEvery, BreakAfter int // the connection of the stream is closed after BreakAfter tokens
	StallEvery, StallAfter int // the stream pauses for StallFor after StallAfter tokens
	StallFor               time.Duration
}

// EngineStats counts the streams of an engine since its start.
type EngineStats struct {
	Cached                                int `json:"cached"` // streams whose prompt began with blocks in the prefix cache
	Streams, Resumed, Cancelled, Finished int
}
