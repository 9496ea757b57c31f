package rankmodel

import "time"

// Record summarizes the steps of a group. Tests use it to check that all ranks changed their maps at the same step.
type Record struct {
	Steps   int64   `json:"steps"`   // steps that all ranks have begun
	Mixed   []int64 `json:"mixed"`   // steps in which two ranks used different maps
	Changes []int64 `json:"changes"` // steps whose map differs from the map of the previous step
	Epoch   int64   `json:"epoch"`   // epoch of the map that was used last
}

// Record returns the summary of the steps so far.
func (g *Group) Record() Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Record{Mixed: []int64{}, Changes: []int64{}}
	last := int64(1) // epoch 0: the values in epochsUsed are one above the epoch
	for i, used := range g.epochsUsed {
		step := int64(i + 1)
		begun, first, mixed := 0, int64(0), false
		for _, epoch := range used {
			if epoch == 0 {
				continue
			}
			begun++
			mixed = mixed || (first != 0 && first != epoch)
			first = epoch
		}
		if mixed {
			r.Mixed = append(r.Mixed, step)
		}
		if first != last && begun > 0 {
			r.Changes = append(r.Changes, step)
			last = first
		}
		if begun == len(used) {
			r.Steps = step
		}
	}
	r.Epoch = last - 1
	return r
}

// StepStarts returns the time at which the first rank began each step. The first element belongs to step 1.
func (g *Group) StepStarts() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]time.Time(nil), g.stepStarts...)
}
