package resources

import "testing"

// TestResourcesFitTheSettings guards against shares that exceed the settings together, and against limits that a client which
// behaves would meet.
func TestResourcesFitTheSettings(t *testing.T) {
	const bodyBytes, processes = 4 << 20, 360
	for _, s := range []Limits{
		{MemoryBytes: 284e6, Sockets: SocketsWithin(4100)},
		{MemoryBytes: 160e6, Sockets: SocketsWithin(4100)},
		{MemoryBytes: 184e6, Sockets: SocketsWithin(4200)},
		{MemoryBytes: 536e6, Sockets: SocketsWithin(8192)},
		{MemoryBytes: 128e6, Sockets: SocketsWithin(2048), NoCallers: true},
		{MemoryBytes: 152e6, Sockets: SocketsWithin(2048), NoCallers: true},
	} {
		r := New(s)
		sum := r.Control.Max() + r.Ready.Max() + r.Operators.Max()
		if !s.NoCallers {
			sum += r.Callers.Max() + r.TargetConns
			if r.Callers.Max() > r.TargetConns {
				t.Errorf("%d MB: %d callers and %d connections to targets", s.MemoryBytes/1e6, r.Callers.Max(), r.TargetConns)
			}
		}
		if sum > s.Sockets {
			t.Errorf("%d MB: the shares are %d of %d sockets", s.MemoryBytes/1e6, sum, s.Sockets)
		}
		if r.Control.Max() < processes {
			t.Errorf("%d MB: %d connections of other processes", s.MemoryBytes/1e6, r.Control.Max())
		}
		waiting := int64(r.Callers.MaxWaiting + r.Control.MaxWaiting + r.Ready.MaxWaiting + r.Operators.MaxWaiting)
		if waiting == 0 || waiting*waitingBytes > s.MemoryBytes/2 {
			t.Errorf("%d MB: %d connections may wait to be accepted", s.MemoryBytes/1e6, waiting)
		}
		first, second := r.Requests.Lease("a"), r.Requests.Lease("b")
		if !first.Grow(bodyBytes) || !second.Grow(bodyBytes) {
			t.Errorf("%d MB: two bodies of the largest size do not fit", s.MemoryBytes/1e6)
		}
	}
}

// TestSmallSettingsAreLimits guards against a share that is rounded to 0, which is no limit.
func TestSmallSettingsAreLimits(t *testing.T) {
	for _, noCallers := range []bool{false, true} {
		for files := 1; files <= 2*reservedFiles; files++ {
			r := New(Limits{MemoryBytes: 100e3, Sockets: SocketsWithin(files), NoCallers: noCallers})
			if r.Callers.Max() < 1 || r.Control.Max() < 1 || r.Ready.Max() < 1 || r.Operators.Max() < 1 || r.TargetConns < 1 || r.Callers.MaxWaiting < 1 {
				t.Fatalf("%d descriptors, no callers %t: a share is no limit", files, noCallers)
			}
		}
	}
}

// TestNoSettingsNoLimits guards against limits in a process whose settings state none.
func TestNoSettingsNoLimits(t *testing.T) {
	r := New(Limits{Sockets: SocketsWithin(0)})
	for range 10_000 {
		if _, ok := r.Callers.Admit(nil); !ok {
			t.Fatal("refused")
		}
	}
	if !r.Requests.Lease("").Grow(1<<40) || r.TargetConns != 0 {
		t.Error("memory or connections to targets are limited")
	}
}
