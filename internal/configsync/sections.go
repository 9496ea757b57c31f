package configsync

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// sectionModulus is the average number of tables in a section of a long list. With it, a change of one client account
	// transfers a few kilobytes, and the list of section hashes stays short.
	sectionModulus = 16
	// maxSectionBytes keeps each section well below the size limit of one message.
	maxSectionBytes = 32 << 10
)

// section is a contiguous part of a document. The sections of a document joined in order are the document.
type section struct {
	hash string // hexadecimal xxhash64; the SHA-256 of the whole document detects collisions
	body string
}

// splitSections cuts a document into sections at table headers: where the top-level key changes, and inside a list
// after each table whose hash is a multiple of sectionModulus (content-defined chunking). A cut depends only on the
// text next to it, so an inserted table does not move other cuts.
func splitSections(body []byte) []section {
	var out []section
	start, end := 0, 0
	key := ""
	flush := func() {
		for start < end {
			part := body[start:min(end, start+maxSectionBytes)]
			out = append(out, section{hash: sectionHash(part), body: string(part)})
			start += len(part)
		}
	}
	for _, table := range splitTables(body) {
		if next := topLevelKey(table); next != key {
			flush()
			key = next
		}
		end += len(table)
		if xxhash.Sum64(table)%sectionModulus == 0 {
			flush()
		}
	}
	flush()
	return out
}

// splitTables cuts the body before each line that starts with an opening bracket.
func splitTables(body []byte) [][]byte {
	var out [][]byte
	start := 0
	for at := 0; at < len(body); {
		if body[at] == '[' && at > start {
			out = append(out, body[start:at])
			start = at
		}
		end := bytes.IndexByte(body[at:], '\n')
		if end < 0 {
			break
		}
		at += end + 1
	}
	return append(out, body[start:])
}

// topLevelKey returns the first key of a table's header, or the empty string for the part before the first header.
func topLevelKey(table []byte) string {
	if len(table) == 0 || table[0] != '[' {
		return ""
	}
	name := strings.TrimLeft(string(table[:min(len(table), 128)]), "[ ")
	if i := strings.IndexAny(name, "]. \n"); i >= 0 {
		name = name[:i]
	}
	return name
}

func sectionHash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// sectionHashes returns the hashes of the sections in order.
func sectionHashes(sections []section) []string {
	out := make([]string, len(sections))
	for i, s := range sections {
		out[i] = s.hash
	}
	return out
}

// bodiesByHash returns the body of each section by the section's hash.
func bodiesByHash(sections []section) map[string]string {
	out := make(map[string]string, len(sections))
	for _, s := range sections {
		out[s.hash] = s.body
	}
	return out
}
