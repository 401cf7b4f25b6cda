package intake

import (
	"fmt"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// maxSpecBytes is the size of the largest task specification accepted.
	maxSpecBytes = 4000
	// maxTasks bounds the tasks of all occurrences of a job, to bound the memory of
	// the pool's owner.
	maxTasks = 20000
)

// validate returns all problems of a job as one error, nil if it is valid.
func (in *Intake) validate(job *work.Job) error {
	var problems []fault.Problem
	add := func(path, value, allowed string) {
		problems = append(problems, fault.Problem{Path: path, Value: value, Allowed: allowed})
	}
	if len(job.Spec) > maxSpecBytes {
		add("spec", fmt.Sprintf("%d bytes", len(job.Spec)), fmt.Sprintf("up to %d bytes", maxSpecBytes))
	}
	if len(job.Steps) == 0 {
		add("steps", "none", "at least one")
	}
	largest := in.replica.Pool(job.Pool).Capacity.MaxCapacity
	tasks := 0
	for i := range job.Steps {
		s := &job.Steps[i]
		path := fmt.Sprintf("steps[%d]", i)
		if s.Count < 1 {
			add(path+".count", fmt.Sprint(s.Count), "at least 1")
		}
		tasks += max(s.Count, 0)
		if s.Need.CPU < 0 || s.Need.MemMB < 0 || s.Need.Accel < 0 {
			add(path+".need", fmt.Sprint(s.Need), "no negative amounts")
		}
		if largest != (work.Resources{}) && !largest.Fits(s.Need) {
			add(path+".need", fmt.Sprint(s.Need), fmt.Sprintf("what the largest worker has: %v", largest))
		}
		for _, dep := range s.After {
			if dep < 0 || dep >= i {
				add(path+".after", fmt.Sprint(dep), "an earlier step")
			}
		}
	}
	if job.Schedule.Count < 0 || job.Schedule.Every < 0 {
		add("schedule", fmt.Sprintf("%d times, every %s", job.Schedule.Count, job.Schedule.Every), "no negative values")
	}
	if times := job.Occurrences(); tasks > maxTasks/times {
		add("steps", fmt.Sprintf("%d tasks, %d times", tasks, times), fmt.Sprintf("up to %d in all", maxTasks))
	}
	if problems != nil {
		return fault.InvalidDocument("job is invalid", problems)
	}
	return nil
}
