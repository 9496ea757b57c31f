package configsync

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// faultyPeer answers a fetch with altered sections. A non-empty body replaces the section at its index in the reply.
type faultyPeer struct {
	own    map[string]string
	bodies []string
	order  int // number of places by which the bodies of a reply are rotated
	more   int // number of bodies appended to a reply
}

func (p *faultyPeer) Call(_ context.Context, _, method string, in, out any) error {
	if method != wire.MethodConfigFetch {
		return io.EOF
	}
	reply := out.(*wire.ConfigSections)
	for i, hash := range in.(wire.ConfigFetch).Sections {
		body := p.own[hash]
		if i < len(p.bodies) && p.bodies[i] != "" {
			body = p.bodies[i]
		}
		reply.Bodies = append(reply.Bodies, body)
	}
	if n := len(reply.Bodies); n > 0 {
		k := p.order % n
		reply.Bodies = append(reply.Bodies[k:n:n], reply.Bodies[:k]...)
	}
	for range p.more {
		reply.Bodies = append(reply.Bodies, "extra")
	}
	return nil
}

func newFuzzSyncer(c Caller) *Syncer {
	return New(Options{Store: &config.Store{}, Caller: c, Clock: port.SystemClock{}, Rand: rand.New(rand.NewPCG(1, 1)),
		Log: &log.Logger{Handler: discard.Default}})
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// FuzzAssemble guards against a panic, and against a configuration in force that no peer has, when the sections of a
// peer are altered, missing, too many, reordered or listed wrongly.
func FuzzAssemble(f *testing.F) {
	published := []byte("revision = 7\npreset_in_force = \"p\"\n[[presets]]\nname = \"p\"\n[[presets]]\nname = \"q\"\n[[models]]\nname = \"m\"\n")
	for _, seed := range []struct {
		bodies, listed string
		order, more    uint8
	}{{"", "", 0, 0}, {"\x1erevision = 8", "", 0, 0}, {"revision = 8\n", "", 0, 0}, {"", "", 1, 0}, {"", "", 0, 1}, {"", "0", 0, 0},
		{"", "0,0,1,2", 0, 0}, {"", "2,1,0", 0, 0}, {"", "0,x,1", 0, 0}, {" ", "-1", 200, 255}} {
		f.Add(seed.bodies, seed.listed, seed.order, seed.more)
	}
	f.Fuzz(func(t *testing.T, altered, listed string, order, more uint8) {
		sections := splitSections(published)
		head := wire.ConfigHead{Revision: 7, Hash: hashOf(published), Sections: sectionHashes(sections)}
		if listed != "" {
			head.Sections = nil
			for number := range strings.SplitSeq(listed, ",") {
				var i int
				if _, err := fmt.Sscan(number, &i); err != nil || i < 0 || i >= len(sections) {
					head.Sections = append(head.Sections, number)
					continue
				}
				head.Sections = append(head.Sections, sections[i].hash)
			}
		}
		p := &faultyPeer{own: bodiesByHash(sections), bodies: strings.Split(altered, "\x1e"), order: int(order), more: int(more)}
		s := newFuzzSyncer(p)
		err := s.fetchDocument(context.Background(), "peer", head)
		if cur := s.opt.Store.Current(); cur != nil && !bytes.Equal(cur.Body, published) {
			t.Errorf("in force: %q", cur.Body)
		} else if cur == nil && err == nil {
			t.Error("nothing is in force and no error was returned")
		}
		if altered == "" && listed == "" && order == 0 && more == 0 && err != nil {
			t.Errorf("the unchanged document: %v", err)
		}
	})
}

// largePeer answers each fetch with one section of 512,000 bytes, a large size that still fits into one message.
type largePeer struct{ sent int }

func (p *largePeer) Call(_ context.Context, _, _ string, _, out any) error {
	body := largeBody(p.sent)
	p.sent += len(body)
	out.(*wire.ConfigSections).Bodies = []string{body}
	return nil
}

// largeBody returns a section of 512,000 bytes that differs for each number of bytes sent before it.
func largeBody(sent int) string { return fmt.Sprintf("%0512000d", sent) }

// TestFetchIsBounded guards against a peer that exhausts the memory with many large sections, each of which has the
// requested hash, before the document is joined.
func TestFetchIsBounded(t *testing.T) {
	head := wire.ConfigHead{Revision: 7, Hash: hashOf(nil)}
	sent := 0
	for range 100 {
		body := largeBody(sent)
		head.Sections = append(head.Sections, sectionHash([]byte(body)))
		sent += len(body)
	}
	p := &largePeer{}
	err := newFuzzSyncer(p).fetchDocument(context.Background(), "peer", head)
	if err == nil || p.sent > maxDocumentBytes+512000 {
		t.Errorf("fetched %d bytes, error %v", p.sent, err)
	}
}
