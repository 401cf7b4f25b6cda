package planner

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/utility"
)

// maxStopDelay is the longest time that a stop takes on any platform so far. A wait of this
// length and a stop end before claimExpiry.
const maxStopDelay = 900 * time.Millisecond

func (p *Planner) stopDelay() time.Duration {
	if p.settings.StopDelay > 0 {
		return min(p.settings.StopDelay, maxStopDelay)
	}
	return maxStopDelay
}

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
	again    time.Duration // until the unit's path ends if the discarded work is done again at once
	endsSoon bool
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
		after := e.again + c.p.stopDelay() + other.estimate()
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
			figures: c.p.figures(u, c.now), again: c.p.pathLeft(u, c.now) + redone, endsSoon: c.p.endsSoon(u, c.now),
		}
		e.figures.Remaining = c.timeLeft(u.occurrenceKey())
		c.known[u] = e
	}
	return e
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

// attempt identifies an attempt of a unit.
type attempt struct {
	unit    *unit
	nextRun int64 // the unit's during the attempt
}

// mayAwait reports whether the end of a candidate is awaited instead of stopping it, because
// it is expected before a stop would take effect. Only work of a lower priority is, which may
// be stopped later in any case. Within a guarantee, the wait and a later stop must both fit
// into the time that it leaves.
func (s *victimSearch) mayAwait(victim *unit) bool {
	if victim.job.rec.Job.Priority <= s.u.job.rec.Job.Priority || !s.v.stopCosts.estimate(victim).endsSoon {
		return false
	}
	return !s.withinGuarantee || s.p.waited(s.u, s.v.now)+2*s.p.stopDelay() <= s.p.settings.ReclaimWithin
}

// endsSoon reports whether all runs of the unit are expected to end before a stop would take
// effect. The end must follow from the observed progress, since declared estimates are off by
// up to 90%, and must not be overdue by more than a stop takes. Best-effort tasks progress too
// unevenly for that.
func (p *Planner) endsSoon(u *unit, now time.Duration) bool {
	if u.spec().LongLived || u.spec().BestEffort || u.phase != unitActive || len(u.runs) < u.count {
		return false
	}
	for _, r := range u.runs {
		gained := r.percent - r.basePercent
		if r.phase != runRunning || gained < minObservedPercents || r.startedAt != r.confirmedAt {
			return false
		}
		end := r.progressAt + (r.progressAt-r.startedAt)/time.Duration(gained)*time.Duration(100-r.percent)
		if end > now+p.stopDelay() || end < now-p.stopDelay() {
			return false
		}
	}
	return true
}

// stopOverdue stops the work whose end a claim has awaited for as long as a stop takes, so
// that a wrong expectation delays the claiming unit by no more than that. A claim on work that
// may not be stopped any more is dropped.
func (p *Planner) stopOverdue(now time.Duration) {
	for _, j := range p.jobsByArrival {
		for _, u := range j.units {
			if u.claim == nil || len(u.awaited) == 0 || now-u.claimedAt < p.stopDelay() {
				continue
			}
			for _, a := range u.awaited {
				switch {
				case a.unit.phase != unitActive || a.unit.nextRun != a.nextRun:
				case p.mayDisrupt(a.unit, now):
					p.stopVictim(a.unit, u, now)
				default:
					u.claim = nil
				}
			}
			u.awaited = nil
		}
	}
}
