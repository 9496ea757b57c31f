// Package metrics holds the counters, gauges and latency histograms of a process on the platform, and serves them as
// text.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Counters by their label. They are published with package expvar.
var (
	Requests   = expvar.NewMap("requests_total")           // by outcome
	Reasons    = expvar.NewMap("not_served_total")         // by reason
	Tries      = expvar.NewMap("tries_total")              // attempts at targets, by result
	Platform   = expvar.NewMap("platform_events_total")    // changes of what the process knows from the platform, by kind
	Peers      = expvar.NewMap("peer_events_total")        // changes of what the process knows from peers, by kind
	Groups     = expvar.NewMap("group_events_total")       // decisions about the engine group, by kind
	Balance    = expvar.NewMap("balance_events_total")     // changes of what the process believes of targets and groups
	Gauges     = expvar.NewMap("gauge")                    // present values
	Loads      = expvar.NewInt("experts_loaded_total")     // by all ranks of the groups that this process coordinates
	FirstByte  = newHistogram("first_byte_seconds")        // until the head of the answer went to the caller
	LongestGap = newHistogram("longest_event_gap_seconds") // between two events of one stream
	Duration   = newHistogram("request_seconds")           // until the end of the answer
	Switch     = newHistogram("map_switch_seconds")        // from the plan to the release of the hold
)

// bounds are the upper bounds of the histograms' buckets: they cover the objectives of the users' requests.
var bounds = []time.Duration{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond, 100 * time.Millisecond,
	120 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// Histogram counts durations in fixed buckets. It is safe for concurrent use.
type Histogram struct {
	name    string
	buckets []atomic.Int64 // the last one has no upper bound
	sum     atomic.Int64   // nanoseconds
}

func newHistogram(name string) *Histogram {
	h := &Histogram{name: name, buckets: make([]atomic.Int64, len(bounds)+1)}
	expvar.Publish(name, h)
	return h
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	i := sort.Search(len(bounds), func(i int) bool { return d <= bounds[i] })
	h.buckets[i].Add(1)
	h.sum.Add(int64(d))
}

// String returns the histogram as JSON: cumulative counts by upper bound in seconds.
func (h *Histogram) String() string {
	var b strings.Builder
	b.WriteByte('{')
	h.each(func(bound string, count int64) { fmt.Fprintf(&b, "%q:%d,", bound, count) })
	fmt.Fprintf(&b, "%q:%s}", "sum", h.seconds())
	return b.String()
}

func (h *Histogram) seconds() string {
	return strconv.FormatFloat(time.Duration(h.sum.Load()).Seconds(), 'f', 3, 64)
}

// each calls f with the number of durations up to each bound.
func (h *Histogram) each(f func(bound string, count int64)) {
	count := int64(0)
	for i := range h.buckets {
		count += h.buckets[i].Load()
		bound := "inf"
		if i < len(bounds) {
			bound = strconv.FormatFloat(bounds[i].Seconds(), 'g', -1, 64)
		}
		f(bound, count)
	}
}

// Handler serves all published values, one a line, as NAME{LABEL} VALUE.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		expvar.Do(func(kv expvar.KeyValue) {
			for _, line := range lines(kv) {
				_, _ = w.Write([]byte(line + "\n")) // a reader that left needs no more
			}
		})
	})
}

func lines(kv expvar.KeyValue) []string {
	var out []string
	switch v := kv.Value.(type) {
	case *expvar.Map:
		v.Do(func(entry expvar.KeyValue) {
			out = append(out, fmt.Sprintf("%s{%s} %s", kv.Key, entry.Key, entry.Value))
		})
	case *Histogram:
		v.each(func(bound string, count int64) {
			out = append(out, fmt.Sprintf("%s{le=%s} %d", kv.Key, bound, count))
		})
		out = append(out, fmt.Sprintf("%s_sum %s", kv.Key, v.seconds()))
	case *expvar.Int, *expvar.Float:
		out = append(out, fmt.Sprintf("%s %s", kv.Key, v))
	}
	return out
}

// Set sets a gauge.
func Set(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	Gauges.Set(name, v)
}
