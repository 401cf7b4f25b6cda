package scheduler

import (
	"cmp"
	"slices"
)

// ask is a job within a guarantee.
type ask struct {
	*Pending
	kind int
}

// split assigns the guarantees' gangs that nobody runs to jobs in their order.
// The asks come by the earliest promise, so that one whose reclaim is under
// way keeps the places that it frees, then by class and wait.
func (st *state) split(jobs []*Pending) (asks []ask, rest []*Pending) {
	if len(st.kinds.list) == 0 {
		return nil, jobs
	}
	kept := st.keptKinds()
	for _, p := range jobs {
		if k := kept.smallest(p.Spec.Key.Workspace, shapeOf(p.Spec)); k >= 0 {
			kept.list[k].left--
			asks = append(asks, ask{Pending: p, kind: k})
			continue
		}
		rest = append(rest, p)
	}
	slices.SortStableFunc(asks, func(a, b ask) int {
		return cmp.Or(
			-cmp.Compare(a.Promised, b.Promised),
			cmp.Compare(a.Spec.Class.Rank(), b.Spec.Class.Rank()),
			-cmp.Compare(a.Waited, b.Waited),
		)
	})
	return asks, rest
}

// serveAll serves the asks one by one. Where that reclaims anything, it looks
// for places of all asks at once on what is free or about to be, so that a
// round of reclaims is the only one.
func (st *state) serveAll(asks []ask) {
	if len(asks) < 2 {
		st.serveEach(asks)
		return
	}
	before := st.clone()
	st.serveEach(asks)
	if len(st.plan.Reclaims) == 0 {
		return
	}
	*st = before
	if !st.serveTogether(asks) {
		st.serveEach(asks)
	}
}

func (st *state) serveEach(asks []ask) {
	for i := range asks {
		st.serve(&asks[i])
	}
}

// serveTogether places all asks on what is free or about to be.
func (st *state) serveTogether(asks []ask) bool {
	blocks, ok := st.keep.permitIn(asks, st.soon)
	if !ok {
		return false
	}
	for i, b := range blocks {
		free := st.free.holds(b)
		st.commit(b)
		if free {
			st.start(asks[i].Pending, b, false)
			continue
		}
		st.promise(asks[i].Pending)
	}
	return true
}

// serve starts an ask on free accelerators, or waits for stopping gangs, or
// reclaims lent ones.
func (st *state) serve(a *ask) {
	if b, ok := st.permitted(a, st.free, a.Avoid); ok {
		st.commit(b)
		st.start(a.Pending, b, false)
		return
	}
	if b, ok := st.permittedSoon(a); ok {
		st.commit(b)
		st.promise(a.Pending)
		return
	}
	if b, ok := st.reclaimFor(a); ok {
		st.stop(st.victims(b), a.Spec.Key)
		st.commit(b)
		st.promise(a.Pending)
		return
	}
	st.wait(a.Pending, reasonUnheld)
}

// permittedSoon takes a place that is free once the gangs stopped that were
// told first: an ask that waits for them isn't drawn to later stops, which
// would leave the part of its place that is free already to others.
func (st *state) permittedSoon(a *ask) (block, bool) {
	for _, age := range st.stopAges() {
		if b, ok := st.permitted(a, st.soonAfter(age), nil); ok {
			return b, true
		}
	}
	return st.permitted(a, st.soon, nil)
}

// permitted takes a place within a grid that leaves every other guarantee its
// place: by best fit, else the place kept for the ask, else by search.
func (st *state) permitted(a *ask, g *grid, avoid []string) (block, bool) {
	sh := shapeOf(a.Spec)
	b, ok := g.without(avoid).find(sh)
	if ok && st.keep.permit(b, a.kind) {
		return b, true
	}
	if !ok {
		if b, ok = g.find(sh); !ok {
			return block{}, false
		}
		if st.keep.permit(b, a.kind) {
			return b, true
		}
	}
	for _, b := range st.keptFor(a) {
		if g.holds(b) && st.keep.permit(b, a.kind) {
			return b, true
		}
	}
	found, ok := st.keep.permitIn([]ask{*a}, g)
	if !ok {
		return block{}, false
	}
	return found[0], true
}

// keptFor lists places for the ask within the slots of its kind.
func (st *state) keptFor(a *ask) []block {
	var out []block
	for i := range st.keep.slots {
		if s := &st.keep.slots[i]; s.kind == a.kind {
			out = append(out, within(s.block, shapeOf(a.Spec)))
		}
	}
	return out
}

// within seats a shape inside a block whose kind covers it.
func within(b block, sh shape) block {
	out := block{accelerators: sh.accelerators}
	left := sh.members
	for _, t := range b.seats {
		n := min(left, t.members*b.accelerators/sh.accelerators)
		if n == 0 {
			continue
		}
		out.seats = append(out.seats, seat{worker: t.worker, members: n})
		left -= n
	}
	return out
}
