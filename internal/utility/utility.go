// Package utility defines what the completion of a job is worth to its caller, and what
// it costs to delay, stop or refuse the job. The order of starts, the choice of preemption
// victims and admission all use it, so that they weigh jobs alike. It reads no clock and
// keeps no state.
//
// Values and costs are in core-seconds of a job of priority 0, unless they are said to be
// relative to something else.
package utility

import (
	"math"
	"time"
)

const (
	// priorityRatio is the value of a job's work relative to the same work one
	// priority lower.
	priorityRatio = 6
	// lateFactor scales the value of a job that completes after its objective, but
	// within lateLimit times the objective. A later completion has no value.
	lateFactor = 0.3
	lateLimit  = 3
	// OverdueFactor ranks jobs that complete even later behind all others. Units
	// with a rank up to it get no workers reserved.
	OverdueFactor = 1e-4
	// fixedValueShare is the part of a job's value that doesn't depend on its
	// size.
	fixedValueShare = 0.3
	// startedBonus favours jobs that have started, because the work done so far
	// is wasted unless the rest completes.
	startedBonus = 1.5
	// discardCost is the cost of a discarded core-second in addition to its value
	// for its own job.
	discardCost = 1.0 / priorityRatio
	// disruptionCost is the cost of stopping a unit in addition to its discarded
	// work, in core-seconds per core.
	disruptionCost = 0.05
	// minRetrySpread is the least time over which the retries of refused jobs are spread.
	// Retry-After counts whole seconds, so that a shorter one would not spread them.
	minRetrySpread = 4 * time.Second
	// retryJitterShare is the part of that time that is left to chance. The rest puts the
	// jobs whose refusal costs more first.
	retryJitterShare = 0.5
)

// Job holds the figures of a job on which its value depends.
type Job struct {
	Priority int
	// Objective is the latency objective, and Age the time since the job was submitted
	// or its occurrence was due.
	Objective, Age time.Duration
	// Remaining is the estimated length of the critical path that is left.
	Remaining time.Duration
	// LongLived jobs never complete. Their value doesn't depend on the time.
	LongLived bool
	Started   bool
	// Size is the job's work relative to the mean of its queue, 0 if that isn't known.
	Size float64
}

// Rank returns the value of the job relative to its work if it continues now. Jobs of a
// higher rank start first.
func (j Job) Rank() float64 { return j.rankAt(j.timeliness()) }

// rankAt returns the rank at a timeliness.
func (j Job) rankAt(timeliness float64) float64 {
	value := WorkValue(j.Priority) * timeliness
	if j.Started {
		value *= startedBonus
	}
	return value * sizeFactor(j.Size)
}

// timeliness returns the share of the job's value that is left for its caller if the rest
// of its work begins now. It is OverdueFactor if nothing is left, which keeps the order of
// such jobs.
func (j Job) timeliness() float64 {
	switch end := j.Age + j.Remaining; {
	case j.LongLived, end <= j.Objective:
		return 1
	case end <= LastUseful(j.Objective):
		return lateFactor
	}
	return OverdueFactor
}

// OutranksFor returns for how long the job keeps at least a rank if it doesn't continue
// meanwhile, 0 if its rank is lower now.
func (j Job) OutranksFor(rank float64) time.Duration {
	best, late := j.rankAt(1), j.rankAt(lateFactor)
	slack := -j.Age - j.Remaining
	switch {
	case best < rank:
		return 0
	case j.LongLived:
		return math.MaxInt64
	case late >= rank:
		slack += LastUseful(j.Objective)
	default:
		slack += j.Objective
	}
	return max(slack, 0)
}

// LastUseful returns the age up to which the completion of a job with an objective has any
// value for its caller.
func LastUseful(objective time.Duration) time.Duration { return lateLimit * objective }

// StopLoss returns the value that the caller of the job loses if the rest of its work, in
// all of work core-seconds, takes remaining because a unit is stopped.
func (j Job) StopLoss(work float64, remaining time.Duration) float64 {
	after := j
	after.Remaining = remaining
	lost := max(j.callerShare()-after.callerShare(), 0)
	return WorkValue(j.Priority) * work * valuePerWork(j.Size) * lost
}

// callerShare is timeliness without the order of jobs of which nothing is left.
func (j Job) callerShare() float64 {
	if share := j.timeliness(); share > OverdueFactor {
		return share
	}
	return 0
}

// WorkValue returns the value of a core-second of a job of a priority.
func WorkValue(priority int) float64 { return math.Pow(priorityRatio, -float64(priority)) }

// sizeFactor returns the square root of valuePerWork. It favours small jobs.
func sizeFactor(size float64) float64 { return math.Sqrt(valuePerWork(size)) }

// valuePerWork returns a job's value per unit of work relative to that of a job of size 1.
func valuePerWork(size float64) float64 {
	if size <= 0 {
		return 1
	}
	return (fixedValueShare + (1-fixedValueShare)*size) / size
}

// StopCost returns the cost of stopping a unit of a job of a priority, which uses cores and
// whose runs lose discarded core-seconds. What the job loses by the delay, StopLoss tells.
func StopCost(priority int, discarded, cores float64) float64 {
	return (WorkValue(priority)+discardCost)*discarded + disruptionCost*cores
}

// RefusalCost returns the cost of refusing a job that has not started, relative to that of
// a job of priority 0 and size 1: the value that its completion would have had within its
// objective.
func (j Job) RefusalCost() float64 {
	size := j.Size
	if size <= 0 {
		size = 1
	}
	return WorkValue(j.Priority) * (fixedValueShare + (1-fixedValueShare)*size)
}

// RetryDelay returns when the caller of a refused job may retry if the job is expected to
// be admitted after a time. The jobs whose refusal costs most get the shortest times.
// jitter, from 0 to 1, spreads the retries of callers that were refused at once.
func (j Job) RetryDelay(admittedAfter time.Duration, jitter float64) time.Duration {
	cost := j.RefusalCost()
	spread := max(admittedAfter/2, minRetrySpread).Seconds()
	later := (retryJitterShare*jitter + (1-retryJitterShare)/(1+cost)) * spread
	return admittedAfter + time.Duration(later*float64(time.Second))
}
