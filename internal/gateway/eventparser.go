package gateway

import (
	"bytes"
	"errors"
)

const (
	// eventBufferBytes is the initial size of the buffer into which events are read.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
)

// byteOrderMark may stand at the start of a stream and is no part of its first line.
var byteOrderMark = []byte("\xef\xbb\xbf")

var errLongEvent = errors.New("stream: an event is too long")

// block is the part of an event stream up to the end of a blank line. It holds an event, or only comments and settings
// of the stream.
type block struct {
	raw     []byte // all bytes; valid until the next call of space
	isEvent bool   // has data or an id
	invalid bool   // has a line that is no field, such as the head of another answer
	id      string // empty if it has none
}

// eventParser divides an event stream into blocks, wherever its reads are split. Lines end with LF, CRLF or CR.
type eventParser struct {
	buf       []byte
	start     int // of the block that is being read; the bytes before it have been returned
	lineStart int
	scanned   int  // bytes of buf that have been examined
	loneCR    bool // a line has ended with CR alone, so that the stream does not use CRLF
	current   block
	inBlock   bool // the current block has a line that is no comment
	inLine    bool // the start of the present line has been taken
	begun     bool // the first line has been read
	dropMark  bool // the byte order mark is left out, since the stream is to follow another one
}

// space returns a part of the buffer into which the next bytes of the stream are read. Blocks returned before are no
// longer valid.
func (p *eventParser) space() ([]byte, error) {
	if p.start > 0 {
		p.buf = p.buf[:copy(p.buf, p.buf[p.start:])]
		p.lineStart -= p.start
		p.scanned -= p.start
		p.start = 0
	}
	if len(p.buf) == cap(p.buf) {
		if len(p.buf) >= maxEventBytes {
			return nil, errLongEvent
		}
		p.buf = append(make([]byte, 0, max(eventBufferBytes, 2*cap(p.buf))), p.buf...)
	}
	return p.buf[len(p.buf):cap(p.buf)], nil
}

// added tells the parser that n bytes were read into the space.
func (p *eventParser) added(n int) { p.buf = p.buf[:len(p.buf)+n] }

// next returns the next complete block.
func (p *eventParser) next() (block, bool) {
	for {
		line, end, ok := p.nextLine()
		if !ok {
			return block{}, false
		}
		p.lineStart, p.scanned = end, end
		if !p.begun {
			line = p.readMark(line)
		}
		if p.inLine {
			p.inLine = false
			continue
		}
		if len(line) > 0 {
			p.readField(line)
			continue
		}
		done := p.current
		done.raw = p.buf[p.start:end]
		p.current, p.inBlock, p.start = block{}, false, end
		return done, true
	}
}

// readMark returns the first line of the stream without a byte order mark.
func (p *eventParser) readMark(line []byte) []byte {
	p.begun = true
	rest, found := bytes.CutPrefix(line, byteOrderMark)
	if found && p.dropMark {
		p.start = len(byteOrderMark)
	}
	return rest
}

// takeStart returns the bytes of the present block that have been examined, so that the block may exceed the buffer. The rest
// of the block follows with next.
func (p *eventParser) takeStart() []byte {
	if line := p.buf[p.lineStart:p.scanned]; len(line) > 0 && !p.inLine {
		p.readField(line)
		p.inLine = true
	}
	taken := p.buf[p.start:p.scanned]
	p.start, p.lineStart = p.scanned, p.scanned
	return taken
}

// nextLine returns the next complete line without its end, and the position after it.
func (p *eventParser) nextLine() (line []byte, end int, ok bool) {
	i := bytes.IndexAny(p.buf[p.scanned:], "\r\n")
	if i < 0 {
		p.scanned = len(p.buf)
		return nil, 0, false
	}
	i += p.scanned
	line = p.buf[p.lineStart:i]
	switch {
	case p.buf[i] == '\n':
		return line, i + 1, true
	case i+1 < len(p.buf) && p.buf[i+1] == '\n':
		return line, i + 2, true
	case i+1 < len(p.buf):
		p.loneCR = true
		return line, i + 1, true
	case p.loneCR && len(line) == 0 && !p.inLine:
		return line, i + 1, true // waiting for a LF would delay the event until the next one
	}
	p.scanned = i // the next byte tells whether this is half of CRLF
	return nil, 0, false
}

// readField evaluates a line of a block that is not blank.
func (p *eventParser) readField(line []byte) {
	name, value, colon := bytes.Cut(line, []byte(":"))
	p.inBlock = p.inBlock || len(name) > 0
	switch string(name) {
	case "id":
		p.current.isEvent = true
		p.current.id = string(bytes.TrimPrefix(value, []byte(" ")))
	case "data":
		p.current.isEvent = true
	default:
		p.current.invalid = p.current.invalid || !colon && !knownField(name)
	}
}

// knownField reports whether the name is that of a field that may stand without a colon.
func knownField(name []byte) bool {
	return string(name) == "event" || string(name) == "retry"
}

// rest returns the bytes after the last complete block, and whether they may belong to an event.
func (p *eventParser) rest() (raw []byte, inEvent bool) {
	line := bytes.TrimSuffix(p.buf[p.lineStart:], []byte("\r")) // which may be half of CRLF
	if !p.begun {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	comment := len(line) == 0 || line[0] == ':'
	return p.buf[p.start:], p.inBlock || p.inLine || !comment
}
