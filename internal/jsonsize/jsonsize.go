// Package jsonsize bounds the memory that JSON from another process takes when it is decoded. A list of empty objects takes many
// times the size of its text, which a limit of the text does not bound.
package jsonsize

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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

// DecodedBytes returns the memory that the value of a JSON text takes at most when it is decoded, in bytes.
func DecodedBytes(text []byte) int64 {
	n := int64(len(text) + len(text)/textSlack)
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringBytes(text[i:]) - 1
		case '{':
			n += objectBytes
		case ':':
			n += memberBytes
		case '[':
			n += arrayBytes
		case ',':
			n += elementBytes
		}
	}
	return n
}

// stringBytes returns the length of the string that a text begins with, or that of the text if the string does not end.
func stringBytes(text []byte) int {
	for i := 1; i < len(text); {
		next := bytes.IndexAny(text[i:], `"\`)
		if next < 0 {
			break
		}
		if i += next; text[i] == '"' {
			return i + 1
		}
		i += 2
	}
	return len(text)
}

// Unmarshal decodes a text like json.Unmarshal. It returns ErrTooLarge, and decodes nothing, if the value may take more than limit
// bytes.
func Unmarshal(text []byte, limit int64, v any) error {
	if n := DecodedBytes(text); n > limit {
		return fmt.Errorf("%w: up to %d bytes, %d are allowed", ErrTooLarge, n, limit)
	}
	return json.Unmarshal(text, v)
}
