package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// placement assigns a number of a unit's tasks to a worker.
type placement struct {
	worker *worker
	count  int
}

// view is the free capacity during one planning pass. Placements of the pass
// consume it.
type view struct {
	planner   *Planner
	now       time.Duration
	workers   []*worker // only the usable ones
	free      []work.Resources
	lasting   []work.Resources // the capacity without that of long-lived tasks
	abilities map[shape]ability
	racks     [][]int      // worker indexes by rack, in order of first appearance
	rackOf    []int        // index into racks, by worker index
	colocated []colocation // by worker index
	// reservedFrom holds the time at which the reservation of a worker begins, by
	// worker index; 0 means none. Tasks that end earlier may use the worker.
	reservedFrom []time.Duration
	stopCosts    *stopCosts
	// urgentOnly marks workers reserved for jobs of priority 0.
	urgentOnly []bool
	index      map[*worker]int
	// claimed counts the tasks of a step for which capacity of a worker is set aside.
	claimed map[claimKey]int
	// stopping holds the units that a trial has chosen to stop. It is nil in a planning
	// pass, which stops them.
	stopping map[*unit]bool
	// mostlyIdle is that of Planner.mostlyIdle at the beginning of the pass.
	mostlyIdle bool
	// factor and class hold the time factors of the workers and their speed classes, by
	// worker index. upper holds the factors that the workers are unlikely to exceed.
	factor, upper []float64
	class         []int
	uneven        bool // the workers belong to several speed classes
	// cache holds what the pass has learned about placements. It is nil in a view where
	// that doesn't hold, as in placeOnIdle.
	cache *placementCache
	// candidates and cold are memory that fitOn reuses.
	candidates, cold []candidate
	releases         releases
}

// claimKey identifies a step's claims on a worker.
type claimKey struct {
	worker *worker
	step   stepKey
}

func (p *Planner) newView(now time.Duration) *view {
	v := &view{planner: p, now: now, index: make(map[*worker]int, len(p.workerIDs)), claimed: map[claimKey]int{}, stopCosts: newStopCosts(p, now), abilities: map[shape]ability{}, mostlyIdle: p.mostlyIdle()}
	rackIndex := map[string]int{}
	for _, id := range p.workerIDs {
		w := p.workers[id]
		if !w.usable(now) {
			continue
		}
		i := len(v.workers)
		k, ok := rackIndex[w.info.Rack]
		if !ok {
			k = len(v.racks)
			rackIndex[w.info.Rack] = k
			v.racks = append(v.racks, nil)
		}
		v.racks[k] = append(v.racks[k], i)
		v.rackOf = append(v.rackOf, k)
		v.index[w] = i
		v.workers = append(v.workers, w)
		v.free = append(v.free, w.free)
		v.lasting = append(v.lasting, w.lastingCapacity())
		v.colocated = append(v.colocated, w.colocation())
		factor := p.speeds.Factor(id)
		v.factor, v.class = append(v.factor, factor), append(v.class, p.speedClass(id, factor))
		v.upper = append(v.upper, p.speeds.UpperFactor(id))
		v.uneven = v.uneven || v.class[i] != v.class[0]
	}
	v.reservedFrom = make([]time.Duration, len(v.workers))
	v.cache = newPlacementCache(len(v.racks))
	p.reserveHeadroom(v)
	return v
}

func (v *view) allWorkers() []int {
	out := make([]int, len(v.workers))
	for i := range out {
		out[i] = i
	}
	return out
}

// slots returns how many of the unit's tasks fit into free on worker i.
func (v *view) slots(u *unit, i int, free work.Resources) int {
	return v.slotsUpTo(u, i, free, u.count)
}

// slotsUpTo is slots for a unit of limit tasks.
func (v *view) slotsUpTo(u *unit, i int, free work.Resources, limit int) int {
	siblings := 0
	if u.spec().MaxPerWorker > 0 {
		siblings = v.workers[i].tasksOf(u) + v.claimed[claimKey{v.workers[i], u.stepKey()}]
	}
	return u.slotsIn(free, siblings, limit)
}

