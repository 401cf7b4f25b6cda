package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// claimExpiry is how long a unit may claim capacity. It releases the capacity if the
// victims don't report their results, for instance because a worker is unreachable.
const claimExpiry = 2500 * time.Millisecond

// findEviction chooses cheaper work to stop for a unit. Units within their workspace's
// guarantee may also reclaim what other workspaces have borrowed. It returns nil if no work
// may be stopped that frees enough capacity or, outside the guarantee, if stopping it costs
// more than the unit's own work.
func (p *Planner) findEviction(u *unit, v *view, withinGuarantee, spread bool) *eviction {
	avoid := v.mayAvoid(u, spread)
	var best *eviction
	for _, members := range v.groups(u, spread) {
		e := p.findVictims(u, v, members, withinGuarantee, avoid)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	if gain := u.cores() * u.estimate().Seconds(); !withinGuarantee && best.cost > gain {
		return nil
	}
	return best
}

// preempt stops the victims of an eviction and claims their capacity for the unit.
func (p *Planner) preempt(u *unit, v *view, e *eviction) {
	for _, victim := range e.victims {
		p.log(LogEntry{Event: EventPreempted, Job: victim.job.rec.Job.ID, Detail: "for " + u.job.rec.Job.ID, Count: len(victim.runs)})
		p.stopAttempt(victim, v.now, "preempted")
		v.stopCosts.forget(victim.occurrenceKey())
	}
	u.claim, u.claimedAt = e.placements, v.now
	v.setAside(u, u.claim)
}

// eviction is a choice of victims for a unit.
type eviction struct {
	victims    []*unit
	placements []placement // of the unit once the victims have stopped
	cost       float64     // of stopping the victims, in core-seconds of a job of priority 0
}

// victim is a unit that may be stopped.
type victim struct {
	*unit
	cost stopCost
}

// victimSearch is the state of one search for victims.
type victimSearch struct {
	p               *Planner
	u               *unit
	v               *view
	withinGuarantee bool
	free            map[int]work.Resources // by worker index
	placed          map[int]int            // tasks of u, by worker index
	siblings        map[int]int            // tasks of u's step that stay, by worker index
	chosen          map[*unit]bool
	lost            map[occurrence]float64 // by the chosen victims
	candidates      map[int][]victim       // by worker index
	// disrupted counts the chosen victims by step, for steps with a limit of
	// disruptions.
	disrupted map[stepKey]int
}

// findVictims chooses victims task by task, each time on the worker where another
// task costs least. It returns nil if the unit can't fit. With avoid, workers on which the
// unit failed or stalled are left out.
func (p *Planner) findVictims(u *unit, v *view, members []int, withinGuarantee, avoid bool) *eviction {
	s := &victimSearch{p: p, u: u, v: v, withinGuarantee: withinGuarantee,
		free: map[int]work.Resources{}, placed: map[int]int{}, siblings: map[int]int{}, chosen: map[*unit]bool{},
		lost: map[occurrence]float64{}, candidates: map[int][]victim{}, disrupted: map[stepKey]int{}}
	for _, i := range members {
		if v.allowed(u, i, avoid) {
			s.prepare(i)
		}
	}
	out := &eviction{}
	for range u.count {
		i, victims, cost := s.cheapest(members)
		if i < 0 {
			return nil
		}
		for _, victim := range victims {
			s.choose(&victim)
			out.victims = append(out.victims, victim.unit)
		}
		out.cost += cost
		s.free[i] = s.free[i].Sub(u.spec().Need)
		s.placed[i]++
	}
	for _, i := range members {
		if n := s.placed[i]; n > 0 {
			out.placements = append(out.placements, placement{v.workers[i], n})
		}
	}
	return out
}

// prepare computes the free capacity of worker i after pending stops, and lists
// the units there that may be stopped.
func (s *victimSearch) prepare(i int) {
	free := s.v.free[i]
	s.siblings[i] = s.v.claimed[claimKey{s.v.workers[i], s.u.stepKey()}]
	for _, r := range s.v.workers[i].runs {
		if r.phase == runStopping || r.unit == nil || r.unit.phase == unitStopping || r.unit.phase == unitDone || s.v.stopping[r.unit] {
			free = free.Add(r.need)
			continue
		}
		if r.unit.stepKey() == s.u.stepKey() {
			s.siblings[i]++
		}
		known := slices.ContainsFunc(s.candidates[i], func(c victim) bool { return c.unit == r.unit })
		if known || !s.mayStop(r.unit) {
			continue
		}
		s.candidates[i] = append(s.candidates[i], victim{r.unit, s.v.stopCosts.of(r.unit, s.u)})
	}
	s.free[i] = free
	slices.SortFunc(s.candidates[i], func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost.total(), b.cost.total()), int(a.nextRun-b.nextRun)+a.step-b.step)
	})
}

