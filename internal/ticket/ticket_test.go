package ticket

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOpenAcceptsOnlySealedTickets guards against accepting a ticket that was changed, made with another key, or has
// expired, and against two tickets with the same random part.
func TestOpenAcceptsOnlySealedTickets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSealer([]byte("key"))
		now := time.Unix(1000, 0).UTC()
		want := Ticket{
			Account: rapid.String().Draw(t, "account"), Service: "s", Target: "t", Incarnation: "t.1",
			Expires: now.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "life"))),
		}
		opaque, err := s.Seal(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := s.Open(opaque, now)
		if expired := !now.Before(want.Expires); errors.Is(err, ErrExpired) != expired || (err != nil) != expired {
			t.Fatalf("expires %s, now %s: error %v", want.Expires, now, err)
		}
		want.Random = got.Random
		if got != want || len(got.Random) != 32 {
			t.Fatalf("opened %+v, want %+v", got, want)
		}
		second, err := s.Seal(want)
		if err != nil || second == opaque {
			t.Fatalf("two tickets have the same opaque form, error %v", err)
		}
		changed := []byte(opaque)
		i := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[i] = rapid.SampledFrom([]byte("ABCxyz019-_")).Draw(t, "byte")
		if _, err := s.Open(string(changed), now); string(changed) != opaque && !errors.Is(err, ErrInvalid) {
			t.Fatalf("a changed ticket was opened, error %v", err)
		}
		if _, err := NewSealer([]byte("other")).Open(opaque, now); !errors.Is(err, ErrInvalid) {
			t.Fatalf("a ticket made with another key was opened, error %v", err)
		}
	})
}
