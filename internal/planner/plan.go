package planner

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/utility"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// minReservations is the number of waiting units of each priority that get workers
	// reserved in a pool of any size. More would leave a small pool too little capacity to
	// backfill; see view.maxReservations.
	minReservations = 2
	// workersPerReservation is the number of workers for each reservation in pools of more
	// than 80 workers. With two reservations on 350 workers, gangs of ten workers and more hardly ever
	// started while single tasks were waiting, which took each accelerator that became free.
	workersPerReservation = 40
	// maxUnplaceable limits the waiting steps that one pass fails to place although the
	// workers could hold them. It bounds the time of a pass over a long queue. The last
	// half of them are those that follow on the ones of the pass before, so that all steps
	// have their turn.
	maxUnplaceable = 120
	// stalledAfter is the least time without progress after which a run counts as
	// stalled. Tasks report whole percents, and most run for less than 75 s, which is
	// 750 ms per percent.
	stalledAfter = 2500 * time.Millisecond
	// stalledPercents is the number of percents that a slower run must have missed.
	stalledPercents = 3
	// maxStallDoublings limits how often the time is doubled for a unit that has
	// stalled before. A task that is only slow then runs to its end.
	maxStallDoublings = 5
)

// stallTimeout returns how long the run may go without progress before it counts as
// stalled.
func (r *run) stallTimeout() time.Duration {
	timeout := stalledAfter
	if gained := r.percent - r.basePercent; gained > 0 {
		timeout = max(timeout, stalledPercents*(r.progressAt-r.startedAt)/time.Duration(gained))
	}
	return timeout << min(r.unit.stalls, maxStallDoublings)
}

// stepKey identifies a step of one occurrence inside the planner; work.StepID does
// so for callers.
type stepKey struct {
	job              *job
	occurrence, step int
}

func (u *unit) stepKey() stepKey { return stepKey{u.job, u.occurrence, u.step} }

// Plan runs one planning pass. It returns the orders of the pass and the stops
// ordered since the last one.
func (p *Planner) Plan(now time.Duration) []Order {
	p.finishRecovery(now)
	p.stopRemainingRuns(now)
	p.stopStalled(now)
	p.speeds.Update(now)
	p.awaitingTickets, p.reservations = nil, nil
	v := p.newView(now)
	p.placeClaims(v)
	p.pass(v, p.carryOut)
	orders := p.orders
	p.orders = nil
	return orders
}

// pass decides on the units that may be placed, most urgent first, and passes those
// decisions to apply that aren't to wait. apply must take the capacity used off the view.
func (p *Planner) pass(v *view, apply func(*unit, *view, decision)) {
	reservations := map[int]int{} // by priority
	unplaceable, failed := map[stepKey]bool{}, 0
	ranking := p.ranking(v.now)
	for k := 0; k < len(ranking); k++ {
		r := ranking[k]
		u := r.unit
		key := u.stepKey()
		if unplaceable[key] {
			continue
		}
		if failed == maxUnplaceable {
			p.nextRank = k
			break
		}
		ability := v.ability(u)
		d := p.decide(u, v, ability)
		if d.placements != nil {
			apply(u, v, d)
			continue
		}
		if u.claim != nil {
			continue
		}
		if u.job.rec.Job.PolicyControlled && ability != ineligible {
			p.awaitingTickets = append(p.awaitingTickets, u)
		}
		if d.eviction != nil {
			apply(u, v, d)
			continue
		}
		unplaceable[key] = true
		if ability != canHold {
			continue // waits for other workers, and for none of the capacity here
		}
		if failed++; failed == maxUnplaceable/2 {
			k = max(k, p.nextRank-1)
			p.nextRank = 0
		}
		priority := u.job.rec.Job.Priority
		if reservations[priority] < v.maxReservations(priority) && r.score > utility.OverdueFactor && v.reserve(u) {
			reservations[priority]++
		}
	}
}

// decision is what a pass does with a unit: it starts the unit, stops others for it or, if
// neither is set, lets it wait.
type decision struct {
	placements []placement // of the start
	why        string      // short reason for the start, for the log
	eviction   *eviction
}

// decide returns the decision on a ready unit. It has no effect.
func (p *Planner) decide(u *unit, v *view, ability ability) decision {
	spread := p.maySpread(u, v.now)
	if u.claim == nil && ability == canHold {
		if placements := v.place(u, spread); placements != nil {
			return decision{placements: placements, why: "fits"}
		}
	}
	if ability == canHold {
		if placements := v.placeOnIdle(u); placements != nil {
			return decision{placements: placements, why: "most capacity is idle"}
		}
	}
	if u.claim != nil || u.job.rec.Job.Priority != 0 || ability == ineligible {
		return decision{}
	}
	return decision{eviction: p.findEviction(u, v, p.withinGuarantee(u), spread)}
}

