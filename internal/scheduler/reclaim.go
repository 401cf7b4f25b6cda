package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// reclaimFor takes a place for a job that is free once the borrowing gangs on it
// are stopped, which the caller does. It prefers the place that discards the least
// work, provided that every other unused gang of a
// guarantee keeps a slot. The job's own slots are the last resort; one of them can
// always be taken.
func (st *state) reclaimFor(job *guaranteedJob) (block, bool) {
	candidates := st.candidatePlaces(shapeOf(job.Spec))
	for _, c := range candidates[:min(len(candidates), maxReclaimCandidates)] {
		if st.slots.tryTake(c.block, job.guarantee) {
			return c.block, true
		}
	}
	for _, b := range st.blocksInSlots(job) {
		if st.slots.tryTake(b, job.guarantee) {
			return b, true
		}
	}
	return block{}, false
}

// candidatePlace is a place with the cost of stopping the gangs that hold it.
type candidatePlace struct {
	block block
	// discarded is at least the accelerator time of the discarded work.
	discarded time.Duration
	gangs     int
	// size counts the accelerators of the gangs.
	size int
}

// candidatePlaces lists places on accelerators that guarantees may use, ordered by
// the work that stopping their gangs discards, least first.
func (st *state) candidatePlaces(sh shape) []candidatePlace {
	available := st.slots.available
	var blocks []block
	for w, n := range available.counts {
		if n >= sh.size() {
			blocks = append(blocks, block{accelerators: sh.accelerators, assignments: []assignment{{worker: w, members: sh.members}}})
		}
	}
	if adjacencyLevel(sh.adjacency) >= 1 {
		for r, span := range st.fleet.racks {
			if available.membersInRack(r, sh.accelerators) >= sh.members {
				blocks = append(blocks, st.assignLeastDiscarded(span.lo, span.hi, sh))
			}
		}
	}
	if adjacencyLevel(sh.adjacency) == 2 {
		if b, ok := available.findRackRange(sh); ok {
			blocks = append(blocks, b, st.assignLeastDiscarded(0, len(available.counts), sh))
		}
	}
	candidates := make([]candidatePlace, len(blocks))
	for i, b := range blocks {
		candidates[i] = st.evaluate(b)
	}
	slices.SortStableFunc(candidates, func(a, b candidatePlace) int {
		return cmp.Or(cmp.Compare(a.discarded, b.discarded), cmp.Compare(a.gangs, b.gangs))
	})
	return candidates
}

// evaluate returns a block with the cost of freeing it.
func (st *state) evaluate(b block) candidatePlace {
	c := candidatePlace{block: b}
	for _, i := range st.victims(b) {
		c.discarded += st.gangs[i].discardedWork()
		c.gangs++
		c.size += st.gangs[i].shape.size()
	}
	return c
}

// assignLeastDiscarded assigns a shape to workers lo to hi, exclusive. Workers
// that take the most members without a reclaim go first, then those whose
// borrowing gangs would discard the least work.
func (st *state) assignLeastDiscarded(lo, hi int, sh shape) block {
	type worker struct {
		index int
		// membersSoonFree counts the members that fit without a reclaim.
		membersSoonFree int
		// discarded is the accelerator time that stopping all its reclaimable gangs
		// discards.
		discarded time.Duration
	}
	var order []worker
	for w := lo; w < hi; w++ {
		if st.slots.available.counts[w] < sh.accelerators {
			continue
		}
		c := worker{index: w, membersSoonFree: st.soonFree.counts[w] / sh.accelerators}
		for _, i := range st.reclaimableOn[w] {
			if g := &st.gangs[i]; g.reclaimable() {
				c.discarded += g.discardedWork()
			}
		}
		order = append(order, c)
	}
	slices.SortStableFunc(order, func(a, b worker) int {
		return cmp.Or(-cmp.Compare(a.membersSoonFree, b.membersSoonFree), cmp.Compare(a.discarded, b.discarded))
	})
	indexes := make([]int, len(order))
	for i := range order {
		indexes[i] = order[i].index
	}
	return st.slots.available.assignTo(indexes, sh)
}

// victims picks the gangs to stop so that a block becomes free: on each worker
// those that discard the least work, without gangs that the others make
// unnecessary.
func (st *state) victims(b block) []int {
	var out []int
	freed := make(map[int]int)
	for _, a := range b.assignments {
		need := a.members*b.accelerators - st.soonFree.counts[a.worker]
		if need <= freed[a.worker] {
			continue
		}
		for _, i := range st.byDiscardedWork(a.worker) {
			if need <= freed[a.worker] {
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

// countFreed adds a gang's accelerators to the counts by worker, or subtracts them
// if sign is -1.
func (st *state) countFreed(freed map[int]int, gang, sign int) {
	g := &st.gangs[gang]
	for _, a := range g.block.assignments {
		freed[a.worker] += sign * a.members * g.block.accelerators
	}
}

// byDiscardedWork lists the reclaimable gangs on a worker, the least discarded
// work first.
func (st *state) byDiscardedWork(w int) []int {
	var out []int
	for _, i := range st.reclaimableOn[w] {
		if st.gangs[i].reclaimable() {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Compare(st.gangs[a].discardedWork(), st.gangs[b].discardedWork())
	})
	return out
}

// prune drops victims that needn't stop, those with the most discarded work first.
func (st *state) prune(b block, victims []int, freed map[int]int) []int {
	slices.SortStableFunc(victims, func(x, y int) int {
		return -cmp.Compare(st.gangs[x].discardedWork(), st.gangs[y].discardedWork())
	})
	needed := victims[:0]
	for _, i := range victims {
		st.countFreed(freed, i, -1)
		if st.freesBlock(b, freed) {
			continue
		}
		st.countFreed(freed, i, 1)
		needed = append(needed, i)
	}
	return needed
}

// freesBlock reports whether a block is free once stopping gangs have exited and
// the accelerators in freed, counted by worker, are free too.
func (st *state) freesBlock(b block, freed map[int]int) bool {
	for _, a := range b.assignments {
		if a.members*b.accelerators > st.soonFree.counts[a.worker]+freed[a.worker] {
			return false
		}
	}
	return true
}
