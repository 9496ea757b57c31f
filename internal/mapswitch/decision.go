package mapswitch

import (
	"errors"
	"fmt"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Decision is whether an epoch is committed or aborted.
type Decision struct {
	Epoch  int64 `json:"epoch"`
	Commit bool  `json:"commit"`
}

// Errors of the decisions.
var (
	// ErrDiverged means that one rank committed an epoch that another aborted. Only a restart of the group resolves
	// this.
	ErrDiverged = errors.New("ranks decided differently on an epoch")
	// ErrCannotHold means that an engine of the group cannot hold a step. The map can then be changed only while the
	// group is drained and before it restarts.
	ErrCannotHold = errors.New("an engine of the group cannot hold a step")
	// ErrPending means that the group has not reached the step of the last change. If another change were committed
	// before that step, it would replace the last change at the ranks that are one step behind, but not at the others.
	ErrPending = errors.New("the last change is not in effect yet")
)

// nextCoordinatorNumber returns a coordinator number above all that the ranks know. It is at least floor, because a
// rank whose engine ignores fencing numbers forgets the coordinator when its local process restarts.
func nextCoordinatorNumber(replies []wire.GroupReply, floor int64) int64 {
	number := floor
	for _, r := range replies {
		if r.Coordinator != nil {
			number = max(number, r.Coordinator.Number+1)
		}
		number = max(number, r.State.Fence>>fenceRestartBits+1)
	}
	return number
}

// highestEpoch returns the highest epoch that any rank has seen.
func highestEpoch(states []port.RankState) int64 {
	last := int64(0)
	for _, s := range states {
		last = max(last, s.Epoch, s.Decided, s.Committed)
		for _, e := range s.Staged {
			last = max(last, e)
		}
		for _, e := range s.Loading {
			last = max(last, e)
		}
		if s.Hold != nil {
			last = max(last, s.Hold.Epoch)
		}
	}
	return last
}

// highestStep returns the highest step that any rank has begun.
func highestStep(states []port.RankState) int64 {
	last := int64(0)
	for _, s := range states {
		last = max(last, s.Step)
	}
	return last
}

// recoveryDecision returns the decision on the last epoch, and whether an earlier coordinator may have left that epoch
// undecided at some rank. The states must be read after every rank has started to refuse older coordinators.
//
// If any rank has committed the epoch, all ranks had promised not to begin its step before the decision, and the
// decision is to commit. Otherwise no rank can have begun a step with the new map, so that it is safe to abort whether
// or not all ranks have promised.
func recoveryDecision(states []port.RankState) (Decision, bool, error) {
	epoch := highestEpoch(states)
	committed, aborted, undecided := 0, 0, 0
	for _, s := range states {
		switch {
		case s.Committed == epoch:
			committed++
		case s.Decided >= epoch:
			aborted++
		default:
			undecided++
		}
	}
	if committed > 0 && aborted > 0 {
		return Decision{}, false, fmt.Errorf("%w: epoch %d committed at %d ranks, aborted at %d", ErrDiverged, epoch, committed, aborted)
	}
	return Decision{Epoch: epoch, Commit: committed > 0}, undecided > 0, nil
}

// checkCanChange returns an error that says why the map cannot be changed while the group runs, or nil if it can.
func checkCanChange(states []port.RankState) error {
	for rank, s := range states {
		switch {
		case s.Epoch != states[0].Epoch:
			return fmt.Errorf("%w: rank %d uses epoch %d, rank 0 uses epoch %d", ErrDiverged, rank, s.Epoch, states[0].Epoch)
		case s.Next != nil:
			return fmt.Errorf("rank %d: %w", rank, ErrPending)
		case !s.CanHold:
			return fmt.Errorf("rank %d: %w", rank, ErrCannotHold)
		}
	}
	return nil
}

// switchDecision returns the decision on an epoch from the replies of all ranks to the request to prepare: commit if
// every rank holds the step, abort otherwise.
func switchDecision(epoch, step int64, replies []wire.GroupReply) Decision {
	for _, r := range replies {
		if r.Refusal != "" || !hasHold(r.State, epoch, step) {
			return Decision{Epoch: epoch}
		}
	}
	return Decision{Epoch: epoch, Commit: true}
}
