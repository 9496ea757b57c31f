package hostile

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// manyFields returns a head of a size without its end, with as many different short fields as fit.
func manyFields(size int) string {
	var b strings.Builder
	b.WriteString(head("POST", "/r/x"))
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// TestCrowdOfManyFields guards against requests of legal size whose many short fields need many times their size in memory.
func TestCrowdOfManyFields(t *testing.T) {
	text := manyFields(maxHeaderBytes*3/4) + "Content-Length: 100\r\n\r\n" + strings.Repeat("a", 99)
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfUnfinishedHeads guards against heads of many short fields that stop just short of their end.
func TestCrowdOfUnfinishedHeads(t *testing.T) {
	text := manyFields(60 << 10)
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfEndlessHeads guards against heads without an end.
func TestCrowdOfEndlessHeads(t *testing.T) {
	text := manyFields(1 << 20)
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfSlowHeads guards against heads of which a field arrives now and then.
func TestCrowdOfSlowHeads(t *testing.T) {
	start := head("POST", "/r/x")
	atCallers(t, true, func(c net.Conn, _ int) {
		send(c, start)
		for i := range 400 {
			if !send(c, fmt.Sprintf("f%d: a\r\n", i)) {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestCrowdOfLongLines guards against keys, paths and queries that are megabytes long.
func TestCrowdOfLongLines(t *testing.T) {
	long := strings.Repeat("a", 2<<20)
	texts := []string{
		head("POST", "/k/x", "Authorization: Bearer "+long),
		head("POST", "/r/"+long),
		head("POST", "/r/x?"+strings.Repeat("a=b&", len(long)/4)),
		head("POST", strings.Repeat("/r", len(long)/2)),
	}
	atCallers(t, true, func(c net.Conn, n int) { send(c, texts[n%len(texts)]+"\r\n") })
}

// TestCrowdOfLegalPaths guards against the same within the limits: many query parameters and path elements.
func TestCrowdOfLegalPaths(t *testing.T) {
	const size = maxHeaderBytes - 500
	texts := []string{
		head("POST", "/r/x?"+strings.Repeat("a=b&", size/4), "Content-Length: 2") + "\r\na",
		head("POST", "/r"+strings.Repeat("/r", size/2), "Content-Length: 2") + "\r\na",
		head("POST", "/k/x", "Authorization: Bearer "+strings.Repeat("a", size), "Content-Length: 2") + "\r\na",
	}
	atCallers(t, true, func(c net.Conn, n int) { send(c, texts[n%len(texts)]) })
}

// TestCrowdOfHTTP2 guards against clients that speak HTTP/2, which the listeners do not.
func TestCrowdOfHTTP2(t *testing.T) {
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	settings := string([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0})
	atCallers(t, true, func(c net.Conn, _ int) {
		send(c, preface)
		for id := 1; id < 2000; id += 2 { // streams that are opened and reset
			if !send(c, settings+string([]byte{0, 0, 1, 1, 4, 0, 0, byte(id >> 8), byte(id), 0x82, 0, 0, 4, 3, 0, 0, 0, byte(id >> 8), byte(id), 0, 0, 0, 8})) {
				return
			}
		}
	})
}
