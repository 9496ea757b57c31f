package admission

import (
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/config"
)

// Policy is the part of the configuration in force that governs admission.
type Policy struct {
	ShortMaxTokens  int                      // work of at most this many tokens, prompt included, is short
	ReservedShare   float64                  // share of the slots kept for short work
	MaxWait         [laneCount]time.Duration // longest predicted wait at which work is admitted
	AdmitLongDrafts bool                     // false refuses long drafts
	Weights         map[string]int           // by client account; an account that is missing has weight 1
}

// defaultPolicy is in force until a process has its first configuration.
var defaultPolicy = Policy{
	ShortMaxTokens: 200, ReservedShare: 0.25, AdmitLongDrafts: true,
	MaxWait: [laneCount]time.Duration{Short: 500 * time.Millisecond, Long: 4 * time.Second},
}

// PolicyOf returns the policy of the preset in force in the snapshot, which may be nil.
func PolicyOf(s *config.Snapshot) *Policy {
	if s == nil {
		p := defaultPolicy
		return &p
	}
	preset := s.Preset()
	p := &Policy{
		ShortMaxTokens: preset.ShortMaxTokens, ReservedShare: preset.ShortReservedShare, AdmitLongDrafts: preset.AdmitLongDrafts,
		MaxWait: [laneCount]time.Duration{Short: preset.MaxWaitShort.Duration, Long: preset.MaxWaitLong.Duration},
		Weights: make(map[string]int, len(s.Document.ClientAccounts)),
	}
	for _, a := range s.Document.ClientAccounts {
		p.Weights[a.Name] = a.Weight
	}
	return p
}

func (p *Policy) weight(account string) float64 {
	if w := p.Weights[account]; w > 0 {
		return float64(w)
	}
	return 1
}

// PolicySource returns a function that returns the policy of the store's current snapshot. The function builds the
// policy once for each snapshot.
func PolicySource(store *config.Store) func() *Policy {
	type built struct {
		snapshot *config.Snapshot
		policy   *Policy
	}
	var last atomic.Pointer[built]
	return func() *Policy {
		s := store.Current()
		if b := last.Load(); b != nil && b.snapshot == s {
			return b.policy
		}
		b := &built{s, PolicyOf(s)}
		last.Store(b)
		return b.policy
	}
}
