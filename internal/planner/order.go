package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// priorityRatio is how much more a job's work counts than the same work one
	// priority below.
	priorityRatio = 6
	// lateWorth is what a job is worth after its objective, up to lateLimit
	// times the objective.
	lateWorth = 0.3
	lateLimit = 3
	// hopelessWorth keeps jobs that come too late in any case behind all others.
	hopelessWorth = 1e-4
	// fixedShare is the part of a job's worth that doesn't depend on its size.
	fixedShare = 0.3
	// begunBonus favours jobs that have done part of their work, which is lost
	// unless the rest follows.
	begunBonus = 1.5
)

type ranked struct {
	unit  *unit
	score float64
}

// ranking returns the units that may be placed, the most urgent first.
func (p *Planner) ranking(now time.Duration) []ranked {
	var out []ranked
	for _, j := range p.open {
		if !j.open() {
			continue
		}
		for _, u := range j.units {
			if u.phase != unitReady || now < u.notBefore || !p.due(u, now) || p.awaited(u, now) {
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

// score is the worth of the unit's job for its remaining work.
func (p *Planner) score(u *unit, now time.Duration) float64 {
	j := u.job
	age := p.waited(u, now)
	rest := j.rec.Job.CriticalPath(u.step)
	if u.saved != "" {
		rest -= u.spec().Estimate - u.estimate()
	}
	worth := math.Pow(priorityRatio, -float64(j.rec.Job.Priority))
	switch end := age + rest; {
	case u.spec().LongLived: // earns by the time that it runs
	case end <= j.objective:
	case end <= lateLimit*j.objective:
		worth *= lateWorth
	default:
		worth *= hopelessWorth
	}
	if j.started {
		worth *= begunBonus
	}
	return worth * p.density(j)
}

// density is how much a job's size raises its worth for its work over that of
// a job of mean size.
func (p *Planner) density(j *job) float64 {
	m := p.queueMean[j.rec.Job.Queue]
	if m == nil || m.n == 0 || j.weight <= 0 {
		return 1
	}
	size := j.weight * m.n / m.sum
	return math.Sqrt((fixedShare + (1-fixedShare)*size) / size)
}
