// Package ticket issues and checks booking tickets. A caller can retry a booking with the same ticket without running
// it twice: a ticket permits one run, at one incarnation (one process start) of one target's local process. Tickets are
// opaque to callers and authenticated with HMAC-SHA256 under a shared key.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"
)

// MaxLifetime is the longest time from the issue of a ticket to its expiry. Local processes remember which tickets were
// used for longer than this.
const MaxLifetime = 10 * time.Minute

// Errors returned by Sealer.Open.
var (
	ErrInvalid = errors.New("ticket is not authentic")
	ErrExpired = errors.New("ticket has expired")
)

// Ticket binds a booking to one incarnation of one target.
type Ticket struct {
	Account     string    `json:"a"` // client account; no other account may receive the stored response
	Service     string    `json:"s"`
	Target      string    `json:"t"`
	Incarnation string    `json:"i"`
	Expires     time.Time `json:"e"`
	Random      string    `json:"r"` // 128 random bits in hexadecimal; identify the ticket at the target
}

// Sealer encodes tickets with a message authentication code, and decodes and verifies them, with a shared key.
type Sealer struct{ key []byte }

// NewSealer returns a sealer that uses the key.
func NewSealer(key []byte) *Sealer { return &Sealer{key: key} }

// Seal sets Random and returns the ticket's opaque form: the base64url of its authentication code and its JSON.
func (s *Sealer) Seal(t Ticket) (string, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	t.Random = hex.EncodeToString(random[:])
	body, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(s.mac(body), body...)), nil
}

// Open verifies and decodes the opaque form of a ticket. It returns ErrInvalid if the form wasn't made by Seal with the
// same key, and ErrExpired with the ticket if the ticket has expired at the time now.
func (s *Sealer) Open(opaque string, now time.Time) (Ticket, error) {
	var t Ticket
	raw, err := base64.RawURLEncoding.Strict().DecodeString(opaque)
	if err != nil || len(raw) < sha256.Size {
		return t, ErrInvalid
	}
	mac, body := raw[:sha256.Size], raw[sha256.Size:]
	if !hmac.Equal(mac, s.mac(body)) {
		return t, ErrInvalid
	}
	if err := json.Unmarshal(body, &t); err != nil {
		return t, ErrInvalid
	}
	if !now.Before(t.Expires) {
		return t, ErrExpired
	}
	return t, nil
}

func (s *Sealer) mac(body []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(body)
	return h.Sum(nil)
}
