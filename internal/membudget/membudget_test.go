package membudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fill grows new leases of an account by n bytes each until one is refused, and returns the sum.
func fill(b *Budget, account string, n int64) (held int64) {
	for b.Lease(account).Grow(n) {
		held += n
	}
	return held
}

// TestCrestOfOneAccount guards against an account whose large requests use up the memory for all others.
func TestCrestOfOneAccount(t *testing.T) {
	b := New(1000)
	if held := fill(b, "first", 10); held != 500 {
		t.Errorf("the first account holds %d of 1000 bytes, want half", held)
	}
	for i := range 5 {
		if held := fill(b, fmt.Sprint("other ", i), 10); held == 0 {
			t.Errorf("account %d after the first gets nothing; %d bytes are held", i, b.Held())
		}
	}
	if b.Held() > 1000 {
		t.Errorf("%d of 1000 bytes are held", b.Held())
	}
}

// TestSmallRequestsBesideManyAccounts guards against small requests that are refused because the large ones of many accounts
// hold nearly all memory together.
func TestSmallRequestsBesideManyAccounts(t *testing.T) {
	const limit, accounts, piece, small = 1 << 20, 500, 4 << 10, 100
	b := New(limit)
	held := int64(0)
	for i := range accounts {
		held += fill(b, fmt.Sprint(i), piece)
	}
	if held < limit*3/4 {
		t.Errorf("large requests hold %d of %d bytes", held, limit)
	}
	for i := range small {
		if !b.Lease("small").Grow(limit / 1024) {
			t.Fatalf("small request %d of %d is refused; %d of %d bytes are held", i, small, b.Held(), limit)
		}
	}
}

// TestLargeRequestAlone guards against a request that exceeds the share of its account and would be refused for ever.
func TestLargeRequestAlone(t *testing.T) {
	b := New(1000)
	l := b.Lease("a")
	for range 20 {
		if !l.Grow(100) {
			t.Fatal("a request that is alone is refused")
		}
	}
	if b.Lease("b").Grow(1) {
		t.Error("memory beyond the limit is given to a second request")
	}
	l.Release()
	l.Release()
	if b.Held() != 0 || !b.Lease("b").Grow(400) {
		t.Errorf("%d bytes are held after all were released", b.Held())
	}
}

// TestAllIsGivenBack guards against memory that stays taken after its requests have ended, which would in time refuse all.
func TestAllIsGivenBack(t *testing.T) {
	const limit, requests, steps = 10_000, 40, 20_000
	rng := rand.New(rand.NewPCG(1, 2))
	b := New(limit)
	leases := make([]*Lease, requests)
	for i := range leases {
		leases[i] = b.Lease(fmt.Sprint(i % 7))
	}
	for range steps {
		l := leases[rng.IntN(requests)]
		if rng.IntN(3) == 0 {
			l.Release()
		} else {
			l.Grow(rng.Int64N(limit / 20))
		}
		if alone := l.bytes == b.Held(); b.Held() > limit && !alone {
			t.Fatalf("%d of %d bytes are held", b.Held(), limit)
		}
	}
	for _, l := range leases {
		l.Release()
	}
	if b.Held() != 0 || len(b.byAccount) != 0 {
		t.Errorf("%d bytes are held, by %v, after all were released", b.Held(), b.byAccount)
	}
}

// TestNoBudget guards against a process without a stated limit that refuses requests.
func TestNoBudget(t *testing.T) {
	var b *Budget
	l := b.Lease("a")
	if !l.Grow(1 << 40) {
		t.Error("refused without a limit")
	}
	l.Release()
}
