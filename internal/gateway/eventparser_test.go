package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// parsedStream is what a parser returns for a stream.
type parsedStream struct {
	blocks  []parsedBlock
	rest    string
	inEvent bool
}

type parsedBlock struct {
	raw     string
	isEvent bool
	invalid bool
	id      string
}

// String quotes the bytes, so that line endings can be told apart.
func (b parsedBlock) String() string {
	return fmt.Sprintf("{%q event %v invalid %v id %q}", b.raw, b.isEvent, b.invalid, b.id)
}

func (s parsedStream) String() string {
	return fmt.Sprintf("%v rest %q in event %v", s.blocks, s.rest, s.inEvent)
}

// parseInReads runs an eventParser over the data in reads of the sizes, and then in reads as large as the parser accepts.
// It returns false if an event exceeds the bound.
func parseInReads(data []byte, sizes []byte) (parsedStream, bool) {
	var p eventParser
	var s parsedStream
	for len(data) > 0 {
		space, err := p.space()
		if errors.Is(err, errLongEvent) {
			return s, false
		}
		if len(sizes) > 0 {
			space = space[:min(len(space), 1+int(sizes[0]))]
			sizes = sizes[1:]
		}
		n := copy(space, data)
		data = data[n:]
		p.added(n)
		for b, ok := p.next(); ok; b, ok = p.next() {
			s.blocks = append(s.blocks, parsedBlock{string(b.raw), b.isEvent, b.invalid, b.id})
		}
	}
	rest, inEvent := p.rest()
	s.rest, s.inEvent = string(rest), inEvent
	return s, true
}

// joined returns the bytes of all blocks and the rest.
func (s parsedStream) joined() string {
	all := ""
	for _, b := range s.blocks {
		all += b.raw
	}
	return all + s.rest
}

// withoutLoneLF returns the stream with each block that is only a LF joined to the block before it if that ends with CR.
// The two are one line ending, but the parser does not wait for the second half where streams use CR alone.
func (s parsedStream) withoutLoneLF() parsedStream {
	out := parsedStream{rest: s.rest, inEvent: s.inEvent}
	for _, b := range s.blocks {
		last := len(out.blocks) - 1
		if b.raw == "\n" && last >= 0 && strings.HasSuffix(out.blocks[last].raw, "\r") {
			out.blocks[last].raw += "\n"
			continue
		}
		out.blocks = append(out.blocks, b)
	}
	return out
}

// streamLine is a line of a stream and the bytes that end it. The last line may have no end.
type streamLine struct{ text, end string }

// splitLines divides a stream into lines as the format of server-sent events states it.
func splitLines(data string) (lines []streamLine) {
	for data != "" {
		i := strings.IndexAny(data, "\r\n")
		if i < 0 {
			return append(lines, streamLine{text: data})
		}
		end := data[i : i+1]
		if strings.HasPrefix(data[i:], "\r\n") {
			end = "\r\n"
		}
		lines = append(lines, streamLine{data[:i], end})
		data = data[i+len(end):]
	}
	return lines
}

// referenceParse divides a stream into blocks. A CR at the end of the stream may be half of CRLF, unless a line before it
// has ended with CR alone and it ends a blank line; it then does not complete its block.
func referenceParse(data string) (s parsedStream) {
	var current parsedBlock
	loneCR, inBlock := false, false
	lines := splitLines(data)
	for i, l := range lines {
		if i == 0 {
			l.text = strings.TrimPrefix(l.text, "\ufeff")
			current.raw = data[:len(lines[0].text)-len(l.text)]
		}
		last := i == len(lines)-1
		half := last && l.end == "\r" && (l.text != "" || !loneCR)
		loneCR = loneCR || l.end == "\r"
		current.raw += l.text + l.end
		if half || l.end == "" {
			s.inEvent = l.text != "" && l.text[0] != ':'
			break
		}
		if l.text == "" {
			s.blocks = append(s.blocks, current)
			current, inBlock = parsedBlock{}, false
			continue
		}
		name, value, colon := strings.Cut(l.text, ":")
		inBlock = inBlock || name != ""
		if name == "id" {
			current.id = strings.TrimPrefix(value, " ")
		}
		current.isEvent = current.isEvent || name == "id" || name == "data"
		current.invalid = current.invalid || !colon && !slices.Contains([]string{"id", "data", "event", "retry"}, name)
	}
	s.rest, s.inEvent = current.raw, s.inEvent || inBlock
	return s
}

// FuzzEventParser guards against events that are joined, lost or passed on by halves, depending on how a stream ends its
// lines and on how its reads are split.
func FuzzEventParser(f *testing.F) {
	events := []string{
		"", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", "id: 1\ndata: a\n\n: comment\n\nid: 2\nda",
		"id: 1\n\n\n\ndata\n\n", "retry: 5\n\n: c\n", "data: a\n\n:", "id:1\nid\nevent: e\n\nid\n", ": c\n\n\n", "\n\nid: 3\ndata: x\n\n",
		"event: e\n", "retry: 5\n: c\n", "id: 1\nno field\n\n",
		"data: " + strings.Repeat("x", 2*eventBufferBytes) + "\n\nid: 2\ndata: b\n\n", "\ufeffid: 1\ndata: a\n\n", "\ufeff\n\ufeff\n", "\ufeff",
	}
	for _, e := range events {
		for _, end := range []string{"\n", "\r", "\r\n"} {
			data := []byte(strings.ReplaceAll(e, "\n", end))
			f.Add(data, []byte{})
			f.Add(data, bytes.Repeat([]byte{0}, min(len(data), 100)))
			f.Add(data, []byte{6, 0, 8, 1, 2, 0, 0, 3})
		}
	}
	for _, mixed := range []string{
		"id: 1\rdata: a\n\r\nid: 2\r\ndata: b\r\r", "data: a\r\r\ndata: b\r\r\n", "data: a\n\r", "data: a\r\n\r", ": c\n\r", "data: a\r",
		"data: a\n\ndata: b\r\n\n\r\r\n", "data: a\r\n\n\r", "a\r\r\n\n\r\n\r",
	} {
		f.Add([]byte(mixed), []byte{})
		f.Add([]byte(mixed), bytes.Repeat([]byte{0}, len(mixed)))
	}
	f.Fuzz(func(t *testing.T, data, sizes []byte) {
		split, ok := parseInReads(data, sizes)
		whole, wholeOK := parseInReads(data, nil)
		if !ok || !wholeOK {
			return // the stream is broken off at an event that exceeds the bound
		}
		if split.joined() != string(data) {
			t.Errorf("the blocks and the rest are %q, the stream is %q", split.joined(), data)
		}
		want := referenceParse(string(data))
		if got := split.withoutLoneLF(); !reflect.DeepEqual(got, want) {
			t.Errorf("%q in reads %v:\n got %v\nwant %v", data, sizes, got, want)
		}
		if got := whole.withoutLoneLF(); !reflect.DeepEqual(got, want) {
			t.Errorf("%q in one read:\n got %v\nwant %v", data, got, want)
		}
	})
}
