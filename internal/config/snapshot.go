package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
)

const sha256Bytes = sha256.Size

// Snapshot is an accepted configuration with indexes for lookups. It is immutable.
type Snapshot struct {
	Document Document
	Body     []byte // as published
	Hash     string // hexadecimal SHA-256 of Body

	preset   *Preset
	accounts map[string]*ClientAccount // by KeySHA256
	models   map[string]*Model
	services map[string]*Service
}

func newSnapshot(doc Document, body []byte) *Snapshot {
	sum := sha256.Sum256(body)
	s := &Snapshot{
		Document: doc, Body: body, Hash: hex.EncodeToString(sum[:]),
		accounts: map[string]*ClientAccount{}, models: map[string]*Model{}, services: map[string]*Service{},
	}
	for i := range doc.Presets {
		if doc.Presets[i].Name == doc.PresetInForce {
			s.preset = &doc.Presets[i]
		}
	}
	for i := range doc.ClientAccounts {
		s.accounts[doc.ClientAccounts[i].KeySHA256] = &doc.ClientAccounts[i]
	}
	for i := range doc.Models {
		s.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Services {
		s.services[doc.Services[i].Name] = &doc.Services[i]
	}
	return s
}

// Revision returns the revision of the document.
func (s *Snapshot) Revision() int64 { return s.Document.Revision }

// Preset returns the preset that the document puts in force.
func (s *Snapshot) Preset() *Preset { return s.preset }

// AccountByKey returns the client account to which the API key belongs, or nil if there is none.
func (s *Snapshot) AccountByKey(key string) *ClientAccount {
	sum := sha256.Sum256([]byte(key))
	return s.accounts[hex.EncodeToString(sum[:])]
}

// Model returns the model of that name, or nil if there is none.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Service returns the plain service of that name, or nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Operation returns the operation of that name, or nil if there is none.
func (s *Service) Operation(name string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Name == name {
			return &s.Operations[i]
		}
	}
	return nil
}

// Store holds the snapshot in force, whose revision never decreases. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first one.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Offer puts the snapshot in force if its revision is higher than that of the current one, and reports whether it did.
func (s *Store) Offer(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur := s.current.Load(); cur != nil && next.Revision() <= cur.Revision() {
		return false
	}
	s.current.Store(next)
	return true
}
