package membudget

import (
	"testing"
	"testing/synctest"
	"time"
)

// receive adds n bytes to a new lease of the account "a" that is being received. If its memory is taken back, the lease is
// released and its name is sent to revoked.
func receive(t *testing.T, b *Budget, name string, n int64, revoked chan<- string) *Lease {
	t.Helper()
	l := b.Lease("a")
	l.Receive(func() {
		revoked <- name
		go l.Release()
	})
	if !l.Grow(n) {
		t.Fatalf("%s gets no memory", name)
	}
	return l
}

// TestStalledRequestsGiveMemoryBack guards against requests that hold the memory although nothing of them arrives, while others
// are refused for lack of it. Those that make progress, and those that have been received, keep theirs.
func TestStalledRequestsGiveMemoryBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, revoked := New(1000), make(chan string, 10)
		whole := receive(t, b, "whole", 100, revoked)
		if !whole.Complete() {
			t.Error("a request that was received counts as revoked")
		}
		longest := receive(t, b, "longest", 150, revoked)
		time.Sleep(stallTime / 2)
		receive(t, b, "stalled", 150, revoked)
		sound := receive(t, b, "sound", 100, revoked)
		if b.Lease("a").Grow(100) || len(revoked) > 0 {
			t.Errorf("memory is taken back from %d requests that have not stalled", len(revoked))
		}
		for range 20 {
			time.Sleep(stallTime / 10)
			sound.Received(minBytesPerSecond / 5)
			longest.Received(1)
		}
		l := b.Lease("a")
		if !l.Grow(100) {
			t.Error("refused beside stalled requests")
		}
		if first := <-revoked; first != "longest" || len(revoked) > 0 {
			t.Errorf("%s and %d more requests give memory back, want only the longest stalled one", first, len(revoked))
		}
		for range 2 {
			if !b.Lease("a").Grow(50) {
				t.Error("refused beside a stalled request")
			}
		}
		if next := <-revoked; next != "stalled" {
			t.Errorf("%s gives memory back", next)
		}
		if b.Lease("a").Grow(300) || len(revoked) > 0 {
			t.Error("memory is taken from sound requests, or in vain")
		}
	})
}

// TestRevokedRequestIsNotComplete guards against a request that runs although its memory was taken back.
func TestRevokedRequestIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		l := b.Lease("a")
		l.Receive(func() {})
		l.Grow(500)
		time.Sleep(2 * stallTime)
		began := time.Now()
		if b.Lease("b").Grow(600) {
			t.Error("memory that is still held is given away")
		}
		if waited := time.Since(began); waited > reclaimWait {
			t.Errorf("the request waited for %v", waited)
		}
		if !l.Revoked() || l.Complete() {
			t.Error("the request counts as received")
		}
		l.Release()
		if b.Held() != 0 || l.Revoked() {
			t.Errorf("%d bytes are held after the release", b.Held())
		}
	})
}

// TestSmallRequestsBesideLargeOnes guards against small requests that are refused because large ones of the same account, or
// of no account, hold its share.
func TestSmallRequestsBesideLargeOnes(t *testing.T) {
	const limit = 64 << 20
	b := New(limit)
	if held := fill(b, "", 1<<20); held > limit*6/10 {
		t.Errorf("the large requests hold %d bytes", held)
	}
	for range 200 {
		if !b.Lease("").Grow(16 << 10) {
			t.Fatal("a small request is refused")
		}
	}
}