// slotsIn returns how many of the unit's tasks, at most limit, fit into free on a worker
// that runs the given number of tasks of the same step.
func (u *unit) slotsIn(free work.Resources, siblings, limit int) int {
	s := u.spec()
	n := limit
	if s.Need.CPU > 0 {
		n = min(n, int(max(free.CPU, 0)/s.Need.CPU))
	}
	if s.Need.MemMB > 0 {
		n = min(n, int(max(free.MemMB, 0)/s.Need.MemMB))
	}
	if s.Need.Accel > 0 {
		n = min(n, int(max(free.Accel, 0)/s.Need.Accel))
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker-siblings)
	}
	return max(n, 0)
}

// tasksOf counts the runs of the unit's step on the worker.
func (w *worker) tasksOf(u *unit) int {
	n := 0
	for _, r := range w.runs {
		if r.unit != nil && r.unit.stepKey() == u.stepKey() {
			n++
		}
	}
	return n
}

// allowed reports whether the unit may currently be placed on worker i. With
// avoid, workers on which the unit failed or stalled before are excluded.
func (v *view) allowed(u *unit, i int, avoid bool) bool {
	w := v.workers[i]
	if v.urgentOnly[i] && u.job.rec.Job.Priority > 0 || !v.eligible(u, i) {
		return false
	}
	if _, ok := v.planner.ticket(u, w, v.now); !ok {
		return false
	}
	return !avoid || !u.avoid[w.info.ID]
}

// eligible reports whether worker i has the label that the unit requires and runs
// no incompatible tasks.
func (v *view) eligible(u *unit, i int) bool {
	if label := u.spec().RequiredLabel; label != "" && !v.workers[i].info.HasLabel(label) {
		return false
	}
	return u.compatibleWith(v.colocated[i])
}

// mayRun reports whether the unit is eligible for worker i and the policy isn't known to
// deny it there.
func (v *view) mayRun(u *unit, i int) bool {
	return v.eligible(u, i) && !v.planner.isDenied(u, v.workers[i])
}

// possibleSlots returns how many of the unit's tasks worker i could hold once all tasks
// there that aren't long-lived have ended.
func (v *view) possibleSlots(u *unit, i int) int {
	if !v.mayRun(u, i) {
		return 0
	}
	siblings := 0
	if s := u.spec(); s.LongLived && s.MaxPerWorker > 0 {
		siblings = v.workers[i].tasksOf(u)
	}
	return u.slotsIn(v.lasting[i], siblings, u.count)
}

// ability tells how far the usable workers could run a unit.
type ability int

const (
	ineligible ability = iota // no worker may run one of its tasks
	cannotHold                // they couldn't hold it beside the long-lived tasks
	canHold
)

// shape is what the ability to run a unit depends on.
type shape struct {
	label              string
	need               work.Resources
	count, perWorker   int
	bestEffort, serves bool
	step               stepKey // only where the ability depends on more
}

// ability returns how far the usable workers could run the unit once all tasks that
// aren't long-lived have ended. Most units of a long queue share few shapes.
func (v *view) ability(u *unit) ability {
	s := u.spec()
	key := shape{label: s.RequiredLabel, need: s.Need, count: u.count, perWorker: s.MaxPerWorker, bestEffort: s.BestEffort, serves: u.isServing()}
	if u.job.rec.Job.PolicyControlled || s.LongLived && s.MaxPerWorker > 0 {
		key.step = u.stepKey()
	}
	known, ok := v.abilities[key]
	if !ok {
		known = v.findAbility(u)
		v.abilities[key] = known
	}
	return known
}

func (v *view) findAbility(u *unit) ability {
	found, slots := ineligible, 0
	for i := range v.workers {
		if found == ineligible && v.mayRun(u, i) {
			found = cannotHold
		}
		if slots += v.possibleSlots(u, i); slots >= u.count {
			return canHold
		}
	}
	return found
}

