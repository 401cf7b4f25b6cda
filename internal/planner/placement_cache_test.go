package planner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/speed"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// randomPool returns a planner whose workers run random jobs of unequal speed, with further
// jobs waiting. A seed gives one state. The jobs that run need different amounts of processor
// time, and the waiting ones too if distinct is set: the choice among victims of equal cost
// is arbitrary.
func randomPool(t *testing.T, seed uint64, distinct bool) *harness {
	rng := rand.New(rand.NewPCG(seed, 2))
	h := newHarness(t, 0, 0)
	racks := 2 + rng.IntN(6)
	workers := racks * (2 + rng.IntN(5))
	for i := range workers {
		info := work.Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprint("r", i%racks), Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}}
		if rng.IntN(3) == 0 {
			info.Labels = []string{"x"}
		}
		h.p.PutWorker(info)
		h.p.HandleReport(h.now, h.now, info.ID, port.HoldReply{})
	}
	if rng.IntN(4) > 0 {
		for round := range 6 {
			for i, id := range h.p.workerIDs {
				h.p.speeds.Observe(h.now, speed.Observation{Run: speed.Run{Task: work.TaskID{Job: fmt.Sprint("earlier", round), Index: i}},
					Workers: []string{id}, Factor: []float64{0.7, 1, 1.7, 3}[i%4] * (0.9 + 0.2*rng.Float64())})
			}
		}
	}
	h.p.SetGuarantees([]work.Workspace{{Name: "ws0", GuaranteedAccelerators: rng.Int64N(40)}, {Name: "ws1", GuaranteedAccelerators: 8}})
	draw := func() work.Step {
		s := work.Step{Count: 1 + rng.IntN(8), Need: work.Resources{CPU: 1000, MemMB: []int64{1000, 8000}[rng.IntN(2)], Accel: []int64{0, 1, 2, 4, 8}[rng.IntN(5)]}}
		s.Gang = rng.IntN(4) > 0
		s.SameRack = rng.IntN(3) > 0
		if rng.IntN(5) == 0 {
			s.DataRack = fmt.Sprint("r", rng.IntN(racks+1))
		}
		if rng.IntN(6) == 0 {
			s.RequiredLabel = "x"
		}
		if rng.IntN(6) == 0 {
			s.MaxPerWorker = 1 + rng.IntN(2)
		}
		switch rng.IntN(12) {
		case 0:
			s.LongLived = true
		case 1, 2:
			s.TailLatencyTarget = 10 * time.Millisecond
		case 3, 4:
			s.BestEffort = true
			s.MaxUnavailable = rng.IntN(2)
		}
		return s
	}
	// Most steps differ from another one by their estimate at most, so that what is cached of
	// it counts for them.
	var drawn []work.Step
	cpu := int64(0)
	add := func(id string, distinct bool) {
		if len(drawn) < 6 || rng.IntN(4) == 0 {
			drawn = append(drawn, draw())
		}
		s := drawn[len(drawn)-1-rng.IntN(min(len(drawn), 6))]
		s.Estimate = time.Duration(100+rng.IntN(9)*700) * time.Millisecond
		if distinct {
			cpu++
			s.Need.CPU += cpu
		}
		rec := h.job(id, rng.IntN(3), s)
		rec.Job.Workspace = fmt.Sprint("ws", rng.IntN(2))
		rec.Job.Stretch = 1 + 2*rng.Float64()
		rec.Job.Target = time.Duration(1+rng.IntN(5)) * 300 * time.Millisecond
		rec.Job.PolicyControlled = rng.IntN(15) == 0
		h.p.AddJob(h.now, time.Duration(rng.IntN(4))*time.Second, rec, false)
		for _, u := range h.p.jobs[id].units {
			for rng.IntN(8) == 0 {
				if u.avoid == nil {
					u.avoid = map[string]bool{}
				}
				u.avoid[h.p.workerIDs[rng.IntN(workers)]] = true
			}
		}
		if rec.Job.PolicyControlled {
			q := PolicyQuery{Step: h.p.jobs[id].units[0].stepID()}
			tickets := map[string]string{}
			for _, id := range h.p.workerIDs {
				if rng.IntN(2) == 0 {
					q.Workers, q.incarnations = append(q.Workers, id), append(q.incarnations, h.p.workers[id].incarnation)
					tickets[id] = "ticket"
				}
			}
			h.p.HandlePolicyDecision(h.now, q, port.PolicyDecision{Tickets: tickets, ValidFor: time.Hour})
		}
	}
	for round := range rng.IntN(4) {
		for k := range workers / 2 {
			add(fmt.Sprintf("early-%d-%d", round, k), true)
		}
		if rng.IntN(2) == 0 {
			h.plan()
		} else {
			h.p.Plan(h.now) // the starts aren't answered
		}
		h.now += time.Duration(rng.IntN(600)) * time.Millisecond
	}
	for i, id := range h.p.workerIDs {
		if rng.IntN(6) == 0 {
			h.p.SetCold(id, h.now+time.Second)
		}
		if rng.IntN(20) == 0 && i > 0 {
			h.p.SetReachable(id, false)
		}
	}
	for k := range 10 + rng.IntN(150) {
		add(fmt.Sprintf("late-%d", k), distinct)
	}
	return h
}

