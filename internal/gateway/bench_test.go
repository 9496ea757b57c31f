package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

// BenchmarkFirstEvent measures the time until a caller has the first event of a stream, and the time for the whole stream
// of 24 events that a target sends without a pause.
func BenchmarkFirstEvent(b *testing.B) {
	t := &testing.T{}
	f := newFixture(t, target.Stream(24, 0, false), target.Stream(24, 0, false))
	f.gateway.Observe = nil
	defer f.server.Close()
	first, whole := time.Duration(0), time.Duration(0)
	for b.Loop() {
		start := time.Now()
		resp, err := http.DefaultClient.Do(f.request("POST", "/stream/x", "prompt"))
		if err != nil {
			b.Fatal(err)
		}
		in := bufio.NewReader(resp.Body)
		if _, err := in.ReadString('\n'); err != nil {
			b.Fatal(err)
		}
		first += time.Since(start)
		if _, err := in.WriteTo(io.Discard); err != nil {
			b.Fatal(err)
		}
		whole += time.Since(start)
		_ = resp.Body.Close()
	}
	b.ReportMetric(float64(first.Microseconds())/float64(b.N), "µs/first-event")
	b.ReportMetric(float64(whole.Microseconds())/float64(b.N), "µs/stream")
}
