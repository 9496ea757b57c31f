package httphead

import (
	"errors"
	"testing"
)

// TestLinesInAnySegmentation guards against a line end that is overlooked or misjudged because its bytes arrive in several reads,
// and against bytes of a body that are taken for lines of a head.
func TestLinesInAnySegmentation(t *testing.T) {
	const ok, early = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for answer, wantErr := range map[string]bool{
		ok + "a\nb\r\r\n\n":          false,
		early + ok + "\n":            false,
		"HTTP/1.1 200 100\r\n\r\n\n": false,
		ok + "data: a\r\n\r\n":       false,
		"HTTP/1.1 200 OK\r\nA: data:\r\nmydata: b\r\ndat: c\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nid: 1\r\ndata: a\r\n\r\n":                true,
		early + "data: a\n\n":                                        true,
		"HTTP/1.1 200 OK\r\nid: 1\ndata: a\n\n":                      true,
		"HTTP/1.1 200 OK\r\nA: b\r\n\n":                              true,
		"HTTP/1.1 200 OK\n\n":                                        true,
		"HTTP/1.1 200 OK\rA: b\r\n\r\n":                              true,
		"HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n":                          true,
	} {
		for cut := range len(answer) + 1 {
			var l Lines
			err := errors.Join(l.Check([]byte(answer[:cut])), l.Check([]byte(answer[cut:])))
			if (err != nil) != wantErr {
				t.Errorf("%q in two parts, %d bytes in the first: error %v, want one: %v", answer, cut, err, wantErr)
			}
		}
	}
}