// passWith runs a planning pass with or without the cache, as Plan does, and returns its orders
// and reservations in words.
func (h *harness) passWith(cache, trial bool) []string {
	p := h.p
	p.speeds.Update(h.now)
	p.awaitingTickets, p.reservations = nil, nil
	v := p.newView(h.now)
	if !cache {
		v.cache = nil
	}
	var out []string
	ranking := p.ranking(h.now)
	apply := func(u *unit, v *view, d decision) {
		line := fmt.Sprint(u.job.rec.Job.ID, " ", u.first, " ", d.why)
		placements := d.placements
		if d.eviction != nil {
			placements = d.eviction.placements
			var victims []string
			for _, victim := range d.eviction.victims {
				victims = append(victims, victim.job.rec.Job.ID)
			}
			line += fmt.Sprintf(" stops %v at %.6f", victims, d.eviction.cost)
		}
		for _, pl := range placements {
			line += fmt.Sprint(" ", pl.worker.info.ID, " ", pl.count)
		}
		out = append(out, line)
		if trial {
			v.setAside(u, placements)
		} else {
			p.carryOut(u, v, d)
		}
		// More reservations than a pass makes.
		if k := len(out) * 7 % len(ranking); len(out)%4 == 0 && v.ability(ranking[k].unit) == canHold {
			v.reserve(ranking[k].unit)
		}
	}
	p.placeClaims(v)
	p.pass(v, apply)
	for _, r := range p.reservations {
		out = append(out, fmt.Sprint(r.unit.job.rec.Job.ID, " ", r.unit.first, " reserves ", r.workers, " from ", r.from))
	}
	for _, u := range p.awaitingTickets {
		out = append(out, fmt.Sprint(u.job.rec.Job.ID, " awaits tickets"))
	}
	return append(out, fmt.Sprint("left: ", v.reservedFrom, v.free, p.nextRank))
}

// Guards against decisions that depend on what a pass has cached: whole passes must be the
// same without the cache, those that change the planner and those of queries.
func TestCachedPlacementsDecideNothingElse(t *testing.T) {
	placed, evicted, reserved := 0, 0, 0
	for seed := range uint64(400) {
		for _, trial := range []bool{true, false} {
			without := randomPool(t, seed, !trial).passWith(false, trial)
			with := randomPool(t, seed, !trial).passWith(true, trial)
			must.Eq(t, without, with, must.Sprint("seed ", seed, ", trial ", trial))
			for _, line := range with {
				switch {
				case strings.Contains(line, " fits "):
					placed++
				case strings.Contains(line, " stops "):
					evicted++
				case strings.Contains(line, " reserves "):
					reserved++
				}
			}
		}
	}
	t.Logf("%d units placed, %d evictions, %d reservations", placed, evicted, reserved)
	must.Positive(t, min(placed, evicted, reserved))
}

