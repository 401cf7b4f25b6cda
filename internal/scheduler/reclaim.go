package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// reclaimFor takes the place for an ask that loses the least accelerator time
// of lent gangs and leaves every other guarantee its place. The place kept
// for the ask is the last resort and always permitted.
func (st *state) reclaimFor(a *ask) (block, bool) {
	options := st.weigh(shapeOf(a.Spec))
	for _, o := range options[:min(len(options), reclaimTries)] {
		if st.keep.permit(o.block, a.kind) {
			return o.block, true
		}
	}
	for _, b := range st.keptFor(a) {
		if st.keep.permit(b, a.kind) {
			return b, true
		}
	}
	return block{}, false
}

// option is a place with what it costs.
type option struct {
	block block
	lost  time.Duration
	gangs int
	// size counts the accelerators of the gangs.
	size int
}

// weigh lists places on what guarantees may use, the cheapest first.
func (st *state) weigh(sh shape) []option {
	avail := st.keep.avail
	var blocks []block
	for w, n := range avail.free {
		if n >= sh.size() {
			blocks = append(blocks, block{accelerators: sh.accelerators, seats: []seat{{worker: w, members: sh.members}}})
		}
	}
	if reach(sh.adjacency) >= 1 {
		for r, span := range st.fleet.racks {
			if avail.rackMembers(r, sh.accelerators) >= sh.members {
				blocks = append(blocks, st.cheapest(span.lo, span.hi, sh))
			}
		}
	}
	if reach(sh.adjacency) == 2 {
		if b, ok := avail.findRun(sh); ok {
			blocks = append(blocks, b, st.cheapest(0, len(avail.free), sh))
		}
	}
	options := make([]option, len(blocks))
	for i, b := range blocks {
		options[i] = st.price(b)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.gangs, b.gangs))
	})
	return options
}

func (st *state) price(b block) option {
	o := option{block: b}
	for _, i := range st.victims(b) {
		o.lost += st.gangs[i].lost()
		o.gangs++
		o.size += st.gangs[i].shape.size()
	}
	return o
}

// cheapest seats a shape on workers lo to hi, those with the most room that
// costs nothing first, then those whose lent gangs lost the least.
func (st *state) cheapest(lo, hi int, sh shape) block {
	type worker struct {
		id   int
		soon int
		lost time.Duration
	}
	var order []worker
	for w := lo; w < hi; w++ {
		if st.keep.avail.free[w] < sh.accelerators {
			continue
		}
		c := worker{id: w, soon: st.soon.free[w] / sh.accelerators}
		for _, i := range st.lentOn[w] {
			if g := &st.gangs[i]; g.reclaimable() {
				c.lost += g.lost()
			}
		}
		order = append(order, c)
	}
	slices.SortStableFunc(order, func(a, b worker) int {
		return cmp.Or(-cmp.Compare(a.soon, b.soon), cmp.Compare(a.lost, b.lost))
	})
	ids := make([]int, len(order))
	for i := range order {
		ids[i] = order[i].id
	}
	return st.keep.avail.seatIn(ids, sh)
}

// victims picks the gangs to stop so that a block becomes free: on each
// worker those that lose the least, less any that the others make needless.
func (st *state) victims(b block) []int {
	var out []int
	freed := make(map[int]int)
	for _, t := range b.seats {
		need := t.members*b.accelerators - st.soon.free[t.worker]
		if need <= freed[t.worker] {
			continue
		}
		for _, i := range st.byLost(t.worker) {
			if need <= freed[t.worker] {
				break
			}
			if slices.Contains(out, i) {
				continue
			}
			out = append(out, i)
			st.countFreed(freed, i, 1)
		}
	}
	return st.prune(b, out, freed)
}

// countFreed adds or removes a gang's accelerators to counts by worker.
func (st *state) countFreed(freed map[int]int, gang, sign int) {
	g := &st.gangs[gang]
	for _, t := range g.block.seats {
		freed[t.worker] += sign * t.members * g.block.accelerators
	}
}

// byLost lists the reclaimable gangs on a worker, the least lost first.
func (st *state) byLost(w int) []int {
	var out []int
	for _, i := range st.lentOn[w] {
		if st.gangs[i].reclaimable() {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Compare(st.gangs[a].lost(), st.gangs[b].lost())
	})
	return out
}

// prune spares gangs that needn't stop, the most lost first.
func (st *state) prune(b block, victims []int, freed map[int]int) []int {
	slices.SortStableFunc(victims, func(x, y int) int {
		return -cmp.Compare(st.gangs[x].lost(), st.gangs[y].lost())
	})
	kept := victims[:0]
	for _, i := range victims {
		st.countFreed(freed, i, -1)
		if st.enough(b, freed) {
			continue
		}
		st.countFreed(freed, i, 1)
		kept = append(kept, i)
	}
	return kept
}

func (st *state) enough(b block, freed map[int]int) bool {
	for _, t := range b.seats {
		if t.members*b.accelerators > st.soon.free[t.worker]+freed[t.worker] {
			return false
		}
	}
	return true
}
