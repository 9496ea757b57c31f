// Package stream checks that the frames that an entry receives for an attempt form one complete answer, with no frame
// lost, repeated, reordered or taken from another attempt.
package stream

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// ErrForeignFrame is returned for a frame of another attempt.
var ErrForeignFrame = errors.New("frame of another attempt")

// ErrIncomplete is returned if the frames do not form a complete answer.
var ErrIncomplete = errors.New("incomplete answer")

// maxTextFrames bounds the text frames of one answer. Each holds the text of a token at least, and the largest request asks for
// 100,000.
const maxTextFrames = 1 << 20

// Hash returns the xxhash64 of a text in hexadecimal, as an end frame carries it.
func Hash(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Assembler collects the frames of one attempt in order. It is not safe for concurrent use.
type Assembler struct {
	id         wire.AttemptID
	nextSeq    int
	textFrames int
	text       strings.Builder
	digest     *xxhash.Digest
}

// NewAssembler returns an assembler for the attempt.
func NewAssembler(id wire.AttemptID) *Assembler {
	return &Assembler{id: id, digest: xxhash.New()}
}

// Add adds the next frame. It fails if the frame belongs to another attempt, is out of order, is of an unknown kind, is
// a refused frame after text frames, is an end frame whose count or hash differs from the text frames received, or makes the
// answer longer than any may be.
func (a *Assembler) Add(f wire.Frame) error {
	if f.ID != a.id {
		return ErrForeignFrame
	}
	if f.Seq != a.nextSeq {
		return fmt.Errorf("%w: frame %d after %d frames", ErrIncomplete, f.Seq, a.nextSeq)
	}
	a.nextSeq++
	switch f.Kind {
	case wire.FrameText:
		if a.textFrames == maxTextFrames || a.text.Len()+len(f.Text) > wire.MaxAnswerBytes {
			return fmt.Errorf("%w: no end after %d text frames with %d bytes", ErrIncomplete, a.textFrames, a.text.Len())
		}
		a.textFrames++
		a.text.WriteString(f.Text)
		_, _ = a.digest.WriteString(f.Text)
	case wire.FrameRefused:
		if a.textFrames > 0 {
			return fmt.Errorf("%w: refused after %d text frames", ErrIncomplete, a.textFrames)
		}
	case wire.FrameEnd:
		return a.checkEnd(f)
	case wire.FrameFailed:
	default:
		return fmt.Errorf("%w: frame of unknown kind %q", ErrIncomplete, f.Kind)
	}
	return nil
}

func (a *Assembler) checkEnd(f wire.Frame) error {
	if f.Frames != a.textFrames {
		return fmt.Errorf("%w: %d text frames of %d", ErrIncomplete, a.textFrames, f.Frames)
	}
	if got := fmt.Sprintf("%016x", a.digest.Sum64()); got != f.TextHash {
		return fmt.Errorf("%w: text hash %s, expected %s", ErrIncomplete, got, f.TextHash)
	}
	return nil
}

// Next returns the sequence number of the next expected frame.
func (a *Assembler) Next() int { return a.nextSeq }

// TextFrames returns the number of text frames received so far.
func (a *Assembler) TextFrames() int { return a.textFrames }

// Text returns the text received so far.
func (a *Assembler) Text() string { return a.text.String() }
