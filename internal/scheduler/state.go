package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// held is a gang with its place in the fleet's index.
type held struct {
	Gang
	shape shape
	block block
}

// reclaimable gangs are preemptible and run beyond the guarantees.
func (h *held) reclaimable() bool {
	return h.Lent && h.Preemptible && !h.Stopping
}

// lost is the accelerator time that stopping the gang throws away or has to
// be spent again, at most.
func (h *held) lost() time.Duration {
	return h.Ran * time.Duration(h.shape.size())
}

// state is what one decision works on.
type state struct {
	fleet      *fleet
	workspaces map[string]structs.Workspace
	gangs      []held
	kinds      kinds
	// free counts what no gang holds, soon adds what stopping gangs hold.
	free *grid
	soon *grid
	keep *keeper
	// missing counts, by kind, the gangs that have no place.
	missing []int
	// borrowed counts the accelerators of lent gangs, by workspace.
	borrowed map[string]int
	// lentOn lists the reclaimable gangs on each worker.
	lentOn [][]int
	plan   Plan
}

func newState(s Snapshot) *state {
	f := newFleet(s.Workers)
	st := &state{
		fleet:      f,
		workspaces: make(map[string]structs.Workspace, len(s.Workspaces)),
		gangs:      make([]held, len(s.Gangs)),
		kinds:      kindsOf(s),
		borrowed:   make(map[string]int, len(s.Workspaces)),
		lentOn:     make([][]int, len(f.workers)),
	}
	for _, w := range s.Workspaces {
		st.workspaces[w.Name] = w
		st.borrowed[w.Name] = s.BorrowedElsewhere[w.Name]
	}
	for i, g := range s.Gangs {
		sh := shape{members: len(g.Members), accelerators: g.Accelerators, adjacency: g.Adjacency}
		st.gangs[i] = held{Gang: g, shape: sh, block: f.block(g.Members, g.Accelerators)}
	}
	st.kinds.claim(st.gangs)
	st.count()
	st.free = st.gridWithout(func(*held) bool { return true })
	st.soon = st.gridWithout(func(h *held) bool { return !h.Stopping })
	avail := st.gridWithout(func(h *held) bool { return !h.Stopping && !h.reclaimable() })
	st.keep, st.missing = keep(st.kinds.list, avail, st.free)
	return st
}

// count fills borrowed and lentOn.
func (st *state) count() {
	for i := range st.gangs {
		g := &st.gangs[i]
		if g.Lent && !g.Stopping {
			st.borrowed[g.Key.Workspace] += g.shape.size()
		}
		if !g.reclaimable() {
			continue
		}
		for _, t := range g.block.seats {
			st.lentOn[t.worker] = append(st.lentOn[t.worker], i)
		}
	}
}

// gridWithout counts, on usable workers, what gangs of the given sort leave.
func (st *state) gridWithout(holds func(*held) bool) *grid {
	counts := make([]int, len(st.fleet.workers))
	for i, w := range st.fleet.workers {
		if w.Usable {
			counts[i] = w.Accelerators
		}
	}
	for i := range st.gangs {
		g := &st.gangs[i]
		if !holds(g) {
			continue
		}
		for _, t := range g.block.seats {
			counts[t.worker] = max(0, counts[t.worker]-t.members*g.block.accelerators)
		}
	}
	return newGrid(st.fleet, counts)
}

// wholeGrid counts all accelerators, of usable workers or not.
func wholeGrid(f *fleet) *grid {
	counts := make([]int, len(f.workers))
	for i, w := range f.workers {
		counts[i] = w.Accelerators
	}
	return newGrid(f, counts)
}

// idle reports whether all workers are usable and nothing runs, or starts by
// this plan: whatever finds no place now never will.
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

// short reports whether some guarantee has no place now.
func (st *state) short() bool {
	for _, n := range st.missing {
		if n > 0 {
			return true
		}
	}
	return false
}

// keptKinds copies the kinds with only the gangs left that have a place.
func (st *state) keptKinds() kinds {
	out := kinds{list: slices.Clone(st.kinds.list), first: st.kinds.first}
	for i := range out.list {
		out.list[i].left -= st.missing[i]
	}
	return out
}

// unheld lists the guarantees that have no place, in the order of kinds.
func (st *state) unheld() []Unheld {
	var out []Unheld
	for i, n := range st.missing {
		if n > 0 {
			k := &st.kinds.list[i]
			out = append(out, Unheld{Workspace: k.workspace, Guarantee: k.guarantee, Missing: n})
		}
	}
	return out
}

// commit takes a place out of what later jobs may use.
func (st *state) commit(b block) {
	st.free.take(b)
	st.soon.take(b)
}

// stop marks gangs as stopping for a job.
func (st *state) stop(victims []int, job structs.JobKey) {
	for _, i := range victims {
		g := &st.gangs[i]
		g.Stopping = true
		st.borrowed[g.Key.Workspace] -= g.shape.size()
		st.soon.give(st.usable(g.block))
		st.plan.Reclaims = append(st.plan.Reclaims, Reclaim{Key: g.Key, For: job})
	}
}

// usable drops the seats on workers that can't be used.
func (st *state) usable(b block) block {
	out := block{accelerators: b.accelerators}
	for _, t := range b.seats {
		if st.fleet.workers[t.worker].Usable {
			out.seats = append(out.seats, t)
		}
	}
	return out
}

func (st *state) start(p *Pending, b block, lent bool) {
	st.plan.Starts = append(st.plan.Starts, Start{Key: p.Spec.Key, Places: st.fleet.places(b), Lent: lent})
}

// promise lets an ask wait for stopping gangs.
func (st *state) promise(p *Pending) {
	st.plan.Waiting = append(st.plan.Waiting, Verdict{Key: p.Spec.Key, Reason: reasonReclaiming, Within: true})
}

func (st *state) wait(p *Pending, reason string) {
	st.plan.Waiting = append(st.plan.Waiting, Verdict{Key: p.Spec.Key, Reason: reason})
}

// stopAges lists when the gangs that are stopping were told, longest ago
// first, but for the last.
func (st *state) stopAges() []time.Duration {
	var ages []time.Duration
	for i := range st.gangs {
		if g := &st.gangs[i]; g.Stopping {
			ages = append(ages, g.Stopped)
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

// soonAfter counts what is free once the gangs stopped that were told an age
// ago or before.
func (st *state) soonAfter(age time.Duration) *grid {
	g := st.soon.clone()
	for i := range st.gangs {
		if h := &st.gangs[i]; h.Stopping && h.Stopped < age {
			g.take(h.block)
		}
	}
	return g
}

// clone copies what a decision changes.
func (st *state) clone() state {
	out := *st
	keep := st.keep.clone()
	out.keep = &keep
	out.free = st.free.clone()
	out.soon = st.soon.clone()
	out.gangs = slices.Clone(st.gangs)
	out.borrowed = maps.Clone(st.borrowed)
	return out
}
