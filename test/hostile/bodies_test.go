package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// nearlyWhole returns a request whose body of the largest legal size lacks its last byte.
func nearlyWhole(path string, fields ...string) string {
	fields = append(fields, fmt.Sprintf("Content-Length: %d", maxBodyBytes))
	return head("POST", path, fields...) + "\r\n" + strings.Repeat("a", maxBodyBytes-1)
}

// chunkOf returns a chunk with n bytes of data.
func chunkOf(n int, extension string) string {
	return fmt.Sprintf("%x%s\r\n%s\r\n", n, extension, strings.Repeat("a", n))
}

// TestCrowdOfNearlyWholeBodies guards against bodies that hold the memory of requests until their time limit although nothing
// of them arrives any more.
func TestCrowdOfNearlyWholeBodies(t *testing.T) {
	text := nearlyWhole("/r/x")
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfBodiesInSmallPieces guards against the same with bodies that arrive in many reads.
func TestCrowdOfBodiesInSmallPieces(t *testing.T) {
	const pieceBytes = 2 << 10
	text := nearlyWhole("/r/x")
	atCallers(t, true, func(c net.Conn, _ int) {
		for rest := text; len(rest) > 0; rest = rest[min(len(rest), pieceBytes):] {
			if !send(c, rest[:min(len(rest), pieceBytes)]) {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// TestCrowdOfChunkedBodies guards against the same with bodies whose length is not stated.
func TestCrowdOfChunkedBodies(t *testing.T) {
	text := head("POST", "/r/x", "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat(chunkOf(4<<10, ""), maxBodyBytes/(4<<10)-1)
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfBodiesOfManySizes guards against bodies that leave no room for the smallest request.
func TestCrowdOfBodiesOfManySizes(t *testing.T) {
	atCallers(t, true, func(c net.Conn, n int) {
		send(c, head("POST", "/r/x", "Transfer-Encoding: chunked")+"\r\n"+chunkOf(1<<(n%10)<<10-1, ""))
	})
}

// TestCrowdOfTinyChunks guards against chunks whose extensions cost more than their data.
func TestCrowdOfTinyChunks(t *testing.T) {
	text := head("POST", "/r/x", "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat(chunkOf(1, ";x="+strings.Repeat("e", 100)), 2000)
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfTrailers guards against trailers without an end.
func TestCrowdOfTrailers(t *testing.T) {
	text := head("POST", "/r/x", "Transfer-Encoding: chunked") + "\r\n" + chunkOf(1, "") + "0\r\n"
	atCallers(t, true, func(c net.Conn, _ int) {
		send(c, text)
		for i := 0; send(c, fmt.Sprintf("t%d: a\r\n", i)) && i < 100_000; i++ {
			if i > 10_000 {
				time.Sleep(time.Millisecond)
			}
		}
	})
}

// TestCrowdOfBodiesOverTheLimit guards against bodies over the limit that are read to their end.
func TestCrowdOfBodiesOverTheLimit(t *testing.T) {
	stated := head("POST", "/r/x", "Content-Length: 1000000000") + "\r\n"
	chunked := head("POST", "/r/x", "Transfer-Encoding: chunked") + "\r\n"
	piece := chunkOf(64<<10, "")
	atCallers(t, true, func(c net.Conn, n int) {
		send(c, []string{stated, chunked}[n%2])
		sendRepeatedly(c, piece, 3*maxBodyBytes/len(piece), 0)
	})
}

// TestCrowdOfBodiesWithoutRoute guards against bodies that cost memory although their requests have no route or no valid key.
func TestCrowdOfBodiesWithoutRoute(t *testing.T) {
	texts := []string{nearlyWhole("/none/x"), nearlyWhole("/k/x"), nearlyWhole("/k/x", "Authorization: Bearer none"),
		nearlyWhole("/-/readiness"), nearlyWhole("/metrics")}
	atCallers(t, true, func(c net.Conn, n int) { send(c, texts[n%len(texts)]) })
}

// TestCrowdOfBodiesOnStreams guards against the same on a route of streams.
func TestCrowdOfBodiesOnStreams(t *testing.T) {
	text := nearlyWhole("/s/x")
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfOneAccount guards against a client account that takes the memory of the others.
func TestCrowdOfOneAccount(t *testing.T) {
	s := startSystem(t)
	text := nearlyWhole("/k/x", "Authorization: Bearer key-one")
	requests := append(s.ordinaryRequests(), answered{"a large request of another account", func() error {
		return s.request(strings.Replace(nearlyWhole("/k/x", "Authorization: Bearer key-two")+"a", "crowd", "ID", 1))
	}})
	withstand(t, s.process, requests, &crowd{addr: s.callers, size: crowdSize, reads: true, act: func(c net.Conn, _ int) { send(c, text) }})
}

// TestCrowdThatSendsSlowly guards against bodies that hold memory while a byte arrives now and then.
func TestCrowdThatSendsSlowly(t *testing.T) {
	text := nearlyWhole("/r/x")
	start := text[:len(text)-1000]
	atCallers(t, true, func(c net.Conn, _ int) {
		send(c, start)
		sendRepeatedly(c, "a", 900, 20*time.Millisecond)
	})
}

// TestCrowdOfHalfClosedBodies guards against clients that close their sending side within a body.
func TestCrowdOfHalfClosedBodies(t *testing.T) {
	text := nearlyWhole("/r/x")
	atCallers(t, true, func(c net.Conn, _ int) {
		send(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
	})
}

// TestCrowdOfResets guards against memory that is not given back after a reset within a body.
func TestCrowdOfResets(t *testing.T) {
	const resets = 10
	text := nearlyWhole("/r/x")
	s := startSystem(t)
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.callers, size: crowdSize, reads: true, act: func(c net.Conn, _ int) {
		for range resets {
			send(c, text)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			var err error
			if c, err = net.DialTimeout("tcp", s.callers, time.Second); err != nil {
				return
			}
		}
		_ = c.Close()
	}})
}

// TestSingleLargeRequest guards against a limit that a single client within the limits of the configuration meets.
func TestSingleLargeRequest(t *testing.T) {
	s := startSystem(t)
	whole := strings.Replace(nearlyWhole("/r/x")+"a", "crowd", "ID", 1)
	if err := s.request(whole); err != nil {
		t.Errorf("a body of the largest size: %v", err)
	}
	wide := manyFields(maxHeaderBytes-200) + "Content-Length: 1\r\n\r\na" // the limit leaves room for the request line
	if err := s.request(strings.Replace(wide, "crowd", "ID", 1)); err != nil {
		t.Errorf("a head of the largest size: %v", err)
	}
	const slowBytes, pieces = 4000, 40
	c, err := net.Dial("tcp", s.callers)
	check(t, err)
	defer c.Close()
	send(c, head("POST", "/r/x", fmt.Sprintf("Content-Length: %d", slowBytes))+"\r\n")
	sendRepeatedly(c, strings.Repeat("a", slowBytes/pieces), pieces, 100*time.Millisecond)
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, answer); err != nil || !strings.HasSuffix(string(answer), fmt.Sprint(http.StatusOK)) {
		t.Errorf("a slow body: %q, %v", answer, err)
	}
}
