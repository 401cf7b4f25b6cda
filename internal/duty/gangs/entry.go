package gangs

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// entry is a job that isn't at its end.
type entry struct {
	job      structs.Job
	revision int64
	// busy is set while an operation runs.
	busy bool
	// cancelled is set once the caller asked for the job's end.
	cancelled bool
	// states are the members' last known ones.
	states []structs.TaskState
	// avoid names workers on which the job failed.
	avoid []string
	// queued is when the job last entered the queue here.
	queued time.Time
	// promised is when a decision first said that the job is within a
	// guarantee; zero before that and once it was started.
	promised time.Time
	// expected is the run time expected when the attempt was begun.
	expected time.Duration
	// arrived is when this owner took the job in.
	arrived time.Time
	// lapse is when leases of the attempt have surely ended that no longer
	// are renewed; zero for an attempt that this owner began.
	lapse time.Time
	// reason is why the job waits.
	reason string
	// retryAt is the earliest time for the next operation after a failed one;
	// zero after one that succeeded.
	retryAt time.Time
	// stopping is when the stop in progress was ordered, or zero.
	stopping time.Time
}

type leaseOwner struct {
	key    structs.JobKey
	member int
}

// ready reports whether a job waits for a placement.
func (e *entry) ready() bool {
	return e.job.State == structs.JobQueued && !e.busy && !e.cancelled && e.retryAt.IsZero()
}
