// Package membudget bounds the memory that the clients of a process hold together, and divides it fairly over client accounts.
//
// The share of an account follows the dynamic threshold of shared-memory switches (Choudhury and Hahne, 1998): an account may
// hold a multiple of what is free. One account alone gets half of the memory, two get nearly a third each, and so on. What is left
// is for the first requests of further accounts, so that a burst of large requests of one account does not keep the others out.
// The first bytes of each request are not counted to its account, and only they may use the last eighth of the memory, so that
// small requests are served beside large ones of any number of accounts.
//
// Memory of a request that is still being received is taken back if another request needs it and the first one has stalled.
// The one that has stalled for longest, or has received the least meanwhile, is taken first. A request that has been received
// completely keeps its memory.
package membudget

import (
	"slices"
	"sync"
	"time"
)

const (
	// stallTime is the time without a byte after which a request counts as stalled. A packet that was lost twice arrives
	// sooner.
	stallTime = time.Second
	// minBytesPerSecond is the rate below which a request counts as stalled. Clients that do not hold back their bytes send
	// many times as fast, also over slow links.
	minBytesPerSecond = 16 << 10
	// reclaimWait bounds the wait for memory that is taken back. Its holder releases it as soon as its read fails.
	reclaimWait = 100 * time.Millisecond
	// smallShare is the share of the memory that each request may hold without counting to its account.
	smallShare = 1.0 / 1024
	// reservedShare is the share of the memory that large requests must leave free, whatever the number of their accounts.
	reservedShare = 1.0 / 8
	// freeFactor is how many times what is free to large requests an account may hold. With reservedShare, one account alone
	// gets half of the memory.
	freeFactor = 4.0 / 3
)

// Budget is the memory that clients may hold together. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	limit int64
	small int64 // bytes of each lease that do not count to its account
	large int64 // bytes up to which large requests may fill the memory
	// Reclaimed is called for each lease that is taken back. It must not block. It may be nil.
	Reclaimed func()

	mu        sync.Mutex
	held      int64
	counted   int64            // part of held that counts to accounts
	byAccount map[string]int64 // counted bytes
	receiving map[*Lease]struct{}
	released  chan struct{} // closed and replaced when memory is given back
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, small: int64(smallShare * float64(limit)), large: int64((1 - reservedShare) * float64(limit)),
		byAccount: map[string]int64{}, receiving: map[*Lease]struct{}{}, released: make(chan struct{})}
}

// Lease is the memory that one request holds. It is safe for concurrent use. A nil Lease has no bound.
type Lease struct {
	budget *Budget

	// Budget.mu guards the fields below.
	account     string
	bytes       int64
	revoke      func() // ends the receiving
	revoked     bool
	stalledFrom time.Time // time from which on the request counts as stalled, unless more bytes arrive
}

// Lease returns a lease of no bytes for a request of a client account. Release must be called at the end of the request.
func (b *Budget) Lease(account string) *Lease { return &Lease{budget: b, account: account} }

// SetAccount sets the client account of the request.
func (l *Lease) SetAccount(account string) {
	if l == nil || l.budget == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	n := l.countedBytes(l.bytes)
	l.budget.count(l.account, -n)
	l.account = account
	l.budget.count(account, n)
}

// Grow adds n bytes to the lease. It returns false, and adds nothing, if the account must not hold that many now, also after
// memory of stalled requests was taken back. A request that is the only one to hold more than a small part of the memory gets
// any number, so that none is refused for ever.
func (l *Lease) Grow(n int64) bool {
	if l == nil || l.budget == nil {
		return true
	}
	deadline := time.Now().Add(reclaimWait)
	for {
		ok, released := l.budget.take(l, n)
		if ok || released == nil {
			return ok
		}
		select {
		case <-released:
		case <-time.After(time.Until(deadline)):
			ok, _ = l.budget.takeOnly(l, n)
			return ok
		}
	}
}

