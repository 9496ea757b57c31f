// Package jsonsize bounds the memory that JSON from another process takes when it is decoded. A list of empty objects takes many
// times the size of its text, which a limit of the text does not bound.
package jsonsize

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is the error of a text that would take more memory than its limit.
var ErrTooLarge = errors.New("decoded value is too large")

// Bytes that the parts of a value take at most, with the spare room of a slice that grows by a quarter.
const (
	objectBytes  = 320 // a struct of up to 256 bytes
	memberBytes  = 64  // a key of a map with its value
	arrayBytes   = 40  // a slice
	elementBytes = 24  // a number, or a string without its text
)

// textSlack is the part of a text by which the memory for it may exceed its length.
const textSlack = 8

// Meter estimates the memory that the value of a JSON text takes at most when it is decoded, while the text arrives. The zero value
// is ready for the first byte.
type Meter struct {
	bytes    int64
	inString bool
	escaped  bool // the last byte was the backslash of an escape in a string
}

// Add takes the next bytes of the text, and returns the estimate for all so far, in bytes.
func (m *Meter) Add(text []byte) int64 {
	m.bytes += int64(len(text) + len(text)/textSlack)
	for i := 0; i < len(text); i++ {
		switch {
		case m.escaped:
			m.escaped = false
		case m.inString:
			next := bytes.IndexAny(text[i:], `"\`)
			if next < 0 {
				return m.bytes
			}
			i += next
			m.inString, m.escaped = text[i] != '"', text[i] == '\\'
		default:
			m.inString = text[i] == '"'
			m.bytes += partBytes(text[i])
		}
	}
	return m.bytes
}

// Reset begins a new estimate within the text.
func (m *Meter) Reset() { m.bytes = 0 }

// partBytes returns the memory of the part of a value that a byte outside of strings begins.
func partBytes(b byte) int64 {
	switch b {
	case '{':
		return objectBytes
	case ':':
		return memberBytes
	case '[':
		return arrayBytes
	case ',':
		return elementBytes
	}
	return 0
}

// DecodedBytes returns the memory that the value of a JSON text takes at most when it is decoded, in bytes.
func DecodedBytes(text []byte) int64 { return new(Meter).Add(text) }

// Unmarshal decodes a text like json.Unmarshal. It returns ErrTooLarge, and decodes nothing, if the value may take more than limit
// bytes.
func Unmarshal(text []byte, limit int64, v any) error {
	if n := DecodedBytes(text); n > limit {
		return fmt.Errorf("%w: up to %d bytes, %d are allowed", ErrTooLarge, n, limit)
	}
	return json.Unmarshal(text, v)
}

// LimitReader returns a reader of the JSON text that r returns. It fails with ErrTooLarge where the values of the text may take more
// than limit bytes, which a decoder meets before it decodes a value.
func LimitReader(r io.Reader, limit int64) io.Reader { return &limitedReader{reader: r, limit: limit} }

type limitedReader struct {
	reader io.Reader
	limit  int64
	meter  Meter
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	if taken := l.meter.Add(p[:n]); taken > l.limit {
		return 0, fmt.Errorf("%w: up to %d bytes and more, %d are allowed", ErrTooLarge, taken, l.limit)
	}
	return n, err
}