// costBesides returns the cost of choosing the victim besides the chosen ones and others. A
// job's loss counts once: its other units may then be stopped without a further loss.
func (s *victimSearch) costBesides(victim *victim, others []victim) float64 {
	if victim.cost.loss == 0 {
		return victim.cost.stop
	}
	lost := s.lost[victim.occurrenceKey()]
	for _, o := range others {
		if o.cost.loss > lost && o.occurrenceKey() == victim.occurrenceKey() {
			lost = o.cost.loss
		}
	}
	return victim.cost.stop + max(victim.cost.loss-lost, 0)
}

// mayStop reports whether the victim may be stopped for the unit. A victim of
// lower priority may be stopped within its step's limit of disruptions. A victim
// of priority 0 must also belong to another workspace that borrows capacity, and
// the unit must be within its guarantee and have waited longer than half of
// ReclaimWithin.
func (s *victimSearch) mayStop(victim *unit) bool {
	if victim.phase != unitActive || s.p.awaitsRecovery(victim, s.v.now) || victim.job.disruptionsAllowed(victim) <= 0 {
		return false
	}
	mine, theirs := &s.u.job.rec.Job, &victim.job.rec.Job
	if theirs.Priority > mine.Priority {
		return true
	}
	nearDeadline := s.p.waited(s.u, s.v.now) > s.p.settings.ReclaimWithin/2
	return nearDeadline && s.withinGuarantee && theirs.Workspace != mine.Workspace && theirs.Priority == 0 && s.p.isBorrowing(theirs.Workspace)
}

// cheapest returns the worker on which another task costs least, the additional
// victims and their cost, or -1 if no worker fits.
func (s *victimSearch) cheapest(members []int) (int, []victim, float64) {
	best, bestCost := -1, 0.0
	var bestVictims []victim
	limit := s.u.spec().MaxPerWorker
	fits := func(i int, free work.Resources) bool { return s.u.slotsIn(free, s.siblings[i]+s.placed[i], 1) > 0 }
	for _, i := range members {
		free, ok := s.free[i]
		if !ok || limit > 0 && s.siblings[i]+s.placed[i] >= limit {
			continue
		}
		cost := 0.0
		var victims []victim
		for _, victim := range s.candidates[i] {
			if fits(i, free) {
				break
			}
			if s.chosen[victim.unit] || s.exceedsDisruptions(victim.unit) {
				continue
			}
			free = free.Add(victim.usageOn(s.v.workers[i]))
			cost += s.costBesides(&victim, victims)
			victims = append(victims, victim)
		}
		if fits(i, free) && (best < 0 || cost < bestCost) {
			best, bestCost, bestVictims = i, cost, victims
		}
	}
	return best, bestVictims, bestCost
}

// exceedsDisruptions reports whether stopping the victim besides those chosen
// would exceed its step's limit of disruptions.
func (s *victimSearch) exceedsDisruptions(victim *unit) bool {
	return victim.spec().MaxUnavailable > 0 && s.disrupted[victim.stepKey()] >= victim.job.disruptionsAllowed(victim)
}

func (s *victimSearch) choose(victim *victim) {
	s.chosen[victim.unit] = true
	if loss := victim.cost.loss; loss > 0 {
		key := victim.occurrenceKey()
		s.lost[key] = max(s.lost[key], loss)
	}
	if victim.spec().MaxUnavailable > 0 {
		s.disrupted[victim.stepKey()]++
	}
	for _, r := range victim.runs {
		if i, ok := s.v.index[r.worker]; ok {
			if free, prepared := s.free[i]; prepared {
				s.free[i] = free.Add(r.need)
			}
		}
	}
}

func (u *unit) usageOn(w *worker) work.Resources {
	var sum work.Resources
	for _, r := range u.runs {
		if r.worker == w {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// isBorrowing reports whether the workspace's jobs of priority 0 use more
// accelerators than its guarantee.
func (p *Planner) isBorrowing(workspace string) bool {
	return p.usedAccel(workspace) > p.guarantee[workspace]
}

// usedAccel counts the accelerators of a workspace's units of priority 0 that are
// placed or claim capacity.
func (p *Planner) usedAccel(workspace string) int64 {
	sum := int64(0)
	for _, j := range p.jobsByArrival {
		if j.rec.Job.Workspace != workspace || j.rec.Job.Priority != 0 || !j.open() {
			continue
		}
		for _, u := range j.units {
			if u.phase == unitActive || u.claim != nil {
				sum += int64(u.count) * u.spec().Need.Accel
			}
		}
	}
	return sum
}

// withinGuarantee reports whether the workspace's guarantee covers the unit in
// addition to what the workspace uses. It covers only units of priority 0; those
// that need no accelerators are covered unless the workspace is borrowing.
func (p *Planner) withinGuarantee(u *unit) bool {
	j := &u.job.rec.Job
	if j.Priority != 0 {
		return false
	}
	return p.usedAccel(j.Workspace)+int64(u.count)*u.spec().Need.Accel <= p.guarantee[j.Workspace]
}
