package scheduler

import (
	"cmp"
	"slices"
)

// slotSet sets aside a slot for every unused gang of every guarantee, without
// overlap, on accelerators that are free, reclaimable or held by stopping gangs.
// While every such gang has a slot, all guarantees can be met at once.
type slotSet struct {
	// available counts what guarantees may use: accelerators that are free,
	// reclaimable or held by stopping gangs. spare is available less the slots.
	available *capacity
	spare     *capacity
	list      []slot
	// stepBudget is the number of steps left for the exact searches of the decision.
	stepBudget int
	// version changes with every change of available or spare.
	version int
}

// slot is the block set aside for one unused gang of a guarantee.
type slot struct {
	// guarantee is the index in guaranteeSet.list.
	guarantee int
	shape     shape
	block     block
}

// newSlotSet finds slots for all unused gangs. If not all fit, or the exact search
// runs out of steps, it serves the guarantees round robin by best fit. For each
// guarantee it returns the number of gangs without a slot.
func newSlotSet(guarantees []guarantee, available, free *capacity) (*slotSet, []int) {
	ss := &slotSet{available: available, stepBudget: maxDecisionSteps}
	unmet := make([]int, len(guarantees))
	all := packOrder(guarantees)
	if ss.placeAll(all, free) {
		return ss, unmet
	}
	ss.spare = available.clone()
	ss.list = nil
	for _, s := range roundRobin(guarantees) {
		b, ok := ss.spare.find(s.shape)
		if !ok {
			unmet[s.guarantee]++
			continue
		}
		s.block = b
		ss.spare.take(b)
		ss.list = append(ss.list, s)
	}
	return ss, unmet
}

// packOrder lists a slot for each unused gang of a guarantee, the hardest to
// place first.
func packOrder(guarantees []guarantee) []slot {
	var out []slot
	for i := range guarantees {
		for range guarantees[i].unused {
			out = append(out, slot{guarantee: i, shape: guarantees[i].shape})
		}
	}
	slices.SortStableFunc(out, func(a, b slot) int { return compareDifficulty(a.shape, b.shape) })
	return out
}

// compareDifficulty orders shapes for packing, hardest first: by nearest
// adjacency, then largest gang, then largest member.
func compareDifficulty(a, b shape) int {
	return cmp.Or(
		cmp.Compare(adjacencyLevel(a.adjacency), adjacencyLevel(b.adjacency)),
		cmp.Compare(b.size(), a.size()),
		cmp.Compare(b.accelerators, a.accelerators),
	)
}

// roundRobin lists the slots in the order in which they are placed when not all
// fit: one gang of each guarantee per round, workspaces in name order.
func roundRobin(guarantees []guarantee) []slot {
	var out []slot
	for round := 0; ; round++ {
		before := len(out)
		for i := range guarantees {
			if round < guarantees[i].unused {
				out = append(out, slot{guarantee: i, shape: guarantees[i].shape})
			}
		}
		if len(out) == before {
			return out
		}
	}
}

// placeAll places every slot, on free accelerators where it can, and reports
// whether all fit.
func (ss *slotSet) placeAll(slots []slot, free *capacity) bool {
	if ss.placeGreedily(slots, free) || ss.placeGreedily(slots, nil) {
		return true
	}
	return ss.placeExactly(slots, nil)
}

// placeGreedily places the slots one by one by best fit, on free accelerators
// first unless free is nil. It reports whether all fit.
func (ss *slotSet) placeGreedily(slots []slot, free *capacity) bool {
	spare := ss.available.clone()
	if free != nil {
		free = free.clone()
	}
	newSlots := slices.Clone(slots)
	for i := range newSlots {
		b, ok := block{}, false
		if free != nil {
			b, ok = free.find(newSlots[i].shape)
		}
		if !ok {
			b, ok = spare.find(newSlots[i].shape)
		}
		if !ok {
			return false
		}
		newSlots[i].block = b
		spare.take(b)
		if free != nil {
			free.take(b)
		}
	}
	ss.replace(newSlots, spare)
	return true
}

// placeExactly searches for places for all slots at once, on the available
// accelerators less those of the taken block, if any. It reports whether it found
// them.
func (ss *slotSet) placeExactly(slots []slot, taken *block) bool {
	available := ss.available
	if taken != nil {
		available = available.clone()
		available.take(*taken)
	}
	newSlots := slices.Clone(slots)
	slices.SortStableFunc(newSlots, func(a, b slot) int { return compareDifficulty(a.shape, b.shape) })
	blocks, ok := pack(available, nil, 0, shapesOf(newSlots), &ss.stepBudget)
	if !ok {
		return false
	}
	spare := available.clone()
	for i := range newSlots {
		newSlots[i].block = blocks[i]
		spare.take(blocks[i])
	}
	ss.replace(newSlots, spare)
	return true
}

