package measure

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	firstTokenWarmUp  = 50
	firstTokenSamples = 500

	// openStreamCount is the number of concurrent streams of one of 360 entries, if all entries together deliver 1.8
	// million tokens a second and each stream one token in 57 ms.
	openStreamCount           = 280
	concurrentOpens           = 20
	rpsWorkers                = 32
	rpsWindow                 = time.Second
	rpsWindows                = 3 // for each of the two compared paths, alternating
	maxFirstTokenMicroseconds = int64(time.Minute / time.Microsecond)
)

// processFigures lists the figures that start an entry and local processes in front of engine stand-ins.
func processFigures() []Figure {
	return []Figure{
		{"first_token_added_us", firstTokenAdded},
		{"entry_streams_rps", entryStreamsRPS},
	}
}

// firstTokenAdded measures the time to the first token that the entry and the local process add, in microseconds: the
// median through both less the median when the engine stand-in is called directly. The two kinds of requests alternate.
func firstTokenAdded(ctx context.Context, seed int64) (r Result, err error) {
	err = withPath(func(p *servingPath) error {
		ours, naive := newMicrosecondHistogram(), newMicrosecondHistogram()
		for i := range firstTokenWarmUp + firstTokenSamples {
			prompt := fmt.Sprintf("seed %d, request %d", seed, i)
			through, err := p.firstTokenThrough(ctx, prompt)
			if err != nil {
				return err
			}
			direct, err := p.firstTokenDirect(ctx, prompt)
			if err != nil {
				return err
			}
			if i >= firstTokenWarmUp {
				_ = ours.RecordValue(through.Microseconds())
				_ = naive.RecordValue(direct.Microseconds())
			}
		}
		at := func(h *hdrhistogram.Histogram, q float64) int64 { return h.ValueAtQuantile(q) }
		r.Ours = float64(at(ours, 50) - at(naive, 50))
		r.Note = fmt.Sprintf("through_p50=%d direct_p50=%d through_p95=%d direct_p95=%d", at(ours, 50), at(naive, 50), at(ours, 95), at(naive, 95))
		return nil
	})
	return r, err
}

func newMicrosecondHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxFirstTokenMicroseconds, 3)
}

// entryStreamsRPS measures the requests a second that one entry serves while other streams through it stay open. The
// naive version calls the engine stand-in directly, while the same streams stay open. Windows of both alternate.
func entryStreamsRPS(ctx context.Context, seed int64) (r Result, err error) {
	err = withPath(func(p *servingPath) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		open, err := p.openStreams(ctx)
		if err != nil {
			return err
		}
		for window := range rpsWindows {
			prompt := fmt.Sprintf("seed %d, window %d, ", seed, window)
			ours, err := requestsPerSecond(ctx, prompt, p.requestThroughEntry)
			if err != nil {
				return err
			}
			naive, err := requestsPerSecond(ctx, prompt, p.requestDirect)
			if err != nil {
				return err
			}
			r.Ours += ours / rpsWindows
			r.Naive += naive / rpsWindows
		}
		if n := open.Load(); n != openStreamCount {
			return fmt.Errorf("%d of %d streams are still open", n, openStreamCount)
		}
		r.Note = fmt.Sprintf("streams=%d workers=%d", openStreamCount, rpsWorkers)
		return nil
	})
	return r, err
}

// requestsPerSecond returns the rate at which rpsWorkers workers complete requests, each worker one after the other.
func requestsPerSecond(ctx context.Context, prompt string, request func(ctx context.Context, prompt string) error) (float64, error) {
	var done atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	start := time.Now()
	for w := range rpsWorkers {
		g.Go(func() error {
			for i := 0; time.Since(start) < rpsWindow; i++ {
				if err := request(ctx, fmt.Sprint(prompt, w, " ", i)); err != nil {
					return err
				}
				done.Add(1)
			}
			return nil
		})
	}
	err := g.Wait()
	return float64(done.Load()) / time.Since(start).Seconds(), err
}

var errNoToken = errors.New("the response contains no token")
