package gangs

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// entry is a job that isn't in a final state.
type entry struct {
	job      structs.Job
	revision int64
	// busy is set while an operation runs.
	busy bool
	// cancelled is set once the caller cancelled the job.
	cancelled bool
	// memberStates holds the last reported state of each member.
	memberStates []structs.TaskState
	// avoidWorkers lists the workers on which a member failed or couldn't be
	// reserved or started.
	avoidWorkers []string
	// queuedAt is the time at which the job last entered the queue: that of its
	// submission, or that of the end of its last operation under this owner, even
	// one that failed and left it queued, unless a start was withdrawn.
	queuedAt time.Time
	// guaranteedSince is the time at which a decision first found that the job
	// is within a guarantee but waits for a reclaim. It is zero before that and
	// after a start.
	guaranteedSince time.Time
	// expectedRun is the run time expected when the attempt was started or when
	// this owner loaded the job, whichever was later.
	expectedRun time.Duration
	// addedAt is the time at which this owner added the job.
	addedAt time.Time
	// leaseExpiry is the time by which the previous owner's leases of the attempt
	// must have expired if they are no longer renewed. It is zero for an attempt
	// that this owner started, except for the first one of a job loaded as queued.
	leaseExpiry time.Time
	// waitReason is the reason of the last decision that let the queued job wait,
	// or "".
	waitReason string
	// retryAt is the earliest time of the next operation after a failed one, or
	// zero if no retry is pending.
	retryAt time.Time
	// stoppingSince is the time at which the stop in progress began, or zero. It is
	// also zero while finishStop is retried.
	stoppingSince time.Time
}

// leaseRef identifies the job and the index of the member that hold a lease.
type leaseRef struct {
	key    structs.JobKey
	member int
}

// awaitsPlacement reports whether the job is queued and can be started.
func (e *entry) awaitsPlacement() bool {
	return e.job.State == structs.JobQueued && !e.busy && !e.cancelled && e.retryAt.IsZero()
}
