// Package metrics defines the counters, gauges and latency histograms of a process, publishes them through package
// expvar, and serves them over HTTP as plain text.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime/metrics"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// The metrics of a process. Each map holds one value for each label; the comment names the label.
var (
	Requests          = expvar.NewMap("requests_total")           // by outcome
	NotServed         = expvar.NewMap("not_served_total")         // by reason
	Attempts          = expvar.NewMap("tries_total")              // attempts at targets, by result
	AnswerEndings     = expvar.NewMap("answer_endings_total")     // answers of targets, by how they ended
	PlatformEvents    = expvar.NewMap("platform_events_total")    // updates from the platform and its outages, by kind
	PeerEvents        = expvar.NewMap("peer_events_total")        // updates from other entries and their outages, by kind
	GroupEvents       = expvar.NewMap("group_events_total")       // events of the coordinated engine group, by kind
	BalanceEvents     = expvar.NewMap("balance_events_total")     // changes in the state of targets and groups, by kind
	EvacuationEvents  = expvar.NewMap("evacuation_events_total")  // evacuations of data centres set, ended and lapsed, by kind
	ColdEvents        = expvar.NewMap("cold_events_total")        // cold targets and targets at their limit for cold ones, by kind
	Contention        = expvar.NewMap("contention_total")         // decisions of services with priorities, by decision and priority
	QuarantineEvents  = expvar.NewMap("quarantine_events_total")  // crashes of engines and quarantines of parts of prompts, by kind
	KeptPrompts       = expvar.NewMap("kept_prompts_total")       // attempts at targets believed to hold a part of the prompt, its tokens, and attempts elsewhere because of the wait, by kind
	ClosedForRoom     = expvar.NewMap("closed_for_room_total")    // connections and requests ended to make room for others, by listener and reason
	Gauges            = expvar.NewMap("gauge")                    // current values, by gauge name
	ExpertLoads       = expvar.NewInt("experts_loaded_total")     // by all ranks of the coordinated groups
	FirstByte         = newHistogram("first_byte_seconds")        // from arrival until the response headers are sent
	LongestGap        = newHistogram("longest_event_gap_seconds") // longest time between two events of a stream
	RequestDuration   = newHistogram("request_seconds")           // from arrival until the end of the response
	MapSwitchDuration = newHistogram("map_switch_seconds")        // from planning a new map until the engines' hold ends
)

// bucketBounds are the upper bounds of the histogram buckets. They cover the latency objectives of callers' requests.
var bucketBounds = []time.Duration{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond, 100 * time.Millisecond,
	120 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// Histogram counts durations in the buckets given by bucketBounds. It is safe for concurrent use.
type Histogram struct {
	name    string
	buckets []atomic.Int64 // the last one has no upper bound
	sum     atomic.Int64   // nanoseconds
}

func newHistogram(name string) *Histogram {
	h := &Histogram{name: name, buckets: make([]atomic.Int64, len(bucketBounds)+1)}
	expvar.Publish(name, h)
	return h
}

// Observe adds a duration to its bucket and to the sum.
func (h *Histogram) Observe(d time.Duration) {
	i := sort.Search(len(bucketBounds), func(i int) bool { return d <= bucketBounds[i] })
	h.buckets[i].Add(1)
	h.sum.Add(int64(d))
}

// String returns the histogram as a JSON object: cumulative counts by upper bound in seconds, and the sum in seconds.
// It implements expvar.Var.
func (h *Histogram) String() string {
	var b strings.Builder
	b.WriteByte('{')
	h.eachBucket(func(bound string, count int64) { fmt.Fprintf(&b, "%q:%d,", bound, count) })
	fmt.Fprintf(&b, "%q:%s}", "sum", h.sumSeconds())
	return b.String()
}

// sumSeconds returns the sum of all observed durations in seconds, as decimal text.
func (h *Histogram) sumSeconds() string {
	return strconv.FormatFloat(time.Duration(h.sum.Load()).Seconds(), 'f', 3, 64)
}

// eachBucket calls f for each bucket with its upper bound in seconds and the number of durations up to that bound.
func (h *Histogram) eachBucket(f func(bound string, count int64)) {
	count := int64(0)
	for i := range h.buckets {
		count += h.buckets[i].Load()
		bound := "inf"
		if i < len(bucketBounds) {
			bound = strconv.FormatFloat(bucketBounds[i].Seconds(), 'g', -1, 64)
		}
		f(bound, count)
	}
}

// Handler serves all published values as text, one per line, as NAME{LABEL} VALUE. Values without a label are served as
// NAME VALUE.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		SetGauge("memory_bytes", memoryBytes())
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		expvar.Do(func(kv expvar.KeyValue) {
			for _, line := range formatVar(kv) {
				_, _ = w.Write([]byte(line + "\n")) // a write fails only if the client has disconnected
			}
		})
	})
}

// memoryBytes returns the memory that the Go runtime has mapped and not returned to the operating system.
func memoryBytes() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// formatVar returns the lines of one published variable. Variables of other types than those above yield none.
func formatVar(kv expvar.KeyValue) []string {
	var out []string
	switch v := kv.Value.(type) {
	case *expvar.Map:
		v.Do(func(entry expvar.KeyValue) {
			out = append(out, fmt.Sprintf("%s{%s} %s", kv.Key, entry.Key, entry.Value))
		})
	case *Histogram:
		v.eachBucket(func(bound string, count int64) {
			out = append(out, fmt.Sprintf("%s{le=%s} %d", kv.Key, bound, count))
		})
		out = append(out, fmt.Sprintf("%s_sum %s", kv.Key, v.sumSeconds()))
	case *expvar.Int, *expvar.Float:
		out = append(out, fmt.Sprintf("%s %s", kv.Key, v))
	}
	return out
}

// EachCount calls f for each label of a map of counters.
func EachCount(m *expvar.Map, f func(label string, n int64)) {
	m.Do(func(entry expvar.KeyValue) {
		if n, ok := entry.Value.(*expvar.Int); ok {
			f(entry.Key, n.Value())
		}
	})
}

// SetGauge sets the gauge with the given name to value.
func SetGauge(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	Gauges.Set(name, v)
}
