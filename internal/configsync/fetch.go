package configsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// fetchTimeout bounds the fetch of one document from a peer.
	fetchTimeout = 5 * time.Second
	// maxDocumentBytes and maxSections bound a document that is fetched from a peer.
	maxDocumentBytes = 1<<20 + 4096
	maxSections      = 8192
	// maxReplyBytes bounds the size of the sections in one reply. A larger document takes several replies.
	maxReplyBytes = 128 << 10
)

// OnFetch returns the first of the requested sections, up to maxReplyBytes but at least one. It returns none if the
// document in force is not the requested one, and stops at the first section that the document does not have.
func (s *Syncer) OnFetch(_ context.Context, f wire.ConfigFetch) (wire.ConfigSections, error) {
	d := s.document()
	if d == nil || d.snap.Hash != f.Hash {
		return wire.ConfigSections{}, nil
	}
	known := bodiesByHash(d.sections)
	var out wire.ConfigSections
	size := 0
	for _, hash := range f.Sections {
		body, ok := known[hash]
		if size += len(body); !ok || (size > maxReplyBytes && len(out.Bodies) > 0) {
			break
		}
		out.Bodies = append(out.Bodies, body)
	}
	return out, nil
}

// fetchDocument fetches the sections of a peer's document that this process does not have, and offers the document.
// It does nothing if the document in force has at least the peer's revision, or if the peer's document was rejected
// before.
func (s *Syncer) fetchDocument(ctx context.Context, addr string, h wire.ConfigHead) error {
	s.fetchMu.Lock()
	defer s.fetchMu.Unlock()
	if cur := s.opt.Store.Current(); (cur != nil && cur.Revision() >= h.Revision) || s.isRejected(h.Hash) {
		return nil
	}
	if len(h.Sections) > maxSections {
		return fmt.Errorf("configuration from %s has %d sections, at most %d are allowed", h.From.Name, len(h.Sections), maxSections)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	known := map[string]string{}
	if d := s.document(); d != nil {
		known = bodiesByHash(d.sections)
	}
	body, err := s.assemble(ctx, addr, h, known)
	if err == nil && !matchesHash(body, h.Hash) && len(known) > 0 {
		// A section of the document in force and one of the peer's have the same xxhash64: fetch all sections instead.
		body, err = s.assemble(ctx, addr, h, map[string]string{})
	}
	if err != nil {
		counters.Add(countPeerErrors, 1)
		return err
	}
	if !matchesHash(body, h.Hash) {
		return fmt.Errorf("configuration from %s does not match its stated SHA-256", h.From.Name)
	}
	s.Offer(body, h.Revision, h.From.Name)
	return nil
}

// assemble fetches the sections that are not known and joins all sections to a document. It fails at the first section
// that does not have the requested hash, and if the fetched sections exceed the size limit of a document, so that a
// faulty peer cannot exhaust the memory.
func (s *Syncer) assemble(ctx context.Context, addr string, h wire.ConfigHead, known map[string]string) ([]byte, error) {
	missing := missingSections(h.Sections, known)
	fetched := 0
	for len(missing) > 0 {
		var part wire.ConfigSections
		in := wire.ConfigFetch{Hash: h.Hash, Sections: missing}
		if err := s.opt.Caller.Call(ctx, addr, wire.MethodConfigFetch, in, &part); err != nil {
			return nil, err
		}
		if len(part.Bodies) == 0 || len(part.Bodies) > len(missing) {
			return nil, fmt.Errorf("%s no longer has the requested configuration", h.From.Name)
		}
		for i, body := range part.Bodies {
			if sectionHash([]byte(body)) != missing[i] {
				return nil, fmt.Errorf("%s sent a section that does not match the requested hash %s", h.From.Name, missing[i])
			}
			known[missing[i]] = body
			fetched += len(body)
		}
		if fetched > maxDocumentBytes {
			return nil, fmt.Errorf("sections sent by %s exceed the limit of %d bytes for a configuration", h.From.Name, maxDocumentBytes)
		}
		counters.Add(countSections, int64(len(part.Bodies)))
		missing = missing[len(part.Bodies):]
	}
	var b strings.Builder
	for _, hash := range h.Sections {
		if b.WriteString(known[hash]); b.Len() > maxDocumentBytes {
			return nil, fmt.Errorf("configuration from %s exceeds the limit of %d bytes", h.From.Name, maxDocumentBytes)
		}
	}
	return []byte(b.String()), nil
}

// missingSections returns the wanted hashes that are not known, each once, in the order of wanted.
func missingSections(wanted []string, known map[string]string) []string {
	var out []string
	asked := map[string]bool{}
	for _, hash := range wanted {
		if _, ok := known[hash]; !ok && !asked[hash] {
			asked[hash] = true
			out = append(out, hash)
		}
	}
	return out
}

// matchesHash reports whether the body has the given hexadecimal SHA-256.
func matchesHash(body []byte, hash string) bool {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:]) == hash
}