// lastingCapacity returns the worker's capacity without that of its long-lived tasks.
func (w *worker) lastingCapacity() work.Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		if r.unit != nil && r.unit.spec().LongLived && r.unit.phase == unitActive {
			free = free.Sub(r.need)
		}
	}
	return free
}

// groups returns the sets of workers on one of which the unit is placed as a whole.
func (v *view) groups(u *unit, spread bool) [][]int {
	if u.spec().PrefersOneRack() && !spread {
		return v.racks
	}
	return [][]int{v.allWorkers()}
}

// mayAvoid reports whether the unit can wait for workers on which it hasn't failed or
// stalled before: more than half of the workers that could hold one of its tasks are such,
// and they could hold the whole unit.
func (v *view) mayAvoid(u *unit, spread bool) bool {
	if len(u.avoid) == 0 {
		return true
	}
	able, avoided, enough := 0, 0, false
	for _, members := range v.groups(u, spread) {
		slots := 0
		for _, i := range members {
			n := v.possibleSlots(u, i)
			switch {
			case n == 0:
				continue
			case u.avoid[v.workers[i].info.ID]:
				avoided++
			default:
				slots += n
			}
			able++
		}
		enough = enough || slots >= u.count
	}
	return enough && 2*avoided < able
}

// place returns a placement of the whole unit, or nil if there isn't enough free
// capacity. Workers on which the unit failed or stalled before are used only if the others
// don't suffice and it can't wait for them.
func (v *view) place(u *unit, spread bool) []placement {
	if out := v.placeAvoiding(u, spread, true); out != nil || v.mayAvoid(u, spread) {
		return out
	}
	return v.placeAvoiding(u, spread, false)
}

// placeAvoiding tries the step's data rack first. A single-rack gang is placed on the rack
// whose workers suit it best by their speed, one with cold workers last, and among those on
// the one with the least free capacity that fits it, unless spread is set.
func (v *view) placeAvoiding(u *unit, spread, avoid bool) []placement {
	oneRack := u.spec().PrefersOneRack() && !spread
	if v.cache.hasFailed(u, oneRack) {
		return nil
	}
	out := v.findPlace(u, oneRack, avoid)
	if out == nil {
		v.cache.addFailure(u, oneRack, avoid)
	}
	return out
}

func (v *view) findPlace(u *unit, oneRack, avoid bool) []placement {
	limit := v.planner.maxTimeFactor(u, v.now)
	if rack := u.spec().DataRack; rack != "" {
		for _, members := range v.racks {
			if v.workers[members[0]].info.Rack == rack {
				if f := v.fitOn(u, members, avoid, limit, nil); f != nil {
					return v.pack(u, members, f)
				}
			}
		}
	}
	if !oneRack {
		members := v.allWorkers()
		if f := v.fitOn(u, members, avoid, limit, nil); f != nil {
			return v.pack(u, members, f)
		}
		return nil
	}
	best := v.bestRack(u, avoid, limit)
	if best < 0 {
		return nil
	}
	members := v.racks[best]
	return v.pack(u, members, v.fitOn(u, members, avoid, limit, nil))
}

// bestRack returns the rack that suits the unit best, or -1 if it fits on none.
func (v *view) bestRack(u *unit, avoid bool, limit float64) int {
	known := v.cache.rackFits(u, avoid, limit)
	if known != nil && v.uneven {
		return v.bestKnownRack(u, avoid, limit, known)
	}
	bestRack, best, bestFree := -1, 0, 0.0
	for k := range v.racks {
		free := v.rackFree(k)
		if bestRack >= 0 && free >= bestFree && !v.uneven && best < coldOrder {
			continue
		}
		order, fits := v.orderOnRack(u, k, avoid, limit, known)
		if fits && (bestRack < 0 || order < best || order == best && free < bestFree) {
			bestRack, best, bestFree = k, order, free
		}
	}
	return bestRack
}

