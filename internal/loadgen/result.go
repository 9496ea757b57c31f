package loadgen

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/camphorbank/camphorbank/internal/outcome"
)

const (
	histogramUnit     = time.Microsecond // unit of the values in the histograms
	maxHistogramValue = int64(time.Hour / histogramUnit)
	histogramDigits   = 3 // significant decimal digits

	// maxExamples bounds the number of wrong answers that the result describes.
	maxExamples = 10
)

// ClassResult counts and times the requests of one class. The histograms are in microseconds. All but TokenGap measure
// from the time at which the request was due, so that they include any delay by the generator itself.
type ClassResult struct {
	Class     Class
	Arrived   int64 // all requests, including the dropped ones
	Dropped   int64 // not sent, since Options.MaxInFlight requests were in flight
	Completed int64
	NotRun    int64            // refused without having run
	Unknown   int64            // refused, and may have run
	NoAnswer  int64            // the connection failed or the answer did not end in time
	Wrong     int64            // the answer was malformed, incomplete or not that to the request
	Reasons   map[string]int64 // why requests that were sent were not completed, and error statuses of plain services

	FirstToken *hdrhistogram.Histogram // until the first text event of a streamed draft
	TokenGap   *hdrhistogram.Histogram // between two consecutive text events of a streamed draft
	Duration   *hdrhistogram.Histogram // until the end of a completed answer
	Refusal    *hdrhistogram.Histogram // until a refusal
}

// Result is the result of a run.
type Result struct {
	Classes       []*ClassResult
	Elapsed       time.Duration // from the start of the run until the last request has ended
	MaxSendDelay  time.Duration // longest time by which the generator sent a request later than due
	MaxInFlight   int           // most requests in flight at once
	WrongExamples []string      // descriptions of the first wrong answers
}

// Wrong returns the number of wrong answers of all classes.
func (r *Result) Wrong() (n int64) {
	for _, c := range r.Classes {
		n += c.Wrong
	}
	return n
}

// Answered returns how many requests were sent, and how many of them were answered by an entry in any way.
func (r *Result) Answered() (answered, sent int64) {
	for _, c := range r.Classes {
		sent += c.Arrived - c.Dropped
		answered += c.Arrived - c.Dropped - c.NoAnswer
	}
	return answered, sent
}

// Class returns the result of a class, or nil if the mix does not contain it.
func (r *Result) Class(class Class) *ClassResult {
	for _, c := range r.Classes {
		if c.Class == class {
			return c
		}
	}
	return nil
}

// Reasons of requests that were not answered by the entry.
const (
	reasonTimeout    = "no-answer-in-time"
	reasonConnection = "connection-failed"
)

// requestResult is the result of one request.
type requestResult struct {
	outcome outcome.Outcome // empty if there was no answer
	reason  string
	wrong   error // describes what is wrong with the answer; nil if it is correct
}

// recorder collects the result of a run from its concurrent requests.
type recorder struct {
	mu       sync.Mutex
	result   Result
	inFlight int
}

func newRecorder(o *Options) *recorder {
	r := &recorder{}
	for _, class := range Classes() {
		if o.Mix[class] > 0 {
			r.result.Classes = append(r.result.Classes, newClassResult(class))
		}
	}
	return r
}

func newClassResult(class Class) *ClassResult {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramValue, histogramDigits) }
	return &ClassResult{Class: class, Reasons: map[string]int64{}, FirstToken: h(), TokenGap: h(), Duration: h(), Refusal: h()}
}

// recordDuration adds a duration to a histogram. One outside the histogram's range counts as the nearest bound.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/histogramUnit), 1), maxHistogramValue))
}

// recordStart counts a request that is sent, and by how much later than due.
func (r *recorder) recordStart(class Class, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Class(class).Arrived++
	r.result.MaxSendDelay = max(r.result.MaxSendDelay, delay)
	r.inFlight++
	r.result.MaxInFlight = max(r.result.MaxInFlight, r.inFlight)
}

func (r *recorder) recordDropped(class Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.result.Class(class)
	c.Arrived++
	c.Dropped++
}

func (r *recorder) recordFirstToken(class Class, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.result.Class(class).FirstToken, d)
}

func (r *recorder) recordTokenGap(class Class, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.result.Class(class).TokenGap, d)
}

func (r *recorder) recordEnd(a arrival, reqResult requestResult, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	c := r.result.Class(a.class)
	if reqResult.reason != "" {
		c.Reasons[reqResult.reason]++
	}
	if reqResult.wrong != nil {
		c.Wrong++
		if len(r.result.WrongExamples) < maxExamples {
			r.result.WrongExamples = append(r.result.WrongExamples, fmt.Sprintf("%s request %d: %v", a.class, a.number, reqResult.wrong))
		}
		return
	}
	switch reqResult.outcome {
	case outcome.Completed:
		c.Completed++
		recordDuration(c.Duration, took)
	case outcome.NotRun:
		c.NotRun++
		recordDuration(c.Refusal, took)
	case outcome.Unknown:
		c.Unknown++
		recordDuration(c.Refusal, took)
	default:
		c.NoAnswer++
	}
}
