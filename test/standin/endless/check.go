package endless

import (
	"context"
	"runtime"
	"testing"
	"time"
)

const (
	// callTimeout bounds one call. A call that ends only by it has no bound of its own. With the race detector, an answer of 8 MB
	// in chunks of one byte takes more than 20 s to read.
	callTimeout = 2 * time.Minute
	// kernelBufferBytes is the size of the buffers of one connection, at most.
	kernelBufferBytes = 8 << 20
	// chunkOverhead is the number of bytes that a chunk of one byte needs on the wire, at most.
	chunkOverhead = 8
	// allocationFactor bounds the memory that an answer needs, as a multiple of its size: buffers that grow, and decoded values.
	allocationFactor = 16
)

// Check tests that a call fails against each of Answers before its deadline, and takes no more bytes and no more memory than
// an answer of largest bytes needs. Calls must not use a connection twice.
func Check(t *testing.T, largest int, call func(ctx context.Context, addr string) error) {
	t.Helper()
	for _, a := range Answers {
		t.Run(a.Name, func(t *testing.T) {
			s, err := Start(a)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			before := allocatedBytes()
			err = call(ctx, s.Addr)
			allocated := allocatedBytes() - before
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context %v, want an error before the deadline", err, ctx.Err())
			}
			if sent := s.Close(); sent > chunkOverhead*largest+kernelBufferBytes || allocated > allocationFactor*uint64(largest) {
				t.Errorf("the server could send %d bytes, for which %d bytes were allocated", sent, allocated)
			}
		})
	}
}

// allocatedBytes returns the number of bytes that the process has allocated so far.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
