package planner

import (
	"cmp"
	"maps"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/utility"
)

// defaultStopDelay is the longest time that a stop takes on any platform so far.
const defaultStopDelay = 900 * time.Millisecond

func (p *Planner) stopDelay() time.Duration { return cmp.Or(p.settings.StopDelay, defaultStopDelay) }

// occurrence identifies an occurrence of a job, which has its own objective.
type occurrence struct {
	job    *job
	number int
}

func (u *unit) occurrenceKey() occurrence { return occurrence{u.job, u.occurrence} }

// stopCost is the cost of stopping a unit, in core-seconds of a job of priority 0.
type stopCost struct {
	stop float64 // without the loss
	loss float64 // of value of the unit's job by the delay
}

func (c stopCost) total() float64 { return c.stop + c.loss }

// stopCosts computes what it costs to stop units. It keeps what doesn't depend on the unit
// that they are stopped for, as many searches of a pass consider the same units.
type stopCosts struct {
	p     *Planner
	now   time.Duration
	left  map[occurrence]time.Duration // known results of timeLeft
	known map[*unit]stopEstimate       // known results of estimate
}

// stopEstimate is what is expected of a unit and of its job.
type stopEstimate struct {
	stop     float64       // see stopCost
	figures  utility.Job   // if nothing of the job is stopped
	redoneIn time.Duration // until the unit's path ends if the discarded work is done again at once
}

func newStopCosts(p *Planner, now time.Duration) *stopCosts {
	return &stopCosts{p: p, now: now, left: map[occurrence]time.Duration{}, known: map[*unit]stopEstimate{}}
}

// of returns the cost of stopping the unit alone for another one. It can start again after
// the stop and the run of the other unit, which takes its capacity, at the earliest. Work
// whose completion isn't due at any time loses nothing by the delay.
func (c *stopCosts) of(u, other *unit) stopCost {
	e := c.estimate(u)
	cost := stopCost{stop: e.stop}
	if !u.spec().LongLived && !u.spec().BestEffort {
		after := e.redoneIn + c.p.stopDelay() + other.estimate()
		cost.loss = e.figures.StopLoss(u.job.weight, max(e.figures.Remaining, after))
	}
	return cost
}

func (c *stopCosts) estimate(u *unit) stopEstimate {
	e, ok := c.known[u]
	if !ok {
		discarded, redone := 0.0, time.Duration(0)
		for _, r := range u.runs {
			discarded += discardedWork(u, r, c.now)
			redone = max(redone, discardedTime(u, r, c.now))
		}
		e = stopEstimate{
			stop:    utility.StopCost(u.job.rec.Job.Priority, discarded, u.cores()),
			figures: c.p.figures(u, c.now), redoneIn: c.p.pathLeft(u, c.now) + redone,
		}
		e.figures.Remaining = c.timeLeft(u.occurrenceKey())
		c.known[u] = e
	}
	return e
}

// forget drops what is known of an occurrence of which a unit has been stopped. What the job
// has lost by that isn't lost again by the next stop.
func (c *stopCosts) forget(key occurrence) {
	delete(c.left, key)
	maps.DeleteFunc(c.known, func(u *unit, _ stopEstimate) bool { return u.occurrenceKey() == key })
}

// timeLeft returns the least time in which the occurrence is expected to complete if
// nothing of it is stopped: that of its longest unit. Units that wait are taken to start now.
func (c *stopCosts) timeLeft(key occurrence) time.Duration {
	left, ok := c.left[key]
	if !ok {
		for step := range key.job.rec.Job.Steps {
			waiting := false // one stands for all waiting units of the step
			for _, u := range key.job.unitsOf(key.number, step) {
				if u.phase == unitDone || u.spec().LongLived || u.phase != unitActive && waiting {
					continue
				}
				waiting = waiting || u.phase != unitActive
				left = max(left, c.p.pathLeft(u, c.now))
			}
		}
		c.left[key] = left
	}
	return left
}

// pathLeft returns the expected time until the unit and the work that depends on it are
// complete.
func (p *Planner) pathLeft(u *unit, now time.Duration) time.Duration {
	if u.phase != unitActive {
		return p.figures(u, now).Remaining
	}
	left := time.Duration(0)
	for _, r := range u.runs {
		left = max(left, r.remaining(now))
	}
	return left + u.job.criticalPaths[u.step] - u.spec().Estimate
}
