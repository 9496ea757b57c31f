package node

import "testing"

// TestResourcesFitTheSettings guards against shares that exceed the settings together, and against limits that a client which
// behaves would meet.
func TestResourcesFitTheSettings(t *testing.T) {
	const bodyBytes, processes = 4 << 20, 360
	for _, s := range []Settings{
		{Role: RoleEntry, MemoryBytes: 284e6, MaxFiles: 4100},
		{Role: RoleEntry, MemoryBytes: 160e6, MaxFiles: 4100},
		{Role: RoleEntry, MemoryBytes: 184e6, MaxFiles: 4200},
		{Role: RoleEntry, MemoryBytes: 536e6, MaxFiles: 8192},
		{Role: RoleRank, MemoryBytes: 128e6, MaxFiles: 2048},
		{Role: RoleRank, MemoryBytes: 152e6, MaxFiles: 2048},
	} {
		r := newResources(&s)
		sockets := s.MaxFiles - reservedFiles
		sum := r.controlConns.Max() + r.readyConns.Max() + r.metricsConns.Max()
		if s.Role == RoleEntry {
			sum += r.callerConns.Max() + r.targetConns
			if r.callerConns.Max() > r.targetConns {
				t.Errorf("%d MB: %d callers and %d connections to targets", s.MemoryBytes/1e6, r.callerConns.Max(), r.targetConns)
			}
		}
		if sum > sockets {
			t.Errorf("%d MB: the shares are %d of %d sockets", s.MemoryBytes/1e6, sum, sockets)
		}
		if r.controlConns.Max() < processes {
			t.Errorf("%d MB: %d connections of other processes", s.MemoryBytes/1e6, r.controlConns.Max())
		}
		waiting := int64(r.callerConns.MaxWaiting + r.controlConns.MaxWaiting + r.readyConns.MaxWaiting + r.metricsConns.MaxWaiting)
		if waiting == 0 || waiting*waitingBytes > s.MemoryBytes/2 {
			t.Errorf("%d MB: %d connections may wait to be accepted", s.MemoryBytes/1e6, waiting)
		}
		first, second := r.requests.Lease("a"), r.requests.Lease("b")
		if !first.Grow(bodyBytes) || !second.Grow(bodyBytes) {
			t.Errorf("%d MB: two bodies of the largest size do not fit", s.MemoryBytes/1e6)
		}
	}
}

// TestSmallSettingsAreLimits guards against a share that is rounded to 0, which is no limit.
func TestSmallSettingsAreLimits(t *testing.T) {
	for _, role := range []Role{RoleEntry, RoleRank} {
		for files := 1; files <= 2*reservedFiles; files++ {
			r := newResources(&Settings{Role: role, MemoryBytes: 100e3, MaxFiles: files})
			if r.callerConns.Max() < 1 || r.controlConns.Max() < 1 || r.readyConns.Max() < 1 || r.metricsConns.Max() < 1 || r.targetConns < 1 || r.callerConns.MaxWaiting < 1 {
				t.Fatalf("%s with %d descriptors: a share is no limit", role, files)
			}
		}
	}
}

// TestNoSettingsNoLimits guards against limits in a process whose settings state none.
func TestNoSettingsNoLimits(t *testing.T) {
	r := newResources(&Settings{Role: RoleEntry})
	for range 10_000 {
		if _, ok := r.callerConns.Admit(nil); !ok {
			t.Fatal("refused")
		}
	}
	if !r.requests.Lease("").Grow(1<<40) || r.targetConns != 0 {
		t.Error("memory or connections to targets are limited")
	}
}