func shapesOf(slots []slot) []shape {
	out := make([]shape, len(slots))
	for i := range slots {
		out[i] = slots[i].shape
	}
	return out
}

func (ss *slotSet) replace(slots []slot, spare *capacity) {
	ss.list = slots
	ss.spare = spare
	ss.version++
}

// tryTake takes a block for a gang if all slots still fit beside it, and reports
// whether it did. guarantee is the index of the guarantee of which the gang uses up
// one slot, or -1 for a gang that borrows.
func (ss *slotSet) tryTake(b block, guarantee int) bool {
	if !ss.available.fits(b) {
		return false
	}
	if !ss.placeAround(b, guarantee) {
		return false
	}
	ss.available.take(b)
	ss.version++
	return true
}

// placeAround rearranges the slots to fit beside a block, less one slot of the
// given guarantee unless that is -1. It leaves them in place if possible, else
// moves those that overlap the block, else searches exactly.
func (ss *slotSet) placeAround(b block, guarantee int) bool {
	slots := ss.list
	spare := ss.spare
	if guarantee >= 0 {
		i := ss.mostOverlapping(b, guarantee)
		if i < 0 {
			return false
		}
		spare = spare.clone()
		spare.giveBack(slots[i].block)
		slots = slices.Delete(slices.Clone(slots), i, i+1)
	}
	if spare.fits(b) {
		spare.take(b)
		ss.replace(slots, spare)
		return true
	}
	return ss.moveDisplaced(slots, spare, b) || ss.placeExactly(slots, &b)
}

// mostOverlapping returns the index of the guarantee's slot that shares most
// workers with a block, or -1.
func (ss *slotSet) mostOverlapping(b block, guarantee int) int {
	best, bestOverlap := -1, -1
	for i := range ss.list {
		if ss.list[i].guarantee != guarantee {
			continue
		}
		if n := overlap(ss.list[i].block, b); n > bestOverlap {
			best, bestOverlap = i, n
		}
	}
	return best
}

// overlap counts the workers of a that b uses too.
func overlap(a, b block) int {
	n := 0
	for _, assigned := range a.assignments {
		if slices.ContainsFunc(b.assignments, func(other assignment) bool { return other.worker == assigned.worker }) {
			n++
		}
	}
	return n
}

// moveDisplaced moves only the slots that overlap a block, to places found by
// best fit. It reports whether all fit.
func (ss *slotSet) moveDisplaced(slots []slot, spare *capacity, b block) bool {
	spare = spare.clone()
	moved := slices.Clone(slots)
	var displaced []int
	for i := range moved {
		if spare.fits(b) {
			break
		}
		if overlap(moved[i].block, b) > 0 {
			spare.giveBack(moved[i].block)
			displaced = append(displaced, i)
		}
	}
	if !spare.fits(b) {
		return false
	}
	spare.take(b)
	slices.SortStableFunc(displaced, func(x, y int) int { return compareDifficulty(moved[x].shape, moved[y].shape) })
	for _, i := range displaced {
		replacement, ok := spare.find(moved[i].shape)
		if !ok {
			return false
		}
		moved[i].block = replacement
		spare.take(replacement)
	}
	ss.replace(moved, spare)
	return true
}

// tryTakeWithin finds, by exact search, places for all jobs within the given
// capacity such that all other slots still fit, and takes them.
func (ss *slotSet) tryTakeWithin(jobs []guaranteedJob, within *capacity) ([]block, bool) {
	rest := slices.Clone(ss.list)
	shapes := make([]shape, 0, len(rest)+len(jobs))
	for i := range jobs {
		n := slices.IndexFunc(rest, func(s slot) bool { return s.guarantee == jobs[i].guarantee })
		if n < 0 {
			return nil, false
		}
		rest = slices.Delete(rest, n, n+1)
		shapes = append(shapes, shapeOf(jobs[i].Spec))
	}
	slices.SortStableFunc(rest, func(a, b slot) int { return compareDifficulty(a.shape, b.shape) })
	shapes = append(shapes, shapesOf(rest)...)
	blocks, ok := pack(ss.available, within, len(jobs), shapes, &ss.stepBudget)
	if !ok {
		return nil, false
	}
	for _, b := range blocks[:len(jobs)] {
		ss.available.take(b)
	}
	spare := ss.available.clone()
	for i := range rest {
		rest[i].block = blocks[len(jobs)+i]
		spare.take(rest[i].block)
	}
	ss.replace(rest, spare)
	return blocks[:len(jobs)], true
}

// clone copies the capacities, the slots and the step budget, so that restoring
// the clone also restores the budget.
func (ss *slotSet) clone() slotSet {
	out := *ss
	out.available = ss.available.clone()
	out.spare = ss.spare.clone()
	out.list = slices.Clone(ss.list)
	return out
}
