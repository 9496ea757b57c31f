// Package peer carries the control messages between camphorbank processes as JSON-RPC 2.0 over TCP. Server answers
// calls of other processes, Pool and Call make calls. Both ends bound the size of messages, and a server also bounds
// the numbers of connections and of concurrent requests.
package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/jsonsize"
	"github.com/camphorbank/camphorbank/internal/membudget"
)

const (
	// maxConns bounds the open connections that a process has accepted. All 360 entries may connect to the local
	// process of one target.
	maxConns = 1024
	// maxRequests bounds the concurrent requests of one connection. Further requests are not read until one ends.
	maxRequests = 16
	// serverIdleTimeout closes connections whose other end has disappeared. Processes that make calls close their
	// unused connections earlier.
	serverIdleTimeout = time.Minute
)

// discardLogger discards the library's log lines about broken connections. Such connections are expected, and the
// processes that make calls count failed calls.
var discardLogger = log.New(io.Discard, "", 0)

// MethodHandler handles the calls of one control method.
type MethodHandler func(ctx context.Context, params json.RawMessage) (any, error)

// TypedHandler turns a function with a typed parameter and result into a MethodHandler.
func TypedHandler[In, Out any](f func(ctx context.Context, in In) (Out, error)) MethodHandler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, in)
	}
}

// Server serves control methods to other processes. All methods must be registered with Handle before Serve is called.
type Server struct {
	Conns  *connlimit.Limit  // connections besides the bound of the server itself; nil for no other bound
	Memory *membudget.Budget // for messages that are received or handled; nil for no bound

	methods map[string]MethodHandler
	mu      sync.Mutex
	conns   map[*jsonrpc2.Conn]struct{}
	closed  bool
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{methods: map[string]MethodHandler{}, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Handle registers the handler of a method.
func (s *Server) Handle(name string, m MethodHandler) { s.methods[name] = m }

// Serve accepts connections until the listener is closed. It returns the error of the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if !s.accept(ctx, c) {
			_ = c.Close()
		}
	}
}

// accept starts to serve the connection. It returns false, and does not serve it, if the server has too many
// connections or is closed.
func (s *Server) accept(ctx context.Context, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	slot, ok := s.Conns.Admit(c)
	if !ok {
		return false
	}
	handler := &concurrencyLimiter{next: jsonrpc2.HandlerWithError(s.dispatch), semaphore: make(chan struct{}, maxRequests),
		slot: slot, memory: s.Memory}
	stream := newStream(c, serverIdleTimeout)
	stream.limit(slot, s.Memory.Lease(""))
	conn := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(discardLogger))
	s.conns[conn] = struct{}{}
	go func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	return true
}

// concurrencyLimiter handles requests of one connection concurrently up to a limit. At the limit Handle blocks, and
// with it the goroutine that reads from the connection.
type concurrencyLimiter struct {
	next      jsonrpc2.Handler
	semaphore chan struct{}
	slot      *connlimit.Slot
	memory    *membudget.Budget
}

func (h *concurrencyLimiter) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	h.semaphore <- struct{}{}
	memory := h.memory.Lease("")
	if !memory.Grow(handlingBytes(r)) || !h.slot.Run() {
		memory.Release()
		<-h.semaphore
		_ = conn.Close()
		return
	}
	go func() {
		defer func() {
			h.slot.Done()
			memory.Release()
			<-h.semaphore
		}()
		h.next.Handle(ctx, conn, r)
	}()
}

// handlingBytes returns the memory that a request needs while it is handled: its parameters as text and decoded.
func handlingBytes(r *jsonrpc2.Request) int64 {
	if r.Params == nil {
		return 0
	}
	return int64(len(*r.Params)) + jsonsize.DecodedBytes(*r.Params)
}

// Close closes all connections and makes the server refuse new ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	m, ok := s.methods[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	var params json.RawMessage = []byte("null")
	if r.Params != nil {
		params = *r.Params
	}
	return m(ctx, params)
}
