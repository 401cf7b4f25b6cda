package planner

import (
	"math"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// wasteCost is what a core-second thrown away costs besides its worth to
	// its own job, against a core-second of a job of priority 0.
	wasteCost = 1.0 / priorityRatio
	// moveCost is what stopping a core costs before any work is lost.
	moveCost = 0.05
	// claimExpiry frees the room kept for a unit whose victims' ends don't
	// come, for instance because a worker fell silent.
	claimExpiry = 2500 * time.Millisecond
)

// reclaim makes room for a unit by stopping cheaper work. entitled units are
// within their workspace's guarantee and may take back whatever was lent.
func (p *Planner) reclaim(u *unit, v *view, entitled, spread bool) bool {
	groups := [][]int{v.all()}
	if u.spec().Gang && u.spec().SameRack && u.count > 1 && !spread {
		groups = v.racks
	}
	var best *eviction
	for _, members := range groups {
		e := p.makeRoom(u, v, members, entitled)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	if gain := u.cores() * u.estimate().Seconds(); !entitled && best.cost > gain {
		return false
	}
	for _, victim := range best.victims {
		p.note(Note{Event: EventPreempted, Job: victim.job.rec.Job.ID, Detail: "for " + u.job.rec.Job.ID, Count: len(victim.runs)})
		p.stopAttempt(victim, v.now, "preempted")
	}
	u.claim, u.claimedAt = best.placements, v.now
	v.take(u, u.claim)
	return true
}

type eviction struct {
	victims    []*unit
	placements []placement
	cost       float64
}

// roomMaker is the state of one search for victims.
type roomMaker struct {
	p        *Planner
	u        *unit
	v        *view
	entitled bool
	free     map[int]work.Resources
	placed   map[int]int
	chosen   map[*unit]bool
	cost     map[*unit]float64
	victims  map[int][]*unit
	// missing counts the chosen victims of steps that may miss few of their tasks.
	missing map[shape]int
}

// makeRoom chooses victims worker by worker, each time where one more task
// costs least. It returns nil when the unit can't fit.
func (p *Planner) makeRoom(u *unit, v *view, members []int, entitled bool) *eviction {
	m := &roomMaker{p: p, u: u, v: v, entitled: entitled,
		free: map[int]work.Resources{}, placed: map[int]int{}, chosen: map[*unit]bool{},
		cost: map[*unit]float64{}, victims: map[int][]*unit{}, missing: map[shape]int{}}
	for _, i := range members {
		if v.allowed(u, i, true) {
			m.prepare(i)
		}
	}
	out := &eviction{}
	for range u.count {
		i, add, cost := m.cheapest(members)
		if i < 0 {
			return nil
		}
		for _, victim := range add {
			m.choose(victim)
			out.victims = append(out.victims, victim)
		}
		out.cost += cost
		m.free[i] = m.free[i].Sub(u.spec().Need)
		m.placed[i]++
	}
	for _, i := range members {
		if n := m.placed[i]; n > 0 {
			out.placements = append(out.placements, placement{v.workers[i], n})
		}
	}
	return out
}

// prepare sums the room of worker i once running stops have ended, and lists
// the work there that may be stopped.
func (m *roomMaker) prepare(i int) {
	free := m.v.free[i]
	for _, r := range m.v.workers[i].runs {
		if r.phase == runStopping || r.unit == nil || r.unit.phase == unitClearing || r.unit.phase == unitDone {
			free = free.Add(r.need)
			continue
		}
		if m.mayStop(r.unit) && !slices.Contains(m.victims[i], r.unit) {
			m.victims[i] = append(m.victims[i], r.unit)
			m.cost[r.unit] = m.p.stopCost(r.unit, m.v.now)
		}
	}
	m.free[i] = free
	slices.SortFunc(m.victims[i], func(a, b *unit) int {
		switch ca, cb := m.cost[a], m.cost[b]; {
		case ca < cb:
			return -1
		case ca > cb:
			return 1
		}
		return int(a.nextRun-b.nextRun) + a.step - b.step
	})
}

func (m *roomMaker) mayStop(victim *unit) bool {
	if victim.phase != unitActive || m.p.awaited(victim, m.v.now) || victim.job.mayMiss(victim) <= 0 {
		return false
	}
	mine, theirs := &m.u.job.rec.Job, &victim.job.rec.Job
	if theirs.Priority > mine.Priority {
		return true
	}
	late := m.p.waited(m.u, m.v.now) > m.p.settings.ReclaimWithin/2
	return late && m.entitled && theirs.Workspace != mine.Workspace && theirs.Priority == 0 && m.p.beyondGuarantee(theirs.Workspace)
}

// cheapest returns the worker on which one more task costs least, with the
// victims that it takes, or -1.
func (m *roomMaker) cheapest(members []int) (int, []*unit, float64) {
	best, bestCost := -1, 0.0
	var bestAdd []*unit
	need := m.u.spec().Need
	limit := m.u.spec().MaxPerWorker
	for _, i := range members {
		free, ok := m.free[i]
		if !ok || (limit > 0 && m.placed[i] >= limit) {
			continue
		}
		cost := 0.0
		var add []*unit
		for _, victim := range m.victims[i] {
			if free.Fits(need) {
				break
			}
			if m.chosen[victim] || m.missesTooMany(victim) {
				continue
			}
			free = free.Add(victim.needOn(m.v.workers[i]))
			cost += m.cost[victim]
			add = append(add, victim)
		}
		if free.Fits(need) && (best < 0 || cost < bestCost) {
			best, bestCost, bestAdd = i, cost, add
		}
	}
	return best, bestAdd, bestCost
}

// missesTooMany reports whether the victim's step can't miss another task
// besides those chosen.
func (m *roomMaker) missesTooMany(victim *unit) bool {
	return victim.spec().MayMiss > 0 && m.missing[victim.shape()] >= victim.job.mayMiss(victim)
}

func (m *roomMaker) choose(victim *unit) {
	m.chosen[victim] = true
	if victim.spec().MayMiss > 0 {
		m.missing[victim.shape()]++
	}
	for _, r := range victim.runs {
		if i, ok := m.v.index[r.worker]; ok {
			if free, mine := m.free[i]; mine {
				m.free[i] = free.Add(r.need)
			}
		}
	}
}

func (u *unit) needOn(w *worker) work.Resources {
	var sum work.Resources
	for _, r := range u.runs {
		if r.worker == w {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// stopCost is what stopping the unit loses, in core-seconds of priority 0.
func (p *Planner) stopCost(u *unit, now time.Duration) float64 {
	lost := 0.0
	for _, r := range u.runs {
		lost += lostWork(u, r, now)
	}
	worth := math.Pow(priorityRatio, -float64(u.job.rec.Job.Priority))
	return (worth+wasteCost)*lost + moveCost*u.cores()
}

// beyondGuarantee reports whether the workspace's running jobs of priority 0
// use more accelerators than it is guaranteed.
func (p *Planner) beyondGuarantee(workspace string) bool {
	return p.usedAccel(workspace) > p.guarantee[workspace]
}

// usedAccel counts the accelerators of a workspace's placed tasks of priority 0.
func (p *Planner) usedAccel(workspace string) int64 {
	sum := int64(0)
	for _, j := range p.open {
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

// entitled reports whether the unit is covered by its workspace's guarantee.
func (p *Planner) entitled(u *unit) bool {
	j := &u.job.rec.Job
	if j.Priority != 0 {
		return false
	}
	return p.usedAccel(j.Workspace)+int64(u.count)*u.spec().Need.Accel <= p.guarantee[j.Workspace]
}
