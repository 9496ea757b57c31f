// Package report measures the service that the callers of an entry got in the last minutes: outcomes, reasons, attempts
// and histograms of the time to the first token, between tokens and in total. It merges the reports of several entries.
package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
)

// Class is the class of a request. The preset in force sets the boundary between short and long drafts.
type Class string

// Classes of requests.
const (
	ClassShort Class = "short" // short drafts
	ClassLong  Class = "long"  // long drafts
	ClassCall  Class = "call"  // calls of plain services
)

// Classes returns all classes, in the order in which a report lists them.
func Classes() []Class { return []Class{ClassShort, ClassLong, ClassCall} }

const (
	// bucketDuration is the time that one bucket covers. The window of a report consists of whole buckets.
	bucketDuration = 15 * time.Second
	// bucketCount is the number of buckets that a recorder keeps, so that a report covers at most five minutes.
	bucketCount = 20
	// maxAccounts bounds the client accounts that are counted by name in one bucket; the others are counted together.
	maxAccounts = 256
	// otherAccounts is the name under which the client accounts beyond maxAccounts are counted.
	otherAccounts = "(others)"

	histogramUnit     = 100 * time.Microsecond // of the values in the histograms
	maxHistogramUnits = int64(time.Hour / histogramUnit)
	histogramDigits   = 2 // significant decimal digits
)

// MaxWindow is the longest window of a report.
const MaxWindow = bucketCount * bucketDuration

// Observation describes one finished request.
type Observation struct {
	Class      Class
	Account    string
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Attempts   int
	FirstToken time.Duration // from the receipt of the request to its first text; 0 if it got none
	Total      time.Duration // from the receipt of the request to its final answer
}

// Recorder counts the observations of one entry in buckets of time. It is safe for concurrent use. A nil Recorder
// records nothing.
type Recorder struct {
	clock port.Clock

	mu      sync.Mutex
	buckets [bucketCount]*bucket
}

// bucket counts the observations of one bucketDuration. The histograms of a class are made when the class is first
// seen, because each takes about 10 KB.
type bucket struct {
	number   int64 // multiples of bucketDuration since the Unix epoch
	classes  map[Class]*classBucket
	accounts map[string]*AccountReport
}

type classBucket struct {
	counts                    ClassCounts
	firstToken, gap, duration *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock port.Clock) *Recorder { return &Recorder{clock: clock} }

// RecordRequest records a finished request.
func (r *Recorder) RecordRequest(o Observation) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.currentBucket()
	c := b.class(o.Class)
	c.counts.add(o)
	if o.Outcome == outcome.Completed {
		recordDuration(c.duration, o.Total)
		if o.FirstToken > 0 {
			recordDuration(c.firstToken, o.FirstToken)
		}
	}
	b.account(o.Account).add(o)
}

// RecordTokenGap records the time between two successive text frames of one answer.
func (r *Recorder) RecordTokenGap(class Class, d time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.currentBucket().class(class).gap, d)
}

// currentBucket returns the bucket of the present time. If its place holds an older bucket, that one is replaced by an
// empty one.
func (r *Recorder) currentBucket() *bucket {
	number := bucketNumber(r.clock.Now())
	i := number % bucketCount
	if b := r.buckets[i]; b != nil && b.number == number {
		return b
	}
	r.buckets[i] = &bucket{number: number, classes: map[Class]*classBucket{}, accounts: map[string]*AccountReport{}}
	return r.buckets[i]
}

func bucketNumber(t time.Time) int64 { return t.UnixNano() / int64(bucketDuration) }

func (b *bucket) class(name Class) *classBucket {
	c := b.classes[name]
	if c == nil {
		c = &classBucket{counts: newCounts(), firstToken: newHistogram(), gap: newHistogram(), duration: newHistogram()}
		b.classes[name] = c
	}
	return c
}

func (b *bucket) account(name string) *AccountReport {
	if b.accounts[name] == nil && len(b.accounts) >= maxAccounts {
		name = otherAccounts
	}
	a := b.accounts[name]
	if a == nil {
		a = &AccountReport{Name: name}
		b.accounts[name] = a
	}
	return a
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramUnits, histogramDigits)
}

// recordDuration records d; a value outside the histogram's range counts as its lowest or highest value.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/histogramUnit), 1), maxHistogramUnits))
}
