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
	// avoidWorkers lists the workers on which the job failed.
	avoidWorkers []string
	// queuedAt is when the job last entered this failure domain's queue.
	queuedAt time.Time
	// guaranteedSince is when a decision first found the waiting job to be
	// within a guarantee. It is zero before that and after a start.
	guaranteedSince time.Time
	// expectedRun is the run time expected when the attempt was started.
	expectedRun time.Duration
	// addedAt is when this owner added the job.
	addedAt time.Time
	// leaseExpiry is when the previous owner's leases of the attempt must have
	// expired if they are no longer renewed. It is zero for an attempt
	// that this owner started.
	leaseExpiry time.Time
	// waitReason is why the job waits.
	waitReason string
	// retryAt is the earliest time of the next operation after a failed one. It
	// is zero after a successful one.
	retryAt time.Time
	// stoppingSince is when the stop in progress began, or zero.
	stoppingSince time.Time
}

type leaseRef struct {
	key    structs.JobKey
	member int
}

// awaitsPlacement reports whether the job is queued and can be started.
func (e *entry) awaitsPlacement() bool {
	return e.job.State == structs.JobQueued && !e.busy && !e.cancelled && e.retryAt.IsZero()
}
