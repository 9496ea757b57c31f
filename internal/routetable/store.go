package routetable

import "sync/atomic"

// Store holds the table in force. Its version never decreases within one process. It is safe for concurrent use.
type Store struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil if there is none yet.
func (s *Store) Load() *Table { return s.table.Load() }

// Version returns the version in force, or 0 if there is none yet.
func (s *Store) Version() int64 {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Offer puts a revision in force if its version is higher than the present one, and reports whether it did.
func (s *Store) Offer(c Config) bool {
	for {
		old := s.table.Load()
		if old != nil && old.Config.Version >= c.Version {
			return false
		}
		if s.table.CompareAndSwap(old, Compile(c)) {
			return true
		}
	}
}
