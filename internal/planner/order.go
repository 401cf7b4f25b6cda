package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// priorityRatio is the value of a job's work relative to the same work one
	// priority lower.
	priorityRatio = 6
	// lateFactor scales the value of a job expected to complete after its objective,
	// but within lateLimit times the objective.
	lateFactor = 0.3
	lateLimit  = 3
	// overdueFactor ranks jobs that complete even later behind all others. Units
	// with a score up to it get no workers reserved.
	overdueFactor = 1e-4
	// fixedValueShare is the part of a job's value that doesn't depend on its
	// size.
	fixedValueShare = 0.3
	// startedBonus favours jobs that have started, because the work done so far
	// is wasted unless the rest completes.
	startedBonus = 1.5
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

// score returns the value of the unit's job relative to its work.
func (p *Planner) score(u *unit, now time.Duration) float64 {
	j := u.job
	age := p.waited(u, now)
	remaining := j.criticalPaths[u.step]
	if u.checkpoint != "" {
		remaining -= u.spec().Estimate - u.estimate()
	}
	value := math.Pow(priorityRatio, -float64(j.rec.Job.Priority))
	switch end := age + remaining; {
	case u.spec().LongLived: // has no completion time to compare with the objective
	case end <= j.objective:
	case end <= lateLimit*j.objective:
		value *= lateFactor
	default:
		value *= overdueFactor
	}
	if j.started {
		value *= startedBonus
	}
	return value * p.sizeFactor(j)
}

// sizeFactor returns the square root of the job's value per unit of work relative
// to that of a job of mean weight in its queue. It favours small jobs, and is 1 for
// a job without weight.
func (p *Planner) sizeFactor(j *job) float64 {
	m := p.queueMeanWeight[j.rec.Job.Queue]
	if m == nil || m.sum <= 0 || j.weight <= 0 {
		return 1
	}
	size := j.weight * m.n / m.sum
	return math.Sqrt((fixedValueShare + (1-fixedValueShare)*size) / size)
}
