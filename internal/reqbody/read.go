// Package reqbody reads the bodies of HTTP messages within the memory that the process has for them.
package reqbody

import (
	"errors"
	"io"

	"github.com/camphorbank/camphorbank/internal/membudget"
)

const (
	// firstBodyBytes is the size of the first buffer for a body whose length is not stated. It doubles when it is full.
	firstBodyBytes = 4 << 10
	// statedBodyBytes is the size of the first buffer for a body whose length is stated. The whole body gets memory when that
	// is full, so that a stated length alone takes no memory from other requests.
	statedBodyBytes = 64 << 10
)

// ErrNoMemory is the error of reading more than the process has memory for at present.
var ErrNoMemory = errors.New("no memory for the request")

// Read reads a body to its end, or its first limit bytes. The length is -1 if it is not known. It takes the
// memory that the body needs from the lease before it is allocated. What was read is also returned with an error.
func Read(from io.Reader, length, limit int64, memory *membudget.Lease) (body []byte, _ error) {
	for {
		if len(body) == cap(body) {
			size := int(min(nextBufferBytes(int64(cap(body)), length), limit))
			if size == cap(body) {
				return body, nil
			}
			if !memory.Grow(int64(size - cap(body))) {
				return body, ErrNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			if int64(len(body)) < length {
				return body, io.ErrUnexpectedEOF
			}
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// nextBufferBytes returns the size of the buffer that follows a full one of a size.
func nextBufferBytes(size, length int64) int64 {
	switch {
	case length < 0:
		return max(firstBodyBytes, 2*size)
	case size == 0:
		return min(length, statedBodyBytes)
	}
	return length
}
