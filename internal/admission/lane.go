package admission

// Lane is a class of work by its length. Each lane has its own queue.
type Lane int

// The lanes of short and of long work.
const (
	Short Lane = iota
	Long
	laneCount
)

// quantumTokens is the number of tokens, or of milliseconds for a plain service, that an account of weight 1 may start
// in one round of a lane. It is near the usual size of one job, so that a round starts about one job of each account.
var quantumTokens = [laneCount]float64{Short: 64, Long: 512}

// flow is the queue of one client account in a lane.
type flow struct {
	account  string
	weight   float64
	jobs     []*Job
	tokens   float64
	deficit  float64
	credited bool // got its quantum in this round
}

// lane is a queue with deficit round robin over client accounts.
type lane struct {
	quantumTokens float64
	flows         map[string]*flow
	ring          []*flow // flows with jobs, in the order of their turns
	next          int     // index in the ring of the flow whose turn it is
	tokens        float64
	weight        float64 // of all flows in the ring
	jobs          int
}

func newLane(quantum float64) *lane { return &lane{quantumTokens: quantum, flows: map[string]*flow{}} }

func (l *lane) push(j *Job, weight float64) {
	f := l.flows[j.work.Account]
	if f == nil {
		f = &flow{account: j.work.Account, weight: weight}
		l.flows[f.account] = f
		l.ring = append(l.ring, f)
		l.weight += weight
	}
	f.jobs = append(f.jobs, j)
	f.tokens += j.cost
	l.tokens += j.cost
	l.jobs++
}

// pop takes the next job by deficit round robin, or returns nil.
func (l *lane) pop() *Job {
	for len(l.ring) > 0 {
		l.next %= len(l.ring)
		f := l.ring[l.next]
		if !f.credited {
			f.credited = true
			f.deficit += l.quantumTokens * f.weight
		}
		j := f.jobs[0]
		if j.cost <= f.deficit {
			f.deficit -= j.cost
			l.removeAt(f, 0)
			return j
		}
		f.credited = false
		l.next++
	}
	return nil
}

// remove takes a job out of the lane at any position.
func (l *lane) remove(j *Job) {
	f := l.flows[j.work.Account]
	if f == nil {
		return
	}
	for i := range f.jobs {
		if f.jobs[i] == j {
			l.removeAt(f, i)
			return
		}
	}
}

func (l *lane) removeAt(f *flow, i int) {
	j := f.jobs[i]
	f.jobs = append(f.jobs[:i], f.jobs[i+1:]...)
	f.tokens -= j.cost
	l.tokens -= j.cost
	l.jobs--
	if len(f.jobs) == 0 {
		l.removeFlow(f)
	}
	if l.jobs == 0 {
		l.tokens = 0 // removes rounding errors
	}
}

// removeFlow removes a flow without jobs. It keeps no deficit, so that an account gets no credit for the time in which
// it has no jobs.
func (l *lane) removeFlow(f *flow) {
	delete(l.flows, f.account)
	l.weight -= f.weight
	for i := range l.ring {
		if l.ring[i] != f {
			continue
		}
		l.ring = append(l.ring[:i], l.ring[i+1:]...)
		if i < l.next {
			l.next--
		}
		return
	}
}

// tokensAhead returns the tokens that start before a new job of the account: those of the account's own queue, and as
// many of the others as their weights allow in the same rounds.
func (l *lane) tokensAhead(account string, weight float64) float64 {
	f := l.flows[account]
	if f == nil {
		return min(l.tokens, l.quantumTokens*l.weight)
	}
	return min(l.tokens, f.tokens*l.weight/f.weight)
}
