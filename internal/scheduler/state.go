package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// placedGang is a gang with its place converted to a block.
type placedGang struct {
	Gang
	shape shape
	block block
}

// reclaimable reports whether the gang is preemptible, borrows and isn't stopping
// yet.
func (g *placedGang) reclaimable() bool {
	return g.Borrowed && g.Preemptible && !g.Stopping
}

// discardedWork is an upper bound of the accelerator time that is discarded, or
// has to be repeated, if the gang is stopped.
func (g *placedGang) discardedWork() time.Duration {
	return g.Elapsed * time.Duration(g.shape.size())
}

// state is the working state of one decision.
type state struct {
	fleet *fleet
	// evacuated is Snapshot.Evacuated.
	evacuated  bool
	workspaces map[string]structs.Workspace
	gangs      []placedGang
	guarantees guaranteeSet
	// free counts the accelerators on usable workers that no gang holds. soonFree
	// adds those that stopping gangs hold.
	free     *capacity
	soonFree *capacity
	slots    *slotSet
	// unmet counts, for each guarantee, the unused gangs without a slot.
	unmet []int
	// borrowed counts the accelerators of borrowing gangs that aren't stopping, by
	// workspace, with those in other failure domains.
	borrowed map[string]int
	// reclaimableOn lists, for each worker, the gangs that were reclaimable at the
	// start of the decision. Gangs stopped by the plan stay in it.
	reclaimableOn [][]int
	plan          Plan
}

func newState(s Snapshot) *state {
	f := newFleet(s.Workers)
	if s.Evacuated {
		f.setUnusable()
	}
	st := &state{
		fleet:         f,
		evacuated:     s.Evacuated,
		workspaces:    make(map[string]structs.Workspace, len(s.Workspaces)),
		gangs:         make([]placedGang, len(s.Gangs)),
		guarantees:    guaranteesOf(s),
		borrowed:      make(map[string]int, len(s.Workspaces)),
		reclaimableOn: make([][]int, len(f.workers)),
	}
	for _, w := range s.Workspaces {
		st.workspaces[w.Name] = w
		st.borrowed[w.Name] = s.BorrowedElsewhere[w.Name]
	}
	for i, g := range s.Gangs {
		sh := shape{members: len(g.Members), accelerators: g.Accelerators, adjacency: g.Adjacency}
		st.gangs[i] = placedGang{Gang: g, shape: sh, block: f.block(g.Members, g.Accelerators)}
	}
	st.guarantees.matchGangs(st.gangs)
	st.indexGangs()
	st.free = st.capacityWithout(func(*placedGang) bool { return true })
	st.soonFree = st.capacityWithout(func(g *placedGang) bool { return !g.Stopping })
	available := st.capacityWithout(func(g *placedGang) bool { return !g.Stopping && !g.reclaimable() })
	st.slots, st.unmet = newSlotSet(st.guarantees.list, available, st.free)
	return st
}

// indexGangs fills borrowed and reclaimableOn.
func (st *state) indexGangs() {
	for i := range st.gangs {
		g := &st.gangs[i]
		if g.Borrowed && !g.Stopping {
			st.borrowed[g.Key.Workspace] += g.shape.size()
		}
		if !g.reclaimable() {
			continue
		}
		for _, a := range g.block.assignments {
			st.reclaimableOn[a.worker] = append(st.reclaimableOn[a.worker], i)
		}
	}
}

// capacityWithout counts the accelerators of usable workers, less those of the
// gangs for which occupies returns true.
func (st *state) capacityWithout(occupies func(*placedGang) bool) *capacity {
	counts := make([]int, len(st.fleet.workers))
	for i, w := range st.fleet.workers {
		if w.Usable {
			counts[i] = w.Accelerators
		}
	}
	for i := range st.gangs {
		g := &st.gangs[i]
		if !occupies(g) {
			continue
		}
		for _, a := range g.block.assignments {
			counts[a.worker] = max(0, counts[a.worker]-a.members*g.block.accelerators)
		}
	}
	return newCapacity(st.fleet, counts)
}

// totalCapacity counts all accelerators, including those of unusable workers.
func totalCapacity(f *fleet) *capacity {
	counts := make([]int, len(f.workers))
	for i, w := range f.workers {
		counts[i] = w.Accelerators
	}
	return newCapacity(f, counts)
}

