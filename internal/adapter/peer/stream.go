package peer

import (
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes bounds one message. The largest message is a reply with 160 KB of configuration sections, which
	// JSON escapes can make six times as long.
	maxMessageBytes = 1 << 20
	// writeTimeout bounds each write, so that a peer that does not read cannot block the writer for ever.
	writeTimeout = 10 * time.Second
	// firstMessageTimeout bounds the wait for the first message of an accepted connection. The process that connected
	// sends it at once. Later waits are longer, since the same deadline must not end a connection with a long call.
	firstMessageTimeout = 10 * time.Second
)

var errTooLarge = errors.New("peer: message too large")

// newStream returns an object stream that fails on a message above maxMessageBytes, since the library's plain stream
// has no limit. Reading fails if no message arrives for the duration idle; 0 means no limit.
func newStream(c net.Conn, idle time.Duration) jsonrpc2.ObjectStream {
	b := &boundedConn{Conn: c, messageBytesLeft: maxMessageBytes}
	return &boundedStream{ObjectStream: jsonrpc2.NewPlainObjectStream(b), conn: b, idleTimeout: idle}
}

// boundedStream is an object stream that bounds the size of each message and the wait for it.
type boundedStream struct {
	jsonrpc2.ObjectStream
	conn        *boundedConn
	idleTimeout time.Duration
	readStarted bool // ReadObject was called before
}

// ReadObject reads one message. Bytes that the decoder read ahead with the previous message are not counted, so a
// message may exceed maxMessageBytes by the size of the decoder's buffer.
func (s *boundedStream) ReadObject(v any) error {
	s.conn.messageBytesLeft = maxMessageBytes
	if s.idleTimeout > 0 {
		timeout := s.idleTimeout
		if !s.readStarted {
			timeout = min(timeout, firstMessageTimeout)
		}
		if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
	}
	s.readStarted = true
	return s.ObjectStream.ReadObject(v)
}

// boundedConn is a connection with a limit on the bytes read for the current message and a timeout for each write. Only
// the reading goroutine uses messageBytesLeft.
type boundedConn struct {
	net.Conn
	messageBytesLeft int
}

func (c *boundedConn) Read(p []byte) (int, error) {
	if c.messageBytesLeft <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.messageBytesLeft)])
	c.messageBytesLeft -= n
	return n, err
}

func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
