package ticket

import (
	"encoding/base64"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// FuzzOpen guards against a panic on arbitrary input and against accepting a ticket that the sealer didn't make.
func FuzzOpen(f *testing.F) {
	s := NewSealer([]byte("key"))
	now := time.Unix(1000, 0).UTC()
	// Random is fixed, since all worker processes of the fuzzer must use the same valid ticket.
	sealed := Ticket{Account: "a", Service: "s", Target: "t", Incarnation: "t.1", Expires: now.Add(time.Second), Random: strings.Repeat("0f", 16)}
	body, err := json.Marshal(sealed)
	if err != nil {
		f.Fatal(err)
	}
	opaque := base64.RawURLEncoding.EncodeToString(append(s.mac(body), body...))
	if got, err := s.Open(opaque, now); err != nil || got != sealed {
		f.Fatalf("the unchanged ticket: %+v, %v", got, err)
	}
	for _, seed := range []string{opaque, "", "=", opaque + "=", opaque + "\n", opaque[1:], opaque[:len(opaque)-1], opaque + opaque,
		strings.ToUpper(opaque), strings.Repeat("A", 43), strings.Repeat("A", 100_000), "\x00\xff"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		if got, err := s.Open(in, now); err == nil && got != sealed {
			t.Errorf("%q was opened as %+v", in, got)
		}
	})
}