// idle reports whether all workers are usable and no gang runs or starts by this
// plan. A job that finds no place in an idle domain can never run.
func (st *state) idle() bool {
	if len(st.gangs) > 0 || len(st.plan.Starts) > 0 {
		return false
	}
	for i := range st.fleet.workers {
		if !st.fleet.workers[i].Usable {
			return false
		}
	}
	return true
}

// hasUnmet reports whether any guarantee is unmet.
func (st *state) hasUnmet() bool {
	for _, n := range st.unmet {
		if n > 0 {
			return true
		}
	}
	return false
}

// placeableGuarantees returns a copy of the guarantees in which only the unused
// gangs with a slot count as unused.
func (st *state) placeableGuarantees() guaranteeSet {
	out := guaranteeSet{list: slices.Clone(st.guarantees.list), first: st.guarantees.first}
	for i := range out.list {
		out.list[i].unused -= st.unmet[i]
	}
	return out
}

// unmetGuarantees lists the unmet guarantees in the order of guaranteeSet.
func (st *state) unmetGuarantees() []UnmetGuarantee {
	var out []UnmetGuarantee
	for i, n := range st.unmet {
		if n > 0 {
			g := &st.guarantees.list[i]
			out = append(out, UnmetGuarantee{Workspace: g.workspace, Guarantee: g.spec, Missing: n})
		}
	}
	return out
}

// commit subtracts a place from the capacity that later jobs may use.
func (st *state) commit(b block) {
	st.free.take(b)
	st.soonFree.take(b)
}

// stop marks gangs as stopping and plans their reclaim for a job.
func (st *state) stop(victims []int, job structs.JobKey) {
	for _, i := range victims {
		g := &st.gangs[i]
		g.Stopping = true
		st.borrowed[g.Key.Workspace] -= g.shape.size()
		st.soonFree.giveBack(st.usable(g.block))
		st.plan.Reclaims = append(st.plan.Reclaims, Reclaim{Key: g.Key, For: job})
	}
}

// usable returns the part of a block that is on usable workers.
func (st *state) usable(b block) block {
	out := block{accelerators: b.accelerators}
	for _, a := range b.assignments {
		if st.fleet.workers[a.worker].Usable {
			out.assignments = append(out.assignments, a)
		}
	}
	return out
}

func (st *state) start(p *Pending, b block, borrowed bool) {
	st.plan.Starts = append(st.plan.Starts, Start{Key: p.Spec.Key, Places: st.fleet.places(b), Borrowed: borrowed})
}

// waitForStops records in the plan that a job within a guarantee waits for
// stopping gangs.
func (st *state) waitForStops(p *Pending) {
	st.plan.Waiting = append(st.plan.Waiting, Verdict{Key: p.Spec.Key, Reason: reasonReclaiming, WaitsForReclaim: true})
}

func (st *state) wait(p *Pending, reason string) {
	st.plan.Waiting = append(st.plan.Waiting, Verdict{Key: p.Spec.Key, Reason: reason})
}

// stopAges lists the distinct ages of the stop orders of stopping gangs, oldest
// first, up to maxStopAges of them. It leaves out the latest order, since soonFree
// already counts what is free after all stops.
func (st *state) stopAges() []time.Duration {
	var ages []time.Duration
	for i := range st.gangs {
		if g := &st.gangs[i]; g.Stopping {
			ages = append(ages, g.StoppingFor)
		}
	}
	slices.Sort(ages)
	ages = slices.Compact(ages)
	if len(ages) < 2 {
		return nil
	}
	ages = ages[1:]
	slices.Reverse(ages)
	return ages[:min(len(ages), maxStopAges)]
}

// freeAfterStops counts what is free after the gangs with stop orders of at least
// the given age have stopped.
func (st *state) freeAfterStops(age time.Duration) *capacity {
	free := st.soonFree.clone()
	for i := range st.gangs {
		if g := &st.gangs[i]; g.Stopping && g.StoppingFor < age {
			free.take(g.block)
		}
	}
	return free
}

// clone copies the fields that placing guaranteed jobs changes.
func (st *state) clone() state {
	out := *st
	slots := st.slots.clone()
	out.slots = &slots
	out.free = st.free.clone()
	out.soonFree = st.soonFree.clone()
	out.gangs = slices.Clone(st.gangs)
	out.borrowed = maps.Clone(st.borrowed)
	return out
}
