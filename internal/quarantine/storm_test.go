package quarantine

import (
	"testing"
	"time"
)

const (
	// crashesUntilStop is the number of crashes under one part after which, and after the stop time of the layout, no more
	// than lateRequests with it may reach engines.
	crashesUntilStop = 5
	lateRequests     = 3
	stormSeeds       = 100
	// Shares of the sound requests that may be refused in a storm, and otherwise.
	maxRefusedInStorm = 0.01
	maxRefused        = 0.002
	// A request that was sent to two engines that were killed one after the other may have a part of its own.
	maxRefusedInFailures = 0.0002
)

// late returns the number of requests with a bad part that reached engines later than the stop time after the fifth crash.
// Those within that time after a restart of the entries do not count.
func (s *storm) late(bad Part, restarted time.Time) int {
	if len(s.crashes[bad]) < crashesUntilStop {
		return 0
	}
	from := s.crashes[bad][crashesUntilStop-1].Add(s.stopTime)
	if again := restarted.Add(s.stopTime); again.After(from) {
		from = again
	}
	late := 0
	for _, at := range s.reached[bad] {
		if at.After(from) {
			late++
		}
	}
	return late
}

// playStorms plays storms and checks the bounds on bad requests that reach engines late, and on refused sound ones. play
// returns the time at which all entries were restarted, or none.
func playStorms(t *testing.T, l layout, seeds uint64, maxRefused float64, play func(s *storm, seed uint64) (restarted time.Time)) {
	t.Helper()
	crashes, sound, refused := 0, 0, 0
	for seed := range seeds {
		s := newStorm(seed, l)
		s.run(8*time.Second, 0)
		restarted := play(s, seed)
		for part, at := range s.crashes {
			if late := s.late(part, restarted); late > lateRequests {
				t.Errorf("seed %d: %d requests with %s reached engines late, want at most %d; %d crashes", seed, late, part, lateRequests, len(at))
			}
			crashes += len(at)
		}
		sound += s.sound
		refused += s.refused
	}
	t.Logf("%.1f crashes a storm; %d of %d sound requests refused", float64(crashes)/float64(seeds), refused, sound)
	if float64(refused) > maxRefused*float64(sound) {
		t.Errorf("%d of %d sound requests were refused", refused, sound)
	}
}

// TestStormOfCrashingRequests guards against engines that crash one after the other under requests with one part, at any
// rate of them, and against refusing sound requests that share their other parts or their engines.
func TestStormOfCrashingRequests(t *testing.T) {
	playStorms(t, smallLayout, stormSeeds, maxRefusedInStorm, func(s *storm, seed uint64) time.Time {
		s.run(30*time.Second, []float64{0.3, 1, 2, 5, 20}[seed%5], "bad")
		return time.Time{}
	})
}

// TestStormAfterRestart guards against entries that know nothing of a storm since all of them were restarted in it, and
// quarantine parts of sound requests, or never the one that crashes engines. Requests don't wait for a group to open.
func TestStormAfterRestart(t *testing.T) {
	l := smallLayout
	l.queueTime = 0
	playStorms(t, l, stormSeeds, maxRefusedInStorm, playRestart)
}

// TestStormAfterRestartWithQueues is TestStormAfterRestart with requests that wait while all groups are closed, and reach
// engines together once one opens.
func TestStormAfterRestartWithQueues(t *testing.T) {
	playStorms(t, smallLayout, stormSeeds, maxRefusedInStorm, playRestart)
}

// playRestart plays a storm in which all entries are restarted.
func playRestart(s *storm, seed uint64) (restarted time.Time) {
	s.run(time.Duration(1+seed%5)*time.Second, 5, "bad")
	for i := range s.trackers {
		s.trackers[i] = New(s.clock.now)
	}
	s.sound, s.refused, s.running, s.waiting = 0, 0, nil, nil
	restarted = s.clock.now()
	s.run(40*time.Second, []float64{0.5, 1, 2, 5}[seed%4], "bad")
	return restarted
}

// TestCrashesWithoutACause guards against quarantines when engines crash for a reason of their own, alone or together.
func TestCrashesWithoutACause(t *testing.T) {
	playStorms(t, smallLayout, stormSeeds, maxRefused, func(s *storm, _ uint64) time.Time {
		for range 12 {
			for range 1 + s.rng.IntN(5) {
				s.crash(s.rng.IntN(s.groups * s.perGroup))
			}
			s.run(time.Duration(s.rng.IntN(6000))*time.Millisecond, 0)
		}
		return time.Time{}
	})
}

