package callerclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/iotest"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/internal/stream"
)

type fakeDoer func() *http.Response

func (d fakeDoer) Do(*http.Request) (*http.Response, error) { return d(), nil }

// receive reads a stream with the real client and returns the text of the answer, or an error if the answer is not
// accepted.
func receive(body io.Reader) (string, error) {
	c := New(&url.URL{Scheme: "http", Host: "127.0.0.1:1"}, fakeDoer(func() *http.Response {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(body)}
	}))
	res, err := c.DraftStream()(context.Background(), &api.DraftStreamPayload{Model: "m", Prompt: "p", MaxTokens: 1})
	if err != nil {
		return "", err
	}
	events := res.(client.DraftStreamClientStream)
	defer events.Close()
	var answer AnswerChecker
	text := ""
	for {
		e, err := events.Recv(context.Background())
		if err != nil || e == nil {
			return "", errors.Join(err, ErrIncomplete)
		}
		if err := answer.Add(e); err != nil {
			return "", err
		}
		switch e.Kind {
		case EventText:
			text += *e.Text
		case EventRestart:
			text = ""
		case EventError:
			return "", errors.New(*e.Reason)
		case EventEnd:
			return text, nil
		}
	}
}

// sentStream returns the events of a complete answer with a restart, and its text.
func sentStream() (events, text string) {
	text = "Käse "
	add := func(seq int, kind, attributes string) {
		events += fmt.Sprintf("data: {\"kind\":%q,\"request_id\":\"r1\",\"seq\":%d%s}\n\n", kind, seq, attributes)
	}
	add(0, EventText, `,"text":"lost"`)
	add(0, EventRestart, "")
	add(0, EventText, `,"text":"Käse "`)
	for i, word := range []string{"aus\\n\\n", "Zürich", ""} {
		add(i+1, EventText, `,"text":"`+word+`"`)
		text += strings.ReplaceAll(word, "\\n", "\n")
	}
	add(4, EventEnd, fmt.Sprintf(`,"tokens":4,"outcome":"completed","text_hash":%q`, stream.Hash(text)))
	return events, text
}

// FuzzAlteredStream guards against accepting an answer in which a byte was changed, or a part is missing or duplicated.
func FuzzAlteredStream(f *testing.F) {
	events, text := sentStream()
	if got, err := receive(strings.NewReader(events)); err != nil || got != text {
		f.Fatalf("unaltered answer: got %q, error %v", got, err)
	}
	for i := 0; i < len(events); i += 7 {
		f.Add(uint(i), byte('0'+i%10), uint(len(events)-1), uint(0))
		f.Add(uint(0), byte('d'), uint(i), uint(i/3))
	}
	f.Add(uint(len(events)-2), byte('x'), uint(len(events)), uint(0))
	f.Fuzz(func(t *testing.T, changeAt uint, b byte, cutAt, resumeAt uint) {
		changed := []byte(events)
		changed[changeAt%uint(len(changed))] = b
		cutAt %= uint(len(changed)) + 1
		changed = append(changed[:cutAt:cutAt], changed[min(resumeAt, cutAt):]...)
		if got, err := receive(bytes.NewReader(changed)); err == nil && got != text {
			t.Errorf("accepted %q, sent %q", got, text)
		}
	})
}

// FuzzEventStream guards against a panic, and against accepting an answer whose hash is not in the stream, for
// arbitrary bytes in reads of any size.
func FuzzEventStream(f *testing.F) {
	events, _ := sentStream()
	for _, s := range []string{events, "", "\n\n", ":comment\n\n" + events, "data: null\n\n", "data: {}\n\n", "data:[]\n\n", "data: {\"kind\":\"end\"}\n\n",
		"data: {\"kind\":\"text\",\"request_id\":\"r\"}\n\n", "data: {\"kind\":\"error\",\"request_id\":\"r\"}\n\n", "data: {\"seq\":1e99}\n\n", strings.Repeat("[", 5000)} {
		f.Add([]byte(s), false)
		f.Add([]byte(s), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, oneByteReads bool) {
		var body io.Reader = bytes.NewReader(data)
		if oneByteReads {
			body = iotest.OneByteReader(body)
		}
		text, err := receive(body)
		if err == nil && !bytes.Contains(data, []byte(stream.Hash(text))) {
			t.Errorf("accepted %q although its hash is not in the stream", text)
		}
	})
}

// endlessBody is a body that never ends and has no end of an event.
type endlessBody struct{ bytesRead int }

func (e *endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.bytesRead += len(p)
	return len(p), nil
}

// TestEventsAreBounded guards against an endless event that uses up the memory, and against a limit that applies to the
// whole answer instead of each event.
func TestEventsAreBounded(t *testing.T) {
	body := &endlessBody{}
	if _, err := receive(io.MultiReader(strings.NewReader("data: "), body)); !errors.Is(err, errEventTooLarge) || body.bytesRead > maxEventBytes+8192 {
		t.Errorf("read %d bytes, error %v", body.bytesRead, err)
	}
	var long strings.Builder
	piece, whole := strings.Repeat("y", 1<<20), ""
	for i := range 9 {
		fmt.Fprintf(&long, "data: {\"kind\":\"text\",\"request_id\":\"r\",\"seq\":%d,\"text\":%q}\n\n", i, piece)
		whole += piece
	}
	fmt.Fprintf(&long, "data: {\"kind\":\"end\",\"request_id\":\"r\",\"seq\":9,\"tokens\":9,\"outcome\":\"completed\",\"text_hash\":%q}\n\n", stream.Hash(whole))
	if got, err := receive(strings.NewReader(long.String())); err != nil || got != whole {
		t.Errorf("received %d of %d bytes, error %v", len(got), len(whole), err)
	}
}
