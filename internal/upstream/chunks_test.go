package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// errWaits is the error of a connection on which no more bytes have arrived.
var errWaits = errors.New("waits for more bytes")

// arrived is a connection on which some bytes have arrived, and no more for now.
type arrived struct{ bytes io.Reader }

func (a arrived) Read(p []byte) (int, error) {
	n, err := a.bytes.Read(p)
	if err == io.EOF {
		err = errWaits
	}
	return n, err
}

// TestChunksDoNotWait guards against events that have arrived and are held back until the target sends the rest of a
// chunk after them. Each start of a body is read as far as possible without waiting.
func TestChunksDoNotWait(t *testing.T) {
	const body = "5\r\nab\r\nc\r\n1;x=y\r\nd\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n"
	decoded, at := "ab\r\ncd0123456789", []int{}
	for i := range body { // positions of the bytes of data
		if i >= 3 && i < 8 || i == 17 || i >= 23 && i < 33 {
			at = append(at, i)
		}
	}
	for n := range len(body) + 1 {
		want := 0
		for want < len(at) && at[want] < n {
			want++
		}
		connection := bufio.NewReader(arrived{strings.NewReader(body[:n])})
		if n > 0 {
			_, _ = connection.Peek(1) // fills the buffer
		}
		got, err := (&chunkReader{from: connection}).Read(make([]byte, 100))
		switch {
		case got != want:
			t.Errorf("%q: the first read returned %d bytes, want %q", body[:n], got, decoded[:want])
		case want > 0 && err != nil, want == 0 && !errors.Is(err, errWaits):
			t.Errorf("%q: error %v after %d bytes", body[:n], err, got)
		}
	}
}

// FuzzChunks guards against a body that is taken for complete or incomplete, or decoded, in another way than by net/http.
func FuzzChunks(f *testing.F) {
	const sound = "5\r\nab\r\nc\r\n1;x=y\r\nd\r\nA\r\n0123456789\r\n0\r\n\r\n"
	for n := range len(sound) + 1 {
		f.Add([]byte(sound[:n]), byte(n))
	}
	for _, s := range []string{
		"0\r\n\r\n", "0\r\nA: b\r\n\r\n", "0\r\n\r\nHTTP/1.1 200 OK\r\n", "1\r\nab\r\n0\r\n\r\n", "1\r\na\r\n\r\n0\r\n\r\n", "1\na\n0\n\n", "1 \t\r\na\r\n0\r\n\r\n",
		" 1\r\na\r\n0\r\n\r\n", "-1\r\na\r\n0\r\n\r\n", "+1\r\na\r\n0\r\n\r\n", "0x1\r\na\r\n0\r\n\r\n", "\r\n", ";\r\n", "g\r\n", "00000000000000001\r\na\r\n0\r\n\r\n",
		"0000000000000001\r\na\r\n0\r\n\r\n", "7fffffffffffffff\r\na", "7000000000000000\r\na", "8000000000000000\r\na", "ffffffffffffffff\r\na", "1\r\r\na\r\n0\r\n\r\n", "1_0\r\na",
		"1;" + strings.Repeat("x", 4000) + "\r\na\r\n0\r\n\r\n", "1;" + strings.Repeat("x", 5000) + "\r\na\r\n0\r\n\r\n",
		strings.Repeat("1\r\na\r\n", 2000) + "0\r\n\r\n", "0\r\nA: " + strings.Repeat("b", 5000) + "\r\n\r\n",
	} {
		f.Add([]byte(s), byte(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, size byte) {
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		if len(data) > maxChunkExtensionBytes {
			return // net/http weighs the extensions of chunks in another way
		}
		resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(data))), nil)
		if err != nil {
			t.Fatal(err)
		}
		want, wantErr := io.ReadAll(resp.Body)
		got, gotErr := readInParts(&chunkReader{from: bufio.NewReader(bytes.NewReader(data))}, 1+int(size))
		// net/http drops the data of a chunk if twice its size overflows an int64. Such a body is never complete.
		if !bytes.Equal(got, want) && (gotErr == nil || wantErr == nil || !bytes.HasPrefix(got, want)) {
			t.Errorf("%.200q: decoded as %.200q, want %.200q", data, got, want)
		}
		if rest, ended := afterLastChunk(data); ended && rest != "" && !strings.HasPrefix(rest, "\r") {
			return // net/http also checks the syntax of trailers
		}
		if (gotErr == nil) != (wantErr == nil) {
			t.Errorf("%.200q: error %v, net/http has %v", data, gotErr, wantErr)
		}
	})
}

// afterLastChunk returns the bytes after the last chunk, and whether there is one.
func afterLastChunk(data []byte) (string, bool) {
	r := &chunkReader{from: bufio.NewReader(bytes.NewReader(data))}
	for !r.last {
		if r.left > uint64(len(data)) {
			return "", false
		}
		_, err := r.from.Discard(int(r.left))
		if r.left = 0; err != nil || r.beginChunk() != nil {
			return "", false
		}
	}
	rest, _ := io.ReadAll(r.from)
	return string(rest), true
}

// TestChunksAreBounded guards against a target that sends extensions of chunks or trailers without end.
func TestChunksAreBounded(t *testing.T) {
	for name, data := range map[string]string{
		"one extension":   "1;" + strings.Repeat("x", 5000),
		"many extensions": strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\na\r\n", 40),
		"one trailer":     "0\r\nA: " + strings.Repeat("x", 5000),
		"many trailers":   "0\r\n" + strings.Repeat("A: b\r\n", 2000),
	} {
		if _, err := readInParts(&chunkReader{from: bufio.NewReader(strings.NewReader(data))}, 100); !errors.Is(err, errMalformedChunk) {
			t.Errorf("%s: error %v, want %v", name, err, errMalformedChunk)
		}
	}
}

// readInParts reads to the end in reads of a size.
func readInParts(r io.Reader, size int) (all []byte, err error) {
	p := make([]byte, size)
	for {
		n, err := r.Read(p)
		all = append(all, p[:n]...)
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
	}
}
