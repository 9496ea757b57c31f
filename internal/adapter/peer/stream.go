package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/jsonsize"
	"github.com/camphorbank/camphorbank/internal/membudget"
)

const (
	// maxMessageBytes bounds one message. The largest message is a reply with 160 KB of configuration sections, which
	// JSON escapes can make six times as long.
	maxMessageBytes = 1 << 20
	// maxDecodedBytes bounds the memory that a message takes when it is decoded. The largest list of numbers takes less.
	maxDecodedBytes = 16 * maxMessageBytes
	// writeTimeout bounds each write, so that a peer that does not read cannot block the writer for ever.
	writeTimeout = 10 * time.Second
	// firstMessageTimeout bounds the wait for the first message of an accepted connection. The process that connected
	// sends it at once. Later waits are longer, since the same deadline must not end a connection with a long call.
	firstMessageTimeout = 10 * time.Second
)

// maxKeptBufferBytes is the size of a message above which its buffer is not kept for the next one.
const maxKeptBufferBytes = 64 << 10

// receivingFactor is the memory that a message needs while it is received, as a multiple of its size: the buffer of the decoder,
// which doubles when it is full, and the message itself.
const receivingFactor = 3

var (
	errTooLarge = errors.New("peer: message too large")
	errNoMemory = errors.New("peer: no memory for the message")
)

// newStream returns an object stream that fails on a message above maxMessageBytes or maxDecodedBytes, since the library's plain
// stream has no limit. Reading fails if no message arrives for the duration idle; 0 means no limit.
func newStream(c net.Conn, idle time.Duration) *boundedStream {
	b := &boundedConn{Conn: c, messageBytesLeft: maxMessageBytes}
	return &boundedStream{conn: b, decoder: json.NewDecoder(b), encoder: json.NewEncoder(b), idleTimeout: idle}
}

// boundedStream is an object stream that bounds the size of each message and the wait for it.
type boundedStream struct {
	conn        *boundedConn
	decoder     *json.Decoder
	idleTimeout time.Duration
	readStarted bool // ReadObject was called before

	mu      sync.Mutex
	encoder *json.Encoder
}

// WriteObject writes one message.
func (s *boundedStream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encoder.Encode(v)
}

// limit makes the stream take the memory for its messages from a lease, and record its use of the connection in a slot.
func (s *boundedStream) limit(slot *connlimit.Slot, memory *membudget.Lease) {
	s.conn.slot, s.conn.memory = slot, memory
}

// Close closes the connection.
func (s *boundedStream) Close() error {
	s.conn.slot.Free()
	err := s.conn.Close()
	s.conn.memory.Release()
	return err
}

// ReadObject reads one message. Bytes that the decoder read ahead with the previous message are not counted, so a
// message may exceed maxMessageBytes by the size of the decoder's buffer.
func (s *boundedStream) ReadObject(v any) error {
	s.conn.beginMessage()
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
	err := s.decoder.Decode(v)
	if maxMessageBytes-s.conn.messageBytesLeft > maxKeptBufferBytes {
		s.dropBuffer()
	}
	s.conn.memory.Release()
	return err
}

// dropBuffer replaces the decoder, which keeps a buffer of the size of the largest message.
func (s *boundedStream) dropBuffer() {
	ahead, _ := io.ReadAll(io.LimitReader(s.decoder.Buffered(), maxMessageBytes)) // reading from memory does not fail
	s.decoder = json.NewDecoder(io.MultiReader(bytes.NewReader(ahead), s.conn))
}

// boundedConn is a connection with a limit on the bytes read for the current message and a timeout for each write. Only
// the reading goroutine uses messageBytesLeft.
type boundedConn struct {
	net.Conn
	messageBytesLeft int
	decoded          jsonsize.Meter // of the message that is being received
	slot             *connlimit.Slot
	memory           *membudget.Lease // of the message that is being received
}

// beginMessage makes the connection ready for the next message.
func (c *boundedConn) beginMessage() {
	if c.messageBytesLeft < maxMessageBytes {
		c.slot.Idle()
	}
	c.messageBytesLeft = maxMessageBytes
	c.decoded.Reset()
}

func (c *boundedConn) Read(p []byte) (int, error) {
	if c.messageBytesLeft <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.messageBytesLeft)])
	if n <= 0 {
		return n, err
	}
	if c.messageBytesLeft == maxMessageBytes {
		c.memory.Receive(func() { _ = c.Conn.Close() })
	}
	c.messageBytesLeft -= n
	c.slot.Received(n)
	c.memory.Received(n)
	if !c.memory.Grow(receivingFactor * int64(n)) {
		c.slot.NoMemory()
		return 0, errNoMemory
	}
	if c.decoded.Add(p[:n]) > maxDecodedBytes {
		return 0, errTooLarge
	}
	return n, err
}

func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
