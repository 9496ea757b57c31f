package stream

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// TestAssemblerAcceptsOnlyCompleteAnswers guards against an accepted answer in which frames are missing, repeated,
// reordered, changed or taken from another attempt.
func TestAssemblerAcceptsOnlyCompleteAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := wire.AttemptID{Request: "r", Number: 1}
		texts := rapid.SliceOfN(rapid.StringN(0, 4, 8), 0, 6).Draw(t, "texts")
		var frames []wire.Frame
		for i, text := range texts {
			frames = append(frames, wire.Frame{ID: id, Seq: i, Kind: wire.FrameText, Text: text})
		}
		all := strings.Join(texts, "")
		frames = append(frames, wire.Frame{ID: id, Seq: len(texts), Kind: wire.FrameEnd, Frames: len(texts), TextHash: Hash(all)})
		i := rapid.IntRange(0, len(frames)-1).Draw(t, "at")
		fault := rapid.SampledFrom([]string{"none", "drop", "repeat", "swap", "foreign", "number", "text", "count", "hash", "kind", "refuse"}).Draw(t, "fault")
		complete := fault == "none"
		switch fault {
		case "drop":
			frames = append(frames[:i:i], frames[i+1:]...)
		case "repeat":
			frames = append(frames[:i+1:i+1], frames[i:]...)
			complete = i == len(texts) // a repeated end frame is not read
		case "swap":
			j := (i + 1) % len(frames)
			frames[i], frames[j] = frames[j], frames[i]
			complete = i == j
		case "foreign":
			frames[i].ID.Request = "s"
		case "number":
			frames[i].ID.Number = 2
		case "text":
			frames[i].Text += "x"
			complete = i == len(texts) // the last frame has no text of its own
		case "count":
			frames[len(texts)].Frames++
		case "hash":
			frames[len(texts)].TextHash = Hash(all + "x")
		case "kind":
			frames[i].Kind = "other"
		case "refuse":
			frames[len(texts)].Kind = wire.FrameRefused
			complete = len(texts) == 0
		}
		a := NewAssembler(id)
		var err error
		ended := false
		for _, f := range frames {
			if err = a.Add(f); err != nil || f.Kind != wire.FrameText {
				ended = err == nil
				break
			}
		}
		if ended != complete {
			t.Fatalf("fault %s at %d of %d: accepted %v, error %v", fault, i, len(frames), ended, err)
		}
		if complete && a.Text() != all {
			t.Fatalf("text %q, want %q", a.Text(), all)
		}
		if err != nil && !errors.Is(err, ErrIncomplete) && !errors.Is(err, ErrForeignFrame) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}