// firstFitBySorting is firstFit by one list of all releases.
func (v *view) firstFitBySorting(u *unit, members []int, avoid bool) (time.Duration, []int) {
	type end struct {
		i int
		release
	}
	var ends []end
	free, slots, total := map[int]work.Resources{}, map[int]int{}, 0
	for _, i := range members {
		if !v.allowed(u, i, avoid) || v.reservedFrom[i] > 0 {
			continue
		}
		free[i] = v.free[i]
		slots[i] = v.slots(u, i, free[i])
		total += slots[i]
		for _, r := range v.workers[i].runs {
			ends = append(ends, end{i, release{v.now + r.remaining(v.now), r.need}})
		}
	}
	slices.SortFunc(ends, func(a, b end) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.i, b.i), compareReleases(a.release, b.release))
	})
	at := v.now
	for k := 0; total < u.count && k < len(ends); k++ {
		e := ends[k]
		at = e.at
		free[e.i] = free[e.i].Add(e.need)
		n := v.slots(u, e.i, free[e.i])
		total += n - slots[e.i]
		slots[e.i] = n
	}
	if total < u.count {
		return 0, nil
	}
	var chosen []int
	remaining := u.count
	for _, i := range members {
		if n := slots[i]; n > 0 && remaining > 0 {
			chosen = append(chosen, i)
			remaining -= n
		}
	}
	return at, chosen
}

// Guards against reservations that depend on how the releases are merged, on the time
// before which a fit is looked for, or on runs that have changed in the pass.
func TestFirstFitIsThatOfAllReleasesInOrder(t *testing.T) {
	fits := 0
	for seed := range uint64(300) {
		h := randomPool(t, seed, true)
		rng := rand.New(rand.NewPCG(seed, 3))
		v := h.p.newView(h.now)
		for _, r := range h.p.ranking(h.now) {
			u := r.unit
			if u.phase != unitReady {
				continue
			}
			avoid := rng.IntN(2) == 0
			for _, members := range v.groups(u, false) {
				at, chosen := v.firstFitBySorting(u, members, avoid)
				before := time.Duration(-1)
				if rng.IntN(2) == 0 {
					before = h.now + time.Duration(rng.IntN(4000))*time.Millisecond
				}
				gotAt, got := v.firstFit(u, members, avoid, before)
				if before >= 0 && at >= before && gotAt == 0 && got == nil {
					continue
				}
				must.EqOp(t, at, gotAt, must.Sprint("seed ", seed))
				must.Eq(t, chosen, got, must.Sprint("seed ", seed))
				if len(chosen) > 0 {
					fits++
				}
			}
			switch rng.IntN(4) {
			case 0:
				v.reserve(u)
			case 1:
				if d := h.p.decide(u, v, v.ability(u)); d.placements != nil || d.eviction != nil {
					h.p.carryOut(u, v, d)
				}
			}
		}
	}
	must.Positive(t, fits)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Guards against an order of choices other than the one by cold workers, timeliness, mixed
// classes and class, of which slower ones are preferred only where the unit is surely in time.
func TestOrderOfFits(t *testing.T) {
	var fits []*fit
	for class := -maxClass; class <= maxClass; class++ {
		for _, late := range []timeliness{surelyInTime, probablyInTime, late} {
			for bits := range 4 {
				fits = append(fits, &fit{timeliness: late, class: class, mixed: bits&1 > 0, cold: bits&2 > 0})
			}
		}
	}
	for _, a := range fits {
		must.EqOp(t, a.cold, a.order() >= coldOrder)
		for _, b := range fits {
			byClass := cmp.Compare(b.class, a.class)
			if a.timeliness != surelyInTime {
				byClass = -byClass
			}
			want := cmp.Or(compareBool(a.cold, b.cold), cmp.Compare(a.timeliness, b.timeliness), compareBool(a.mixed, b.mixed), byClass)
			must.EqOp(t, want, cmp.Compare(a.order(), b.order()))
		}
	}
}
