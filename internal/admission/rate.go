package admission

import "time"

const (
	// defaultTokensPerSecond is the rate of one slot until a rate is known. It is the inverse of the inter-token
	// latency of 57 ms that the target system is built for.
	defaultTokensPerSecond = 17.5
	// callMSPerSecond is the rate of one slot of a plain service, whose work is counted in milliseconds.
	callMSPerSecond = 1000
	// minSampleTime and minSampleSlotTime are the least time, and slot time, over which a rate is sampled. Shorter
	// samples contain too few tokens of each slot.
	minSampleTime     = 500 * time.Millisecond
	minSampleSlotTime = 500 * time.Millisecond
	// sampleWeight is the weight of the latest sample in the rate.
	sampleWeight = 0.3
	// minTokensPerSecond keeps predictions finite while the target stalls.
	minTokensPerSecond = 0.01

	// longCallMS is the duration in milliseconds above which an operation of a plain service is long work.
	longCallMS = 1000
	// defaultCallMS is the duration of an operation that has not been seen yet.
	defaultCallMS = 50
	// maxOperations bounds the remembered operations. The configuration names a few for each service.
	maxOperations = 1024
)

// rateMeter measures how many tokens per second one busy slot generates.
type rateMeter struct {
	fixed       bool // the target is a plain service, whose rate is constant
	measured    bool
	ratePerSlot float64
	tokens      float64       // generated since the last sample
	slotTime    time.Duration // running time since the last sample, added up over the slots
	advancedAt  time.Time     // time up to which slotTime is counted
	sampledAt   time.Time
}

func newRateMeter(now time.Time, plainService bool) *rateMeter {
	s := &rateMeter{fixed: plainService, ratePerSlot: defaultTokensPerSecond, advancedAt: now, sampledAt: now}
	if plainService {
		s.ratePerSlot = callMSPerSecond
	}
	return s
}

func (s *rateMeter) rate() float64 { return s.ratePerSlot }

// setInitial sets the rate to use until one has been measured.
func (s *rateMeter) setInitial(perSlot float64) {
	if !s.fixed && !s.measured {
		s.ratePerSlot = max(minTokensPerSecond, perSlot)
	}
}

// advance adds the slot time up to now and samples the rate. It must be called before the number of running jobs
// changes.
func (s *rateMeter) advance(now time.Time, running int) {
	s.slotTime += time.Duration(running) * max(0, now.Sub(s.advancedAt))
	s.advancedAt = now
	if s.fixed || s.slotTime < minSampleSlotTime || now.Sub(s.sampledAt) < minSampleTime {
		return
	}
	sample := s.tokens / s.slotTime.Seconds()
	s.ratePerSlot = max(minTokensPerSecond, s.ratePerSlot+sampleWeight*(sample-s.ratePerSlot))
	s.measured = true
	s.tokens, s.slotTime, s.sampledAt = 0, 0, now
}

func (s *rateMeter) addTokens(tokens float64) { s.tokens += tokens }

// callDurations holds the mean duration in milliseconds of each operation of a plain service.
type callDurations struct{ meanMS map[string]float64 }

func newCallDurations() *callDurations { return &callDurations{meanMS: map[string]float64{}} }

func (d *callDurations) expected(operation string) float64 {
	if m, ok := d.meanMS[operation]; ok {
		return m
	}
	return defaultCallMS
}

func (d *callDurations) learn(operation string, took time.Duration) {
	ms := max(1, float64(took)/float64(time.Millisecond))
	m, ok := d.meanMS[operation]
	if !ok && len(d.meanMS) >= maxOperations {
		return
	}
	if !ok {
		m = ms
	}
	d.meanMS[operation] = m + learningRate*(ms-m)
}
