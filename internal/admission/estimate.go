package admission

import (
	"math/bits"
)

const (
	// bytesPerToken converts the size of a prompt to tokens. Tokenisers need about one token for four bytes of European
	// text.
	bytesPerToken = 4
	// promptTokensPerGenerated is the number of prompt tokens that take as long as one generated token. Engines compute
	// the tokens of a prompt together, so a prompt token costs far less.
	promptTokensPerGenerated = 20
	// maxEstimates bounds the number of remembered pairs of account and size, at about 100 bytes each.
	maxEstimates = 8192
	// learningRate is the weight of the latest response in an estimate.
	learningRate = 0.15
	// cautiousDeviations is the number of deviations that are added to the mean when a lane is chosen, since a long job
	// in the short lane costs more than a short job in the long lane.
	cautiousDeviations = 1.0
)

// sizeKey groups the requests of an account by the power of two of their max_tokens, since an account may send
// both work that fills its limit and work that does not.
type sizeKey struct {
	account string
	size    int
}

// usage is the share of max_tokens that recent responses used.
type usage struct {
	mean      float64
	deviation float64 // mean absolute deviation
}

// lengthEstimator predicts the length of responses from recent ones of the same account.
type lengthEstimator struct{ usages map[sizeKey]usage }

func newLengthEstimator() *lengthEstimator { return &lengthEstimator{usages: map[sizeKey]usage{}} }

func sizeKeyOf(account string, maxTokens int) sizeKey {
	return sizeKey{account, bits.Len(uint(maxTokens))}
}

// allAccounts is the account under which the responses of all accounts are recorded. It serves for accounts that have
// no responses of that size yet.
const allAccounts = ""

// estimate returns the expected length of a response and a cautious upper estimate. known is false if no response of
// that size was recorded yet; then both are the limit, which callers often set far above what they need.
func (e *lengthEstimator) estimate(account string, maxTokens int) (expected, cautious float64, known bool) {
	limit := float64(maxTokens)
	u, ok := e.usages[sizeKeyOf(account, maxTokens)]
	if !ok {
		u, ok = e.usages[sizeKeyOf(allAccounts, maxTokens)]
	}
	if !ok {
		return limit, limit, false
	}
	return max(1, limit*u.mean), max(1, limit*min(1, u.mean+cautiousDeviations*u.deviation)), true
}

func (e *lengthEstimator) learn(account string, maxTokens, tokens int) {
	if maxTokens <= 0 {
		return
	}
	share := min(1, float64(tokens)/float64(maxTokens))
	e.learnKey(sizeKeyOf(account, maxTokens), share)
	e.learnKey(sizeKeyOf(allAccounts, maxTokens), share)
}

func (e *lengthEstimator) learnKey(k sizeKey, share float64) {
	u, ok := e.usages[k]
	if !ok {
		e.evict()
		// The first response moves the estimate only halfway from the limit, so that one short response does not make
		// all work of the account short.
		e.usages[k] = updateUsage(usage{mean: 1}, share, 0.5)
		return
	}
	e.usages[k] = updateUsage(u, share, learningRate)
}

// updateUsage returns u after a response with the given share. rate is the weight of that response.
func updateUsage(u usage, share, rate float64) usage {
	diff := share - u.mean
	if diff < 0 {
		u.deviation += rate * (-diff - u.deviation)
	} else {
		u.deviation += rate * (diff - u.deviation)
	}
	u.mean += rate * diff
	return u
}

// evict makes room for one estimate by dropping an arbitrary one, which the next responses restore.
func (e *lengthEstimator) evict() {
	if len(e.usages) < maxEstimates {
		return
	}
	for k := range e.usages {
		delete(e.usages, k)
		return
	}
}
