package routetable

import "sync/atomic"

// Store holds the table in force. Within one process it only ever moves to higher versions.
type Store struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil before the first one.
func (s *Store) Load() *Table { return s.table.Load() }

// Version returns the version in force, or 0.
func (s *Store) Version() int64 {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Offer puts a revision in force if it is newer, and says whether it did.
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
