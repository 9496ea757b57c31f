package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/camphorbank/camphorbank/internal/outcome"
)

// ClassCounts counts the requests of one class.
type ClassCounts struct {
	Requests  int64                    `json:"requests"`
	Completed int64                    `json:"completed"`
	NotRun    int64                    `json:"not_run"`
	Unknown   int64                    `json:"unknown"`
	Attempts  int64                    `json:"attempts"`
	Reasons   map[outcome.Reason]int64 `json:"reasons"` // of requests that were not completed
}

func newCounts() ClassCounts { return ClassCounts{Reasons: map[outcome.Reason]int64{}} }

func (c *ClassCounts) add(o Observation) {
	c.Requests++
	c.Attempts += int64(o.Attempts)
	switch o.Outcome {
	case outcome.Completed:
		c.Completed++
		return
	case outcome.NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
	c.Reasons[o.Reason]++
}

func (c *ClassCounts) merge(other ClassCounts) {
	c.Requests += other.Requests
	c.Completed += other.Completed
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
	c.Attempts += other.Attempts
	for reason, n := range other.Reasons {
		c.Reasons[reason] += n
	}
}

// AccountReport counts the requests of one client account.
type AccountReport struct {
	Name      string `json:"name"`
	Requests  int64  `json:"requests"`
	Completed int64  `json:"completed"`
}

func (a *AccountReport) add(o Observation) {
	a.Requests++
	if o.Outcome == outcome.Completed {
		a.Completed++
	}
}

// ClassReport is the service that requests of one class got. FirstToken, Gap and Duration are encoded HDR histograms in
// units of 100 µs, which DecodePercentiles decodes.
type ClassReport struct {
	Class Class `json:"class"`
	ClassCounts
	FirstToken []byte `json:"first_token,omitempty"`
	Gap        []byte `json:"gap,omitempty"`
	Duration   []byte `json:"duration,omitempty"`
}

// Report is the service that the callers of one or several entries got within a window.
type Report struct {
	WindowS  int64           `json:"window_s"`
	Classes  []ClassReport   `json:"classes"`
	Accounts []AccountReport `json:"accounts"` // most requests first
}

// Report returns what was recorded within the window, which is limited to between one bucket and MaxWindow.
func (r *Recorder) Report(window time.Duration) Report {
	window = min(max(window, bucketDuration), MaxWindow)
	merged := newMerger(window)
	if r == nil {
		return merged.report()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := bucketNumber(r.clock.Now().Add(-window)) + 1
	for _, b := range r.buckets {
		if b == nil || b.number < oldest {
			continue
		}
		for name, c := range b.classes {
			merged.class(name).add(c)
		}
		for _, a := range b.accounts {
			merged.account(*a)
		}
	}
	return merged.report()
}

// Merge merges the reports of several entries into one. The window is the one that the reports were asked for.
func Merge(window time.Duration, reports []Report) (Report, error) {
	merged := newMerger(window)
	for _, r := range reports {
		for _, c := range r.Classes {
			decoded, err := c.decode()
			if err != nil {
				return Report{}, err
			}
			merged.class(c.Class).add(decoded)
		}
		for _, a := range r.Accounts {
			merged.account(a)
		}
	}
	return merged.report(), nil
}

// merger sums up the counts and histograms of a report.
type merger struct {
	window   time.Duration
	classes  map[Class]*classBucket
	accounts map[string]AccountReport
}

func newMerger(window time.Duration) *merger {
	return &merger{window: window, classes: map[Class]*classBucket{}, accounts: map[string]AccountReport{}}
}

func (m *merger) class(name Class) *classBucket {
	b := &bucket{classes: m.classes}
	return b.class(name)
}

func (m *merger) account(a AccountReport) {
	sum := m.accounts[a.Name]
	sum.Name = a.Name
	sum.Requests += a.Requests
	sum.Completed += a.Completed
	m.accounts[a.Name] = sum
}

func (c *classBucket) add(other *classBucket) {
	c.counts.merge(other.counts)
	c.firstToken.Merge(other.firstToken)
	c.gap.Merge(other.gap)
	c.duration.Merge(other.duration)
}

func (m *merger) report() Report {
	out := Report{WindowS: int64(m.window / time.Second), Classes: []ClassReport{}, Accounts: slices.Collect(maps.Values(m.accounts))}
	slices.SortFunc(out.Accounts, func(a, b AccountReport) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	for _, name := range Classes() {
		if c := m.classes[name]; c != nil {
			out.Classes = append(out.Classes, ClassReport{
				Class: name, ClassCounts: c.counts,
				FirstToken: encode(c.firstToken), Gap: encode(c.gap), Duration: encode(c.duration),
			})
		}
	}
	return out
}

// encode returns the compressed encoding of a histogram, or nil if the histogram is empty or cannot be encoded.
func encode(h *hdrhistogram.Histogram) []byte {
	if h.TotalCount() == 0 {
		return nil
	}
	raw, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return raw
}

func decode(raw []byte) (*hdrhistogram.Histogram, error) {
	if len(raw) == 0 {
		return newHistogram(), nil
	}
	return hdrhistogram.Decode(raw)
}

func (c *ClassReport) decode() (*classBucket, error) {
	b := &classBucket{counts: c.ClassCounts}
	if b.counts.Reasons == nil {
		b.counts.Reasons = map[outcome.Reason]int64{}
	}
	var err error
	if b.firstToken, err = decode(c.FirstToken); err != nil {
		return nil, err
	}
	if b.gap, err = decode(c.Gap); err != nil {
		return nil, err
	}
	b.duration, err = decode(c.Duration)
	return b, err
}

// Percentiles are the 50th, 95th and 99th percentile of a histogram.
type Percentiles struct{ P50, P95, P99 time.Duration }

// DecodePercentiles returns the percentiles of an encoded histogram, which are zero if the histogram is empty.
func DecodePercentiles(raw []byte) (Percentiles, error) {
	h, err := decode(raw)
	if err != nil {
		return Percentiles{}, err
	}
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * histogramUnit }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}, nil
}
