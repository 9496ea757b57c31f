package alarm

import (
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/report"
)

const (
	// serviceWindow is the time over which the conditions evaluate an entry's service.
	serviceWindow = time.Minute
	// serviceAlarmDelay is how long bad service must last before an alarm. Swings of demand last seconds.
	serviceAlarmDelay = 30 * time.Second
	// minRequests is the number of requests below which a share or a percentile raises no alarm.
	minRequests = 20
	// maxRefusedShare is the share of refused requests above which the fleet counts as too small for the demand.
	maxRefusedShare = 0.1
	// maxUnknownShare is the share of unknown outcomes above which failures of targets or the network are more than
	// occasional.
	maxUnknownShare = 0.01
	// maxFirstToken and maxTokenGap are the limits of the 95th percentile at the two-year target.
	maxFirstToken = 310 * time.Millisecond
	maxTokenGap   = 57 * time.Millisecond
)

// ServiceConditions returns the conditions on the service that the callers of an entry get.
func ServiceConditions(recorder *report.Recorder) []Condition {
	r := &cachedReport{recorder: recorder}
	return []Condition{
		{RefusalsHigh, func() (bool, string) { return shareAbove(r, "refused", maxRefusedShare, countNotRun) }, serviceAlarmDelay},
		{OutcomesUnknown, func() (bool, string) { return shareAbove(r, "of unknown outcome", maxUnknownShare, countUnknown) }, serviceAlarmDelay},
		{RetryBudgetSpent, func() (bool, string) { return retryBudgetSpent(r) }, serviceAlarmDelay},
		{FirstTokenSlow, func() (bool, string) {
			return p95Above(r, "first token", maxFirstToken, func(c report.ClassReport) []byte { return c.FirstToken })
		}, serviceAlarmDelay},
		{TokenGapLong, func() (bool, string) {
			return p95Above(r, "time between tokens", maxTokenGap, func(c report.ClassReport) []byte { return c.Gap })
		}, serviceAlarmDelay},
	}
}

// cachedReport makes one report for all conditions of a round, because a report merges and encodes all histograms.
type cachedReport struct {
	recorder *report.Recorder
	at       time.Time
	classes  []report.ClassReport
}

func (l *cachedReport) get() []report.ClassReport {
	if now := time.Now(); now.Sub(l.at) > Interval/2 {
		l.at, l.classes = now, l.recorder.Report(serviceWindow).Classes
	}
	return l.classes
}

func countNotRun(c report.ClassReport) int64  { return c.NotRun }
func countUnknown(c report.ClassReport) int64 { return c.Unknown }

// shareAbove reports whether the counted requests are more than the limit, as a share of all requests in the window.
// It returns false if there were fewer than minRequests.
func shareAbove(r *cachedReport, what string, limit float64, count func(report.ClassReport) int64) (bool, string) {
	var counted, requests int64
	for _, c := range r.get() {
		counted += count(c)
		requests += c.Requests
	}
	if requests < minRequests || float64(counted) <= limit*float64(requests) {
		return false, ""
	}
	return true, fmt.Sprintf("%d of %d requests %s in the last %s", counted, requests, what, serviceWindow)
}

// retryBudgetSpent reports whether any request in the window ended because the retry budget did not permit a retry.
func retryBudgetSpent(r *cachedReport) (bool, string) {
	var refused int64
	for _, c := range r.get() {
		refused += c.Reasons[outcome.RetryBudget]
	}
	return refused > 0, fmt.Sprintf("%d requests were not tried again in the last %s", refused, serviceWindow)
}

// p95Above reports whether the 95th percentile of a histogram of short drafts is above the limit. It returns false if
// fewer than minRequests were completed.
func p95Above(r *cachedReport, what string, limit time.Duration, encoded func(report.ClassReport) []byte) (bool, string) {
	for _, c := range r.get() {
		if c.Class != report.ClassShort || c.Completed < minRequests {
			continue
		}
		times, err := report.DecodePercentiles(encoded(c))
		if err == nil && times.P95 > limit {
			return true, fmt.Sprintf("%s of short drafts: %s at the 95th percentile, at most %s is wanted", what, times.P95, limit)
		}
	}
	return false, ""
}