// Receive records that the bytes of the request begin to arrive. If the request stalls, revoke may be called once, in
// another goroutine, to end that; the holder of the lease must then release it soon.
func (l *Lease) Receive(revoke func()) {
	if l == nil || l.budget == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.revoke, l.stalledFrom = revoke, time.Now().Add(stallTime)
	l.budget.receiving[l] = struct{}{}
}

// Received records that n bytes have arrived.
func (l *Lease) Received(n int) {
	if l == nil || l.budget == nil || n <= 0 {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	till := l.stalledFrom.Add(time.Duration(n) * time.Second / minBytesPerSecond)
	if latest := time.Now().Add(stallTime); till.After(latest) {
		till = latest
	}
	l.stalledFrom = till
}

// Complete records that the request has been received. It returns false if the memory was taken back before.
func (l *Lease) Complete() bool {
	if l == nil || l.budget == nil {
		return true
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	delete(l.budget.receiving, l)
	return !l.revoked
}

// Revoked reports whether the memory was taken back.
func (l *Lease) Revoked() bool {
	if l == nil || l.budget == nil {
		return false
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.revoked
}

// Release gives the memory of the lease back. It may be called more than once, and the lease may be used again.
func (l *Lease) Release() {
	if l == nil || l.budget == nil {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, l)
	l.revoked = false
	if l.bytes == 0 {
		return
	}
	b.held -= l.bytes
	b.count(l.account, -l.countedBytes(l.bytes))
	l.bytes = 0
	close(b.released)
	b.released = make(chan struct{})
}

// Held returns the number of bytes that all leases hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// take adds n bytes to a lease. If they are not free, it takes memory of stalled requests back and returns a channel that is
// closed once memory has been given back. The channel is nil if that could not be enough.
func (b *Budget) take(l *Lease, n int64) (ok bool, released <-chan struct{}) {
	ok, missing := b.takeOnly(l, n)
	if ok {
		return true, nil
	}
	revokes, released := b.reclaim(l, missing)
	for _, revoke := range revokes {
		revoke()
		if b.Reclaimed != nil {
			b.Reclaimed()
		}
	}
	return false, released
}

// takeOnly adds n bytes to a lease if they are free. If not, it returns the number of bytes that are missing.
func (b *Budget) takeOnly(l *Lease, n int64) (ok bool, missing int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := l.countedBytes(l.bytes)
	more := l.countedBytes(l.bytes+n) - own
	missing = n + b.held - b.limit
	if more > 0 {
		missing = max(missing, int64(float64(b.byAccount[l.account])/freeFactor)+b.held+n-b.large)
	}
	alone := more > 0 && b.counted == own
	if missing > 0 && !alone {
		return false, missing
	}
	l.bytes += n
	b.held += n
	b.count(l.account, more)
	return true, 0
}

// reclaim chooses the requests whose memory is taken back for another one, and returns their functions. Requests that were
// chosen earlier and still hold memory count as well. If all of them hold too little, none is chosen and the channel is nil.
func (b *Budget) reclaim(needs *Lease, missing int64) (revokes []func(), released <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled []*Lease
	now := time.Now()
	for l := range b.receiving {
		switch {
		case l == needs:
		case l.revoked:
			missing -= l.bytes
		case l.bytes > 0 && l.stalledFrom.Before(now):
			stalled = append(stalled, l)
		}
	}
	slices.SortFunc(stalled, func(x, y *Lease) int { return x.stalledFrom.Compare(y.stalledFrom) })
	chosen := 0
	for ; missing > 0 && chosen < len(stalled); chosen++ {
		missing -= stalled[chosen].bytes
	}
	if missing > 0 {
		return nil, nil
	}
	for _, l := range stalled[:chosen] {
		l.revoked = true
		revokes = append(revokes, l.revoke)
	}
	return revokes, b.released
}

// countedBytes returns the part of a lease of n bytes that counts to its account.
func (l *Lease) countedBytes(n int64) int64 { return max(0, n-l.budget.small) }

// count adds n bytes to those of an account. The caller holds the lock.
func (b *Budget) count(account string, n int64) {
	b.counted += n
	if b.byAccount[account] += n; b.byAccount[account] == 0 {
		delete(b.byAccount, account)
	}
}
