package httpclient

import (
	"errors"
	"fmt"
	"io"
)

// ErrReplyTooLong is the error of a reply that reaches the limit of its reader.
var ErrReplyTooLong = errors.New("reply is too long")

// ReadReply reads a whole reply of less than limit bytes. Bytes of a faulty server that only begin like a reply say nothing about the
// request, so that an error leaves its outcome open.
func ReadReply(body io.Reader, limit int64) ([]byte, error) {
	reply, err := io.ReadAll(io.LimitReader(body, limit))
	switch {
	case err != nil:
		return nil, fmt.Errorf("reply is incomplete: %w", err)
	case int64(len(reply)) == limit:
		return nil, ErrReplyTooLong
	}
	return reply, nil
}
