package status

import "fmt"

// Problem is a condition of one process that an operator should look at.
type Problem struct {
	Process string `json:"process"`
	Message string `json:"message"`
}

// Problems returns the problems of the processes in their order, and then one for each unreachable process. A process
// whose configuration differs from the first one seen with the same revision is a problem.
func (f *Fleet) Problems() []Problem {
	var out []Problem
	highest, hashes := f.HighestRevision(), map[int64]string{}
	for _, p := range f.Processes {
		out = append(out, processProblems(p, highest)...)
		if first, ok := hashes[p.Revision]; ok && first != p.Hash {
			out = append(out, Problem{p.Name, fmt.Sprintf("revision %d has another content here than elsewhere", p.Revision)})
		} else if !ok {
			hashes[p.Revision] = p.Hash
		}
	}
	for _, u := range f.Unreachable {
		out = append(out, Problem{u.Name, "unreachable: " + u.Error})
	}
	return out
}

func processProblems(p Process, highest int64) []Problem {
	var out []Problem
	add := func(format string, args ...any) {
		out = append(out, Problem{p.Name, fmt.Sprintf(format, args...)})
	}
	if !p.Ready && !p.Draining {
		add("not ready")
	}
	if p.Revision < highest {
		add("revision %d is behind %d", p.Revision, highest)
	}
	for _, a := range p.Alarms {
		add("%s: %s", a.Name, a.Detail)
	}
	return out
}
