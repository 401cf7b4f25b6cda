package gangs

import (
	"context"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// spillDelay is the time after an owner added a job before the job may move to
	// another failure domain with free capacity.
	spillDelay = 5 * time.Second
	// summaryLag bounds how long a moved job is missing from the summary of its
	// new failure domain.
	summaryLag = 3 * time.Second
)

// spill moves waiting jobs to failure domains that have free capacity and no
// queued jobs. Because summaries lag, recently moved jobs count as using
// capacity there.
func (r *Runner) spill(ctx context.Context, waiting []scheduler.Verdict) {
	targets := r.spillTargets()
	now := time.Now()
	for _, v := range waiting {
		if len(targets) == 0 {
			return
		}
		e, ok := r.entries[v.Key]
		if !ok || !e.awaitsPlacement() || e.job.Spec.Domain != "" || now.Sub(e.addedAt) < spillDelay {
			continue
		}
		i := firstFitting(targets, e.job)
		if i < 0 {
			continue
		}
		to := targets[i].Domain
		r.recordSpill(targets, i, e.job.Spec.Size())
		r.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
			return o.move(ctx, to)
		})
	}
}

// recordSpill subtracts the accelerators of a moved job from the target's capacity
// in this and in later decisions.
func (r *Runner) recordSpill(targets []port.DomainSummary, i, accelerators int) {
	r.recentSpills.Add(time.Now(), targets[i].Domain, accelerators)
	targets[i] = subtractFree(targets[i], accelerators)
}

// spillTargets returns the other failure domains that aren't evacuated and have
// no queued jobs, with the capacity of recently moved jobs subtracted.
func (r *Runner) spillTargets() []port.DomainSummary {
	now := time.Now()
	var out []port.DomainSummary
	for _, s := range r.openDomains() {
		if s.QueuedJobs == 0 {
			out = append(out, subtractFree(s, r.recentSpills.Sum(now, s.Domain)))
		}
	}
	return out
}

// subtractFree returns a summary with fewer free accelerators. LargestBlock is
// reduced only if it exceeds the free accelerators that remain, as another rack
// may have a block of the same size.
func subtractFree(s port.DomainSummary, accelerators int) port.DomainSummary {
	s.FreeAccelerators -= accelerators
	s.LargestBlock = min(s.LargestBlock, s.FreeAccelerators)
	return s
}

// firstFitting returns the index of the first failure domain in which the job
// is likely to fit now, or -1.
func firstFitting(targets []port.DomainSummary, j structs.Job) int {
	for i, s := range targets {
		free := s.LargestBlock
		if j.Spec.Adjacency == structs.AdjacencyDomain {
			free = s.FreeAccelerators
		}
		if free >= j.Spec.Size() && !hasTried(j, s.Domain) {
			return i
		}
	}
	return -1
}

func hasTried(j structs.Job, domain string) bool {
	return slices.Contains(j.InfeasibleDomains, domain)
}