// rackFreeWeight is the weight of a rack's free capacity against the worker's own
// when tasks are packed. It is small because whole free workers are needed more
// often than whole free racks.
const rackFreeWeight = 0.05

// fitOn chooses those of the given workers that suit the unit best by their speed,
// cold ones only if the others don't hold it. It returns nil if the whole unit doesn't fit.
// It narrows valid, unless that is nil, to the limits and estimates that give the same. The
// candidates are valid until the next call.
func (v *view) fitOn(u *unit, members []int, avoid bool, limit float64, valid *validFor) *fit {
	candidates, cold := v.candidates[:0], v.cold[:0]
	warmSlots := 0
	estimate := u.estimate()
	for _, i := range members {
		if !v.allowed(u, i, avoid) {
			continue
		}
		until := v.now + scaled(estimate, v.factor[i])
		if u.spec().LongLived {
			until = v.now + forever
		}
		if v.reservedFrom[i] > 0 {
			used := until <= v.reservedFrom[i]
			if valid != nil {
				valid.narrowEstimates(estimate, used)
			}
			if !used {
				continue
			}
		}
		n := v.slots(u, i, v.free[i])
		if n == 0 {
			continue
		}
		c := candidate{i, n, v.free[i].Cores(), v.class[i], v.factor[i], v.upper[i]}
		if v.now < v.workers[i].coldUntil {
			cold = append(cold, c)
			continue
		}
		candidates = append(candidates, c)
		warmSlots += n
	}
	if warmSlots < u.count {
		candidates = append(candidates, cold...)
	}
	v.candidates, v.cold = candidates, cold
	if valid != nil {
		for k := range candidates {
			valid.narrowLimits(candidates[k].factor, limit)
			valid.narrowLimits(candidates[k].upper, limit)
		}
	}
	f := chooseBySpeed(u, candidates, limit)
	if f != nil {
		f.cold = warmSlots < u.count
	}
	return f
}

// pack packs the unit onto those of the chosen workers that have the least free capacity
// and can still hold a task. members are those among which they were chosen.
func (v *view) pack(u *unit, members []int, f *fit) []placement {
	candidates := f.candidates
	if len(members) == len(v.workers) {
		rackFree := make([]float64, len(v.racks))
		for k := range v.racks {
			rackFree[k] = v.rackFree(k)
		}
		for k := range candidates {
			candidates[k].freeCores += rackFreeWeight * rackFree[v.rackOf[candidates[k].i]]
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.freeCores, b.freeCores) })
	var out []placement
	remaining := u.count
	for _, c := range candidates {
		n := min(c.slots, remaining)
		out = append(out, placement{v.workers[c.i], n})
		if remaining -= n; remaining == 0 {
			break
		}
	}
	return out
}

// consume subtracts a placement from the free capacity.
func (v *view) consume(u *unit, placements []placement) {
	for _, pl := range placements {
		if i, ok := v.index[pl.worker]; ok {
			v.colocated[i].serving = v.colocated[i].serving || u.isServing()
			for range pl.count {
				v.free[i] = v.free[i].Sub(u.spec().Need)
			}
			v.cache.changed(v.rackOf[i])
		}
	}
}

// setAside subtracts the capacity of a placement that the unit claims.
func (v *view) setAside(u *unit, claim []placement) {
	v.consume(u, claim)
	for _, pl := range claim {
		v.claimed[claimKey{pl.worker, u.stepKey()}] += pl.count // consume has recorded the change
	}
}

// fitsNow reports whether the capacity that a placement needs is free.
func (v *view) fitsNow(u *unit, placements []placement) bool {
	for _, pl := range placements {
		i, ok := v.index[pl.worker]
		if !ok || v.slots(u, i, v.free[i]) < pl.count {
			return false
		}
	}
	return true
}
