package configsync

import "time"

const (
	// maxPeerRevisions bounds the record of peers' revisions. It exceeds the number of processes in the fleet, 1,560.
	maxPeerRevisions = 4096
	// peerRevisionLifetime is how long a peer's revision counts in the status. It is long because a process pulls only
	// every 2.5 s, and an exchange with a given peer happens by chance.
	peerRevisionLifetime = 5 * time.Minute
)

// Rejected describes a document that failed the checks.
type Rejected struct {
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	Reason   string `json:"reason"`
	Origin   string `json:"origin"` // service, or the name of a peer
}

// Conflict describes a document that has the revision in force but other content.
type Conflict struct {
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	Origin   string `json:"origin"`
}

// Status describes the configuration of one process to operators.
type Status struct {
	Revision         int64     `json:"revision"` // 0 before the first configuration
	Hash             string    `json:"hash"`
	Preset           string    `json:"preset"`
	Rejected         *Rejected `json:"rejected,omitempty"` // latest rejected document, unless a higher revision is in force
	Conflicts        int64     `json:"conflicts"`          // times that other content was seen under the revision in force
	Conflict         *Conflict `json:"conflict,omitempty"` // latest conflict, if it is with the revision in force now
	Watcher          bool      `json:"watcher"`            // the process watches the service
	ServiceSeen      time.Time `json:"service_seen"`       // last answer of the service to this process; zero if none
	ServiceSeenByAny time.Time `json:"service_news"`       // last answer of the service to any process, as far as known
	PeerSeen         time.Time `json:"peer_seen"`          // last exchange with a peer; start of the process if there was none
	PeersBehind      int       `json:"peers_behind"`       // peers whose recently recorded revision is lower
	PeersAhead       int       `json:"peers_ahead"`        // peers whose recently recorded revision is higher
}

// Status returns the current status, and deletes records of peers' revisions that are too old.
func (s *Syncer) Status() Status {
	now := s.opt.Clock.Now()
	var st Status
	if cur := s.opt.Store.Current(); cur != nil {
		st.Revision, st.Hash, st.Preset = cur.Revision(), cur.Hash, cur.Preset().Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Conflicts, st.Watcher = s.conflictCount, s.isWatcher
	st.ServiceSeen, st.ServiceSeenByAny, st.PeerSeen = s.serviceSeen, s.serviceSeenByAny, s.peerSeen
	if s.lastRejected != nil && s.lastRejected.Revision >= st.Revision {
		st.Rejected = s.lastRejected
	}
	if s.lastConflict != nil && s.lastConflict.Revision == st.Revision && s.lastConflict.Hash != st.Hash {
		st.Conflict = s.lastConflict
	}
	for name, p := range s.peerRevisions {
		switch {
		case now.Sub(p.at) > peerRevisionLifetime:
			delete(s.peerRevisions, name)
		case p.revision < st.Revision:
			st.PeersBehind++
		case p.revision > st.Revision:
			st.PeersAhead++
		}
	}
	return st
}
