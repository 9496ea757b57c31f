// Package endless is a stand-in for an HTTP server that sends bytes without end in some part of its answers. It stops only
// when its client closes the connection.
package endless

import (
	"io"
	"net"
	"strings"
	"sync"
)

// writeBytes is the least number of bytes of one write.
const writeBytes = 4096

// Answer is an answer without end: the start, and then the same bytes again and again.
type Answer struct {
	Name         string // part of the answer that has no end
	Start, Again string
}

const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Answers has an answer for each part of an answer that may have no end.
var Answers = []Answer{
	{"status line", "HTTP/1.1 200 ", "a"},
	{"header line", "HTTP/1.1 200 OK\r\nX: ", "a"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"body", "HTTP/1.1 200 OK\r\n\r\n", "a"},
	{"body over HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", "a"},
	{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "a"},
	{"body of a failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "a"},
	{"chunks", chunked, "1\r\na\r\n"},
	{"chunk extension", chunked + "1;", "a"},
	{"chunk extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
	{"trailer line", chunked + "0\r\nA: ", "a"},
	{"trailer lines", chunked + "0\r\n", "A: b\r\n"},
}

// Server answers each connection with the same Answer.
type Server struct {
	Addr string

	listener net.Listener
	answer   Answer
	conns    sync.WaitGroup
	mu       sync.Mutex
	most     int // bytes that a client took from one connection, at most
}

// Start starts a server on a loopback address.
func Start(a Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: l.Addr().String(), listener: l, answer: a}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(c) })
		}
	}()
	return s, nil
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	_, _ = c.Read(make([]byte, writeBytes))
	total, err := io.WriteString(c, s.answer.Start)
	data := strings.Repeat(s.answer.Again, 1+writeBytes/len(s.answer.Again))
	for err == nil {
		var n int
		n, err = io.WriteString(c, data)
		total += n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = max(s.most, total)
}

// Close stops accepting connections and waits until the clients have closed theirs. It returns the most bytes that a
// connection took, with those in the buffers of the kernel.
func (s *Server) Close() int {
	_ = s.listener.Close()
	s.conns.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}
