package intake

import (
	"fmt"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// maxSpecBytes is the size of the largest task specification accepted.
const maxSpecBytes = 4000

// progressBytesPerTask bounds how much a job's row grows with the progress of a task that
// must be stored.
const progressBytesPerTask = 2

// encode returns the row of a new job. It fails with fault.Invalid if the store couldn't
// take it, now or with the job's progress.
func (in *Intake) encode(job *work.Job) ([]byte, error) {
	value, err := work.Encode(work.Record{Job: *job, State: work.Queued})
	if err != nil {
		return nil, err
	}
	tasks, _ := job.Tasks() // checked before
	limit := in.store.Limits().ValueBytes - progressBytesPerTask*tasks
	if len(value) > limit {
		return nil, fault.InvalidDocument("job is too large", []fault.Problem{{
			Path: "steps", Value: fmt.Sprintf("%d bytes as stored, with %d tasks", len(value), tasks), Allowed: fmt.Sprintf("up to %d bytes", limit),
		}})
	}
	return value, nil
}

// validate returns all problems of a job as one error, nil if it is valid.
func (in *Intake) validate(job *work.Job) error {
	problems := job.Check()
	add := func(path, value, allowed string) {
		problems = append(problems, fault.Problem{Path: path, Value: value, Allowed: allowed})
	}
	if len(job.Spec) > maxSpecBytes {
		add("spec", fmt.Sprintf("%d bytes", len(job.Spec)), fmt.Sprintf("up to %d bytes", maxSpecBytes))
	}
	largest := in.replica.Pool(job.Pool).Capacity.MaxCapacity
	for i := range job.Steps {
		if need := job.Steps[i].Need; largest != (work.Resources{}) && !largest.Fits(need) {
			add(fmt.Sprintf("steps[%d].need", i), fmt.Sprint(need), fmt.Sprintf("what the largest worker has: %v", largest))
		}
	}
	if problems != nil {
		return fault.InvalidDocument("job is invalid", problems)
	}
	return nil
}