// carryOut starts the unit or stops others for it.
func (p *Planner) carryOut(u *unit, v *view, d decision) {
	if d.eviction != nil {
		p.preempt(u, v, d.eviction)
		return
	}
	u.claim = nil
	p.start(u, v, d.placements, d.why)
}

// maySpread reports whether a single-rack gang may use several racks because its
// guarantee is about to be missed. It then runs slower, but starts in time.
func (p *Planner) maySpread(u *unit, now time.Duration) bool {
	return u.job.rec.Job.Priority == 0 && p.waited(u, now) > p.settings.ReclaimWithin*6/10 && p.withinGuarantee(u)
}

// placeClaims places the units whose claimed capacity has become free, and sets
// that capacity aside for those whose victims still run. It drops claims older
// than claimExpiry.
func (p *Planner) placeClaims(v *view) {
	for _, j := range p.jobsByArrival {
		for _, u := range j.units {
			if u.claim == nil {
				continue
			}
			if u.claimExpired(v.now) {
				u.claim = nil
				continue
			}
			if v.now >= u.notBefore && v.fitsNow(u, u.claim) && p.hasTickets(u, u.claim, v.now) {
				placements := u.claim
				u.claim = nil
				p.start(u, v, placements, "reclaimed")
				continue
			}
			v.setAside(u, u.claim)
		}
	}
}

// claimExpired reports whether the unit no longer needs the capacity that it claims, or
// has waited for it for too long.
func (u *unit) claimExpired(now time.Duration) bool {
	return u.phase != unitReady || now-u.claimedAt > claimExpiry
}

func (p *Planner) start(u *unit, v *view, placements []placement, why string) {
	v.consume(u, placements)
	number := u.nextRun
	u.nextRun++
	u.phase = unitActive
	p.logPlacedAgain(u, number)
	u.previousWorkers, u.freedBy = nil, ""
	p.markChanged(u.job)
	index := u.first
	factor := 0.0
	for _, pl := range placements {
		factor = max(factor, p.speeds.Factor(pl.worker.info.ID))
	}
	for _, pl := range placements {
		if u.isServing() {
			p.stopBestEffort(pl.worker, v.now)
		}
		for range pl.count {
			r := p.addRun(u, index, pl.worker, number, runStarting, v.now)
			r.factor = factor
			if u.checkpoint != "" {
				r.basePercent = u.checkpointPercent
			}
			ticket, _ := p.ticket(u, pl.worker, v.now) // the placement has checked for a ticket
			p.orders = append(p.orders, Order{
				Kind: OrderStart, Worker: pl.worker.info.ID, Task: r.task, Run: number,
				Spec: u.job.rec.Job.Spec, Checkpoint: u.checkpoint, Ticket: ticket, Why: why,
				Domain: pl.worker.info.Zone, AfterLoss: u.runLost,
			})
			index++
		}
	}
}

// stopStalled stops attempts with runs that make no progress.
func (p *Planner) stopStalled(now time.Duration) {
	for _, j := range p.jobsByArrival {
		for _, u := range j.units {
			if u.phase == unitActive && !u.spec().LongLived {
				p.checkStalled(u, now)
			}
		}
	}
}

func (p *Planner) checkStalled(u *unit, now time.Duration) {
	if len(u.runs) < u.count {
		return
	}
	var stalled []*run
	for _, r := range u.runs {
		if r.phase != runRunning {
			return
		}
		if r.percent < 99 && r.worker.reachable && now-max(r.progressAt, r.startedAt) > r.stallTimeout() {
			stalled = append(stalled, r)
		}
	}
	if len(stalled) == 0 {
		return
	}
	for _, r := range stalled {
		p.log(LogEntry{Event: EventRunStalled, Job: r.task.Job, Worker: r.worker.info.ID, Task: r.task, Run: r.number, Count: r.percent})
		if (len(stalled) < u.count || u.count == 1) && r.worker.health.stalled(now) {
			p.logQuarantine(r.worker, "a run stalled")
		}
		if u.avoid == nil {
			u.avoid = map[string]bool{}
		}
		u.avoid[r.worker.info.ID] = true
	}
	u.stalls++
	p.stopAttempt(u, now, "stalled")
}

// MaxCapacity returns the maximum capacity of any worker that this owner has seen
// listed, separately for each resource.
func (p *Planner) MaxCapacity() work.Resources {
	var capacity work.Resources
	for _, w := range p.workers {
		if w.listedBefore {
			capacity = capacity.Max(w.info.Capacity)
		}
	}
	return capacity
}
