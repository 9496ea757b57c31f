package attempt

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// key identifies an attempt or a ticket in a fixed size.
type key struct {
	id     [16]byte
	number int32 // attempt number, or ticketNumber
}

// ticketNumber marks the key of a ticket. The numbers of attempts are positive.
const ticketNumber = -1

func attemptKey(id wire.AttemptID) key {
	return key{id: compactID(id.Request), number: int32(id.Number)}
}

func ticketKey(ticket string) key { return key{id: compactID(ticket), number: ticketNumber} }

// compactID decodes an id of 32 hexadecimal digits to its 128 bits. For any other text it returns 128 bits of its hash.
func compactID(s string) (out [16]byte) {
	if len(s) == hex.EncodedLen(len(out)) {
		if _, err := hex.Decode(out[:], []byte(s)); err == nil {
			return out
		}
	}
	sum := sha256.Sum256([]byte(s))
	copy(out[:], sum[:])
	return out
}

// pastResult reports whether an attempt or ticket whose run is no longer in the table may have run.
type pastResult int8

const (
	unknown pastResult = iota
	didNotRun
	mayHaveRun
)

const (
	// An id is remembered for between generations-1 and generations times generationSpan. This exceeds MaxDeadline by
	// enough to recognise delayed copies of an attempt.
	generations    = 8
	generationSpan = 11 * time.Minute
)

// idHistory remembers ids for at least (generations-1) * generationSpan. Each sweep drops at most one generation,
// however far the clock has advanced. After a pause of the process, copies of attempts that were delayed by the same
// pause are therefore still recognised.
type idHistory struct {
	maps      [generations]map[key]pastResult
	newest    int
	rotatedAt time.Time
	count     int
}

func newIDHistory(now time.Time) *idHistory {
	m := &idHistory{rotatedAt: now}
	for i := range m.maps {
		m.maps[i] = map[key]pastResult{}
	}
	return m
}

func (m *idHistory) len() int { return m.count }

func (m *idHistory) find(k key) pastResult {
	for i := range m.maps {
		if p := m.maps[i][k]; p != unknown {
			return p
		}
	}
	return unknown
}

// add remembers the result of an id, unless the id already has one.
func (m *idHistory) add(k key, result pastResult) {
	if m.find(k) != unknown {
		return
	}
	m.maps[m.newest][k] = result
	m.count++
}

// sweep drops the oldest generation if the newest one is generationSpan old.
func (m *idHistory) sweep(now time.Time) {
	if now.Sub(m.rotatedAt) < generationSpan {
		return
	}
	m.rotatedAt = now
	m.newest = (m.newest + 1) % generations
	m.count -= len(m.maps[m.newest])
	m.maps[m.newest] = map[key]pastResult{}
}
