package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxChunkSizeDigits is enough for any size that fits in 64 bits.
	maxChunkSizeDigits = 16
	// maxChunkExtensionBytes bounds the extensions of chunks beyond twice the data, and maxTrailerBytes the trailers, since
	// a faulty target may send them without end.
	maxChunkExtensionBytes = 16 << 10
	maxTrailerBytes        = 4 << 10
)

var errMalformedChunk = errors.New("malformed chunked encoding")

// chunkReader decodes a body in chunks. A Read that has bytes to return never waits for more, unlike that of net/http,
// which waits for the rest of a chunk although it has decoded the chunks before it. Events that have arrived would be held
// back until the target sends more.
type chunkReader struct {
	from       *bufio.Reader
	left       uint64 // bytes of the present chunk that have not been read
	inBody     bool   // the first chunk has begun, so that the end of a chunk comes before the next one
	last       bool   // the last chunk has begun; only trailers follow
	received   int64  // bytes of data
	extensions int64  // bytes of extensions
	err        error  // of the next Read; io.EOF after the trailers
}

// Read returns io.EOF at the end of the body and io.ErrUnexpectedEOF if the connection is closed before it.
func (r *chunkReader) Read(p []byte) (n int, _ error) {
	for n < len(p) && r.err == nil {
		if n > 0 && r.mayWait() {
			break
		}
		switch {
		case r.last:
			r.err = r.skipTrailers()
		case r.left == 0:
			r.err = r.beginChunk()
		default:
			rest := p[n:]
			rest = rest[:min(uint64(len(rest)), r.left)]
			var m int
			m, r.err = r.from.Read(rest)
			n += m
			r.left -= uint64(m)
			r.received += int64(m)
		}
		if r.err == io.EOF && !r.last {
			r.err = io.ErrUnexpectedEOF
		}
	}
	if n > 0 {
		return n, nil
	}
	return 0, r.err
}

// mayWait reports whether the next step of Read may wait for bytes that have not arrived.
func (r *chunkReader) mayWait() bool {
	if r.last {
		return true
	}
	buffered, _ := r.from.Peek(r.from.Buffered())
	if r.left > 0 {
		return len(buffered) == 0
	}
	return len(buffered) < 2 || bytes.IndexByte(buffered[2:], '\n') < 0 // the end of the chunk and the next one's size
}

// beginChunk reads the end of the chunk before, if there is one, and the size of the next chunk.
func (r *chunkReader) beginChunk() error {
	if r.inBody {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformedChunk
		}
	}
	line, err := r.readLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	r.extensions += int64(len(line) - len(digits))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if err != nil || len(digits) > maxChunkSizeDigits || r.extensions > maxChunkExtensionBytes+2*r.received {
		return errMalformedChunk
	}
	r.left, r.inBody, r.last = size, true, size == 0
	return nil
}

// skipTrailers reads the trailers, which are not passed on, and the blank line that ends the body. It returns io.EOF if the
// body is complete.
func (r *chunkReader) skipTrailers() error {
	for bytesRead := 0; bytesRead < maxTrailerBytes; {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if !bytes.Contains(line, []byte(":")) {
			return errMalformedChunk
		}
		bytesRead += len(line)
	}
	return errMalformedChunk
}

// readLine returns the next line without the CRLF at its end. It is valid until the next read.
func (r *chunkReader) readLine() ([]byte, error) {
	line, err := r.from.ReadSlice('\n')
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errMalformedChunk
	case err != nil:
		return nil, err
	}
	line, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found || bytes.IndexByte(line, '\r') >= 0 {
		return nil, errMalformedChunk
	}
	return line, nil
}
