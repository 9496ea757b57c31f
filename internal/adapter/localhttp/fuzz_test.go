package localhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/stream"
	"github.com/camphorbank/camphorbank/internal/wire"
)

var sentID = wire.AttemptID{Request: "r", Number: 1}

// accept reads the frames of an answer as an entry does, and returns its text, the kind of its last frame, and an error
// if the answer is not accepted.
func accept(body io.Reader) (string, wire.FrameKind, error) {
	a := stream.NewAssembler(sentID)
	var last wire.FrameKind
	err := readFrames(body, func(f wire.Frame) error {
		last = f.Kind
		return a.Add(f)
	})
	return a.Text(), last, err
}

// sentFrames returns the frames of a complete answer and its text.
func sentFrames() (frames, text string) {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	words := []string{"Käse ", "aus\n", "", "Zürich"}
	for i, w := range words {
		_ = enc.Encode(wire.Frame{ID: sentID, Seq: i, Kind: wire.FrameText, Text: w, Load: &wire.Load{Incarnation: "i"}})
	}
	text = strings.Join(words, "")
	_ = enc.Encode(wire.Frame{ID: sentID, Seq: len(words), Kind: wire.FrameEnd, Frames: len(words), Tokens: 4, TextHash: stream.Hash(text)})
	return b.String(), text
}

// FuzzAlteredFrames guards against accepting an answer in which a byte was changed, or a part is missing or duplicated.
func FuzzAlteredFrames(f *testing.F) {
	frames, text := sentFrames()
	if got, kind, err := accept(strings.NewReader(frames)); err != nil || got != text || kind != wire.FrameEnd {
		f.Fatalf("unaltered answer: got %q, last frame %s, error %v", got, kind, err)
	}
	for i := 0; i < len(frames); i += 5 {
		f.Add(uint(i), byte('0'+i%10), uint(len(frames)), uint(len(frames)))
		f.Add(uint(0), byte('{'), uint(i), uint(i/2))
	}
	f.Fuzz(func(t *testing.T, changeAt uint, b byte, cutAt, resumeAt uint) {
		changed := []byte(frames)
		changed[changeAt%uint(len(changed))] = b
		cutAt %= uint(len(changed)) + 1
		changed = append(changed[:cutAt:cutAt], changed[min(resumeAt, cutAt):]...)
		got, kind, err := accept(bytes.NewReader(changed))
		if err == nil && kind == wire.FrameEnd && got != text {
			t.Errorf("accepted %q, sent %q", got, text)
		}
	})
}

// countingReader counts the bytes that are read from an answer.
type countingReader struct {
	io.Reader
	bytesRead int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytesRead += n
	return n, err
}

// fillReader is an endless body that consists of one repeated byte.
type fillReader byte

func (f fillReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(f)
	}
	return len(p), nil
}

// FuzzFrames guards against a panic, against accepting an incomplete answer, and against an endless frame that uses up
// the memory.
func FuzzFrames(f *testing.F) {
	frames, _ := sentFrames()
	for _, s := range []string{frames, "", "null", "{}", "[]", `{"id":{}}`, `{"kind":"text","seq":-1}`, `{"seq":1e99}`, `{"kind":"end","id":{"request":"r","number":1}}`,
		`{"id":{"request":"r","number":1},"kind":"refused","seq":0}`, `{"id":{"request":"r","number":1},"kind":"odd"}`, strings.Repeat("[", 20_000), `{"text":"`} {
		f.Add([]byte(s), false, byte(0))
	}
	f.Add([]byte(`{"text":"`), true, byte('x'))
	f.Add([]byte(frames[:60]), true, byte(' '))
	f.Add([]byte(``), true, byte('['))
	f.Fuzz(func(t *testing.T, data []byte, endless bool, b byte) {
		c := &countingReader{Reader: bytes.NewReader(data)}
		if endless {
			c.Reader = io.MultiReader(c.Reader, fillReader(b))
		}
		text, kind, err := accept(c)
		if err == nil && kind == wire.FrameEnd && !bytes.Contains(data, []byte(stream.Hash(text))) {
			t.Errorf("accepted %q although its hash is not in the answer", text)
		}
		if err == nil && (kind == wire.FrameText || kind == "") {
			t.Errorf("accepted an answer that ends with a frame of kind %q", kind)
		}
		// The limit restarts with each complete frame, which has at least two bytes.
		if endless && c.bytesRead > len(data)+2*maxFrameBytes {
			t.Errorf("read %d bytes of an endless answer, error %v", c.bytesRead, err)
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Error("an early end of the connection is reported as the end of the answer")
		}
	})
}
