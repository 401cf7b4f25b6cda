package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/utility"
)

type ranked struct {
	unit  *unit
	score float64
}

// ranking returns the units that may be placed, most urgent first.
func (p *Planner) ranking(now time.Duration) []ranked {
	var out []ranked
	for _, j := range p.jobsByArrival {
		if !j.open() {
			continue
		}
		for _, u := range j.units {
			if u.phase != unitReady || now < u.notBefore || !p.due(u, now) || p.awaitsRecovery(u, now) {
				continue
			}
			out = append(out, ranked{u, p.score(u, now)})
		}
	}
	slices.SortStableFunc(out, func(a, b ranked) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	return out
}

// score returns the rank of the unit's job.
func (p *Planner) score(u *unit, now time.Duration) float64 { return p.figures(u, now).Rank() }

// figures returns the figures of the unit's job if it goes on with the unit.
func (p *Planner) figures(u *unit, now time.Duration) utility.Job {
	j := u.job
	remaining := j.criticalPaths[u.step]
	if u.checkpoint != "" {
		remaining -= u.spec().Estimate - u.estimate()
	}
	return utility.Job{
		Priority:  j.rec.Job.Priority,
		Objective: j.objective,
		Age:       p.waited(u, now),
		Remaining: remaining,
		LongLived: u.spec().LongLived,
		Started:   j.started,
		Size:      p.relativeSize(j),
	}
}

// relativeSize returns the job's weight relative to the mean of its queue, 0 if it has
// none.
func (p *Planner) relativeSize(j *job) float64 {
	m := p.queueMeanWeight[j.rec.Job.Queue]
	if m == nil || m.sum <= 0 || j.weight <= 0 {
		return 0
	}
	return j.weight * m.n / m.sum
}
