package target

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Framing is how an answer states where its body ends.
type Framing string

// Framings of answers.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // not at all: the body ends with the connection
)

// Way is how an answer breaks off.
type Way string

// Ways in which an answer breaks off.
const (
	ByClose   Way = "close"   // the connection is closed in order
	ByReset   Way = "reset"   // the connection is reset
	BySilence Way = "silence" // nothing more is sent until the other side closes the connection
)

// Break is the place and the way of the break of an answer. Unless it is in the head, it follows a number of whole parts
// of the body and a number of bytes of the next part.
type Break struct {
	InHead bool
	Parts  int
	Bytes  int
	Way    Way
	// Before is called when all bytes before the break have been sent. It may be nil.
	Before func()
}

// Reply is an answer whose framing and end are chosen by the test. It carries the id of its request and a signature.
type Reply struct {
	Status  int
	Header  string // further lines of the head, each with its end
	Framing Framing
	Parts   []string // of the body; with chunks, each part is one
	// Unsent is the number of bytes that the stated length has beyond the parts.
	Unsent int
	Break  *Break // nil for a complete answer
}

// Send is the Behaviour that sends the answer.
func (r Reply) Send(c net.Conn, a Arrival) bool {
	head := responseHead(r.Status, a.Header.Get(HeaderID), r.Header, r.framingHeader(), "\r\n")
	if r.Break == nil {
		_, err := io.WriteString(c, head+r.encode(r.Parts)+r.lastChunk())
		return err == nil && r.Framing != FramedByConnection
	}
	_, _ = io.WriteString(c, r.untilBreak(head)) // an error means that the other side has left, which ends the answer too
	if r.Break.Before != nil {
		r.Break.Before()
	}
	switch r.Break.Way {
	case ByReset:
		_ = c.(*net.TCPConn).SetLinger(0)
	case BySilence:
		_, _ = io.Copy(io.Discard, c)
	}
	return false
}

// untilBreak returns the bytes of the answer before the break.
func (r Reply) untilBreak(head string) string {
	b := r.Break
	if b.InHead {
		return head[:len(head)/2]
	}
	sent := head + r.encode(r.Parts[:b.Parts])
	if b.Bytes == 0 {
		return sent
	}
	next := r.Parts[b.Parts]
	if r.Framing == FramedByChunks {
		sent += fmt.Sprintf("%x\r\n", len(next))
	}
	return sent + next[:b.Bytes]
}

func (r Reply) framingHeader() string {
	switch r.Framing {
	case FramedByLength:
		return fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(r.Parts, ""))+r.Unsent)
	case FramedByChunks:
		return "Transfer-Encoding: chunked\r\n"
	}
	return ""
}

// encode returns whole parts of the body as they are sent.
func (r Reply) encode(parts []string) string {
	if r.Framing != FramedByChunks {
		return strings.Join(parts, "")
	}
	encoded := ""
	for _, p := range parts {
		encoded += encodeChunk(p)
	}
	return encoded
}

func (r Reply) lastChunk() string {
	if r.Framing == FramedByChunks {
		return "0\r\n\r\n"
	}
	return ""
}
