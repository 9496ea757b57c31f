package targetset

// Position is a point in the history of the platform's list. Each change of the list raises the revision. When the
// platform restores the list from a copy, the era rises by one and the revision goes back, so that revisions of
// different eras cannot be compared.
type Position struct {
	Era      int64 `json:"era,omitempty"`
	Revision int64 `json:"revision"`
}

// Before reports whether the position is older than the other one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// Known reports whether the list has been read at all.
func (p Position) Known() bool { return p.Revision > 0 }
