package gangs

import (
	"cmp"
	"context"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxMovesPerDecision bounds the jobs that one decision moves out of an evacuated
// failure domain, because each move is a commit to the table.
const maxMovesPerDecision = 64

// evacuated reports whether nothing may start in the failure domain.
func (r *Runner) evacuated() bool {
	return r.deps.Config().Evacuated[r.grant.Domain]
}

// leaveEvacuated moves the waiting jobs that aren't pinned to the evacuated
// failure domain: to one with free capacity and no queued jobs or, if there is
// none, to the one with the fewest queued jobs. Unlike spill it moves them at
// once and also to failure domains with a queue, since no job can start here
// before the end of the evacuation.
func (r *Runner) leaveEvacuated(ctx context.Context, waiting []scheduler.Verdict) {
	idle, all := r.spillTargets(), r.openDomains()
	moves := 0
	for _, v := range waiting {
		if moves == maxMovesPerDecision {
			return
		}
		e, ok := r.entries[v.Key]
		if !ok || !e.awaitsPlacement() || e.job.Spec.Domain != "" {
			continue
		}
		to, ok := r.destination(e.job, idle, all)
		if !ok {
			continue
		}
		moves++
		r.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
			return o.move(ctx, to)
		})
	}
}

// destination chooses the failure domain for a job that leaves this one and
// counts the job in idle or all.
func (r *Runner) destination(j structs.Job, idle, all []port.DomainSummary) (string, bool) {
	if i := firstFitting(idle, j); i >= 0 {
		r.recordSpill(idle, i, j.Spec.Size())
		return idle[i].Domain, true
	}
	best := -1
	for i, s := range all {
		if !hasTried(j, s.Domain) && (best < 0 || lessQueued(s, all[best]) < 0) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	all[best].QueuedJobs++
	return all[best].Domain, true
}

func lessQueued(a, b port.DomainSummary) int {
	return cmp.Or(cmp.Compare(a.QueuedJobs, b.QueuedJobs), -cmp.Compare(a.FreeAccelerators, b.FreeAccelerators))
}

// openDomains returns the summaries of the other failure domains that aren't
// evacuated.
func (r *Runner) openDomains() []port.DomainSummary {
	evacuated := r.deps.Config().Evacuated
	return slices.DeleteFunc(slices.Clone(r.deps.DomainSummaries()), func(s port.DomainSummary) bool {
		return s.Domain == r.grant.Domain || evacuated[s.Domain]
	})
}
