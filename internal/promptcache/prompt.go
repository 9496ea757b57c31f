package promptcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPrefixes bounds the prefixes of one prompt.
	maxPrefixes = 8
	// firstBlockBytes is the length of the shortest prefix of a prompt that is given as text. Engines cache whole blocks,
	// so that a shorter one saves nothing.
	firstBlockBytes = 256
	// bytesPerToken is the typical length of a token of text.
	bytesPerToken = 4
)

// Prefix is a leading part of a prompt that other prompts may begin with too.
type Prefix struct {
	Hash   uint64 // of the prompt up to the end of the prefix
	Tokens int    // from the start of the prompt to the end of the prefix
}

// Prompt describes the prompt of a request.
type Prompt struct {
	Tokens   int      // length of the whole prompt
	Prefixes []Prefix // shortest first; empty if no other prompt begins in the same way
}

// Shared returns the length of the longest prefix in tokens.
func (p *Prompt) Shared() int {
	if len(p.Prefixes) == 0 {
		return 0
	}
	return p.Prefixes[len(p.Prefixes)-1].Tokens
}

// Part is a part of a prompt that other prompts may contain too.
type Part struct {
	ID     string
	Tokens int
}

// OfParts returns the prefixes of a prompt that begins with the parts. A part without a length ends the last prefix.
func OfParts(parts []Part) []Prefix {
	var out []Prefix
	last := Prefix{}
	for _, p := range parts {
		if p.Tokens <= 0 || len(out) == maxPrefixes {
			break
		}
		last = Prefix{Hash: extend(last.Hash, p.ID), Tokens: last.Tokens + p.Tokens}
		out = append(out, last)
	}
	return out
}

// extend returns the hash of a prefix that continues another one with a part.
func extend(hash uint64, part string) uint64 {
	var before [8]byte
	binary.LittleEndian.PutUint64(before[:], hash)
	d := xxhash.New()
	_, _ = d.Write(before[:])
	_, _ = d.WriteString(part)
	return d.Sum64()
}

// OfText returns the description of a prompt for a model and an adapter. How much of the text is shared is not known, so
// the length of each prefix is twice that of the one before it.
func OfText(model, adapter, text string) Prompt {
	out := Prompt{Tokens: len(text) / bytesPerToken}
	if len(text) < firstBlockBytes {
		return out
	}
	d := xxhash.New()
	for _, s := range [...]string{model, "\x00", adapter, "\x00"} {
		_, _ = d.WriteString(s)
	}
	hashed := 0
	for end := firstBlockBytes; end <= len(text) && len(out.Prefixes) < maxPrefixes; end *= 2 {
		_, _ = d.WriteString(text[hashed:end])
		hashed = end
		out.Prefixes = append(out.Prefixes, Prefix{Hash: d.Sum64(), Tokens: end / bytesPerToken})
	}
	return out
}
