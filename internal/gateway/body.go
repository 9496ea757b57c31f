package gateway

import (
	"errors"
	"io"
)

// firstBodyBytes is the size of the buffer for a body whose length the caller does not state. It doubles when it is full.
const firstBodyBytes = 4 << 10

// errNoMemory is the error of a body for which the process has no memory now.
var errNoMemory = errors.New("no memory for the body of the request")

// readWithinMemory reads a body and takes the memory that it needs from the budget, before it is allocated.
func (x *exchange) readWithinMemory(from io.Reader) ([]byte, error) {
	if n := x.r.ContentLength; n > 0 {
		if !x.memory.Grow(n) {
			return nil, errNoMemory
		}
		body := make([]byte, n)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(firstBodyBytes, 2*cap(body))
			if !x.memory.Grow(int64(size - cap(body))) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
