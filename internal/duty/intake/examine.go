package intake

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Examine returns the job that Submit would store now. It fails with the errors with which
// Submit would refuse the submission before it writes. It stores nothing, and doesn't log
// or count a refusal. The caller's key isn't verified. A configuration must be in force.
func (in *Intake) Examine(ctx context.Context, caller Caller, id string, sub work.Submission) (work.Job, error) {
	job, clockKnown := in.newJob(caller, id, sub)
	if _, _, err := in.check(&job, clockKnown); err != nil {
		return job, err
	}
	if r, _ := in.refusalOf(ctx, &job); r != nil {
		return job, r.err()
	}
	return job, nil
}

// CallerOf returns the caller that submits to a queue in the name of a workspace, "" for an
// anonymous caller. It fails with fault.NotReady if there is no configuration yet, or with
// fault.NotFound.
func (in *Intake) CallerOf(queue, workspace string) (Caller, error) {
	c := in.Config()
	if c == nil {
		return Caller{}, fault.New(fault.NotReady, "no configuration yet")
	}
	out := Caller{Workspace: workspace}
	for i := range c.Queues {
		if c.Queues[i].Name == queue {
			out.Queue = &c.Queues[i]
		}
	}
	if out.Queue == nil {
		return Caller{}, fault.New(fault.NotFound, "no queue "+queue)
	}
	if workspace == "" && !out.Queue.AllowAnonymous {
		return Caller{}, fault.New(fault.Unauthenticated, "the queue admits no callers without a workspace")
	}
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == workspace {
			return out, nil
		}
	}
	if workspace != "" {
		return Caller{}, fault.New(fault.NotFound, "no workspace "+workspace)
	}
	return out, nil
}

// ForecastAge returns the age of the forecast of a pool's owner. It reports false if there
// is none.
func (in *Intake) ForecastAge(pool string) (time.Duration, bool) {
	view := in.replica.Pool(pool)
	storeNow, known := in.store.Now()
	f := view.Forecast()
	if f == nil || !known {
		return 0, false
	}
	return max(storeNow-f.At, 0), true
}