// TestStormOfAUsedPart guards against a part that crashes engines and is not found because it was in sound answers before.
func TestStormOfAUsedPart(t *testing.T) {
	for name, l := range stormLayouts {
		t.Run(name, func(t *testing.T) {
			playStorms(t, l.layout, l.seeds, maxRefusedInStorm, func(s *storm, seed uint64) time.Time {
				s.used = "bad"
				s.run(8*time.Second, 0)
				s.used = ""
				s.run(30*time.Second, []float64{0.5, 2, 20}[seed%3], "bad")
				return time.Time{}
			})
		})
	}
}

// TestFailuresWithoutACause guards against quarantines of parts that are in the requests of crashes with another cause: a
// data centre that is lost within a second, engines that are killed one after the other, or those of one group.
func TestFailuresWithoutACause(t *testing.T) {
	for name, l := range stormLayouts {
		for failure, fail := range map[string]func(s *storm){
			"data centre": (*storm).loseDataCentre, "one by one": (*storm).killOneByOne, "group": (*storm).killGroup,
		} {
			t.Run(name+", "+failure, func(t *testing.T) {
				playStorms(t, l.layout, l.seeds, maxRefusedInFailures, func(s *storm, _ uint64) time.Time {
					for range 2 {
						fail(s)
						s.run(6*time.Second, 0)
					}
					return time.Time{}
				})
			})
		}
	}
}

// loseDataCentre crashes the engines of a third of the groups, at least of one, within a second.
func (s *storm) loseDataCentre() {
	lost := s.rng.Perm((max(1, s.groups/3)) * s.perGroup)
	for _, e := range lost {
		s.crash(e)
		s.run(max(stormStep, time.Second/time.Duration(len(lost))), 0)
	}
}

// killOneByOne crashes an engine every half second.
func (s *storm) killOneByOne() {
	for range 12 {
		s.crash(s.rng.IntN(s.groups * s.perGroup))
		s.run(500*time.Millisecond, 0)
	}
}

// killGroup crashes the engines of one group within its stall.
func (s *storm) killGroup() {
	group := s.rng.IntN(s.groups)
	for e := range s.perGroup {
		s.crash(group*s.perGroup + e)
		s.run(150*time.Millisecond, 0)
	}
}

// TestStormInALargeFleet guards against evidence that spreads too slowly or gets lost between data centres that exchange
// reports through few entries, and against too many requests with a part under way at many entries.
func TestStormInALargeFleet(t *testing.T) {
	playStorms(t, largeLayout, 3, maxRefusedInStorm, func(s *storm, seed uint64) time.Time {
		s.run(20*time.Second, []float64{0.3, 5, 40}[seed%3], "bad")
		return time.Time{}
	})
}

// TestStormWithLostEntries guards against evidence that gets lost with the entries through which data centres exchange it.
func TestStormWithLostEntries(t *testing.T) {
	playStorms(t, largeLayout, 3, maxRefusedInStorm, func(s *storm, seed uint64) time.Time {
		for range 20 {
			s.loseEntry()
			s.run(200*time.Millisecond, []float64{1, 5, 40}[seed%3], "bad")
		}
		s.run(15*time.Second, []float64{1, 5, 40}[seed%3], "bad")
		return time.Time{}
	})
}

// TestBursts guards against bursts of requests with a part at all entries at the same moment, which crash engines in the
// same moment, so that their crashes count as one.
func TestBursts(t *testing.T) {
	for name, l := range stormLayouts {
		t.Run(name, func(t *testing.T) {
			playStorms(t, l.layout, l.seeds, maxRefusedInStorm, func(s *storm, seed uint64) time.Time {
				for range 4 {
					s.burst(1+int(seed+1)%4, "bad")
					s.run(time.Duration(6000+s.rng.IntN(4000))*time.Millisecond, 0)
				}
				return time.Time{}
			})
		})
	}
}

// TestBurstThenStorm guards against requests with a part that wait while all groups are closed after a burst, and reach
// engines together when the first one opens.
func TestBurstThenStorm(t *testing.T) {
	for name, l := range stormLayouts {
		t.Run(name, func(t *testing.T) {
			playStorms(t, l.layout, l.seeds, maxRefusedInStorm, func(s *storm, seed uint64) time.Time {
				s.burst(1+int(seed+1)%4, "bad")
				s.run(15*time.Second, 30, "bad")
				return time.Time{}
			})
		})
	}
}

// TestManyStorms guards against several crashing parts at once, of which each hides the others.
func TestManyStorms(t *testing.T) {
	for name, l := range stormLayouts {
		t.Run(name, func(t *testing.T) {
			playStorms(t, l.layout, l.seeds, maxRefusedInStorm, func(s *storm, seed uint64) time.Time {
				s.run(40*time.Second, []float64{0.3, 1, 3, 10}[seed%4], "bad-1", "bad-2", "bad-3")
				return time.Time{}
			})
		})
	}
}
