package scheduler

import (
	"cmp"
	"slices"
)

// keeper maintains a place for every gang of every guarantee that nobody
// runs, all at once, on accelerators that are free or held by lent
// preemptible gangs. As long as it has these places, each guarantee can be
// reclaimed.
type keeper struct {
	// avail counts what guarantees may use; spare is avail less the slots.
	avail *grid
	spare *grid
	slots []slot
	// budget bounds the steps of all searches of one decision.
	budget int
	// version changes with every change of spare.
	version int
}

// slot is the place kept for one gang of a guarantee.
type slot struct {
	kind  int
	shape shape
	block block
}

// keep finds places for all guarantees. When that can't be, it serves the
// workspaces in turn and returns how many gangs of each kind have no place.
func keep(kinds []kind, avail, free *grid) (*keeper, []int) {
	k := &keeper{avail: avail, budget: decideSteps}
	missing := make([]int, len(kinds))
	all := packOrder(kinds)
	if k.placeAll(all, free) {
		return k, missing
	}
	k.spare = avail.clone()
	k.slots = nil
	for _, s := range turns(kinds) {
		b, ok := k.spare.find(s.shape)
		if !ok {
			missing[s.kind]++
			continue
		}
		s.block = b
		k.spare.take(b)
		k.slots = append(k.slots, s)
	}
	return k, missing
}

// packOrder lists the slots, the hardest to place first.
func packOrder(kinds []kind) []slot {
	var out []slot
	for i := range kinds {
		for range kinds[i].left {
			out = append(out, slot{kind: i, shape: kinds[i].shape})
		}
	}
	slices.SortStableFunc(out, func(a, b slot) int { return harder(a.shape, b.shape) })
	return out
}

// harder orders shapes for packing: near adjacency, then large members, then
// large gangs.
func harder(a, b shape) int {
	return cmp.Or(
		cmp.Compare(reach(a.adjacency), reach(b.adjacency)),
		cmp.Compare(b.size(), a.size()),
		cmp.Compare(b.accelerators, a.accelerators),
	)
}

// turns lists the slots in the order in which they are served when not all
// can be kept: one gang of each guarantee in turn, workspaces in name order.
func turns(kinds []kind) []slot {
	var out []slot
	for round := 0; ; round++ {
		before := len(out)
		for i := range kinds {
			if round < kinds[i].left {
				out = append(out, slot{kind: i, shape: kinds[i].shape})
			}
		}
		if len(out) == before {
			return out
		}
	}
}

// placeAll sets the slots and spare, preferring free accelerators, and
// reports whether every slot has a place.
func (k *keeper) placeAll(slots []slot, free *grid) bool {
	if k.greedy(slots, free) || k.greedy(slots, nil) {
		return true
	}
	return k.exact(slots, nil)
}

func (k *keeper) greedy(slots []slot, free *grid) bool {
	spare := k.avail.clone()
	if free != nil {
		free = free.clone()
	}
	placed := slices.Clone(slots)
	for i := range placed {
		b, ok := block{}, false
		if free != nil {
			b, ok = free.find(placed[i].shape)
		}
		if !ok {
			b, ok = spare.find(placed[i].shape)
		}
		if !ok {
			return false
		}
		placed[i].block = b
		spare.take(b)
		if free != nil {
			free.take(b)
		}
	}
	k.set(placed, spare)
	return true
}

// exact searches for places of all slots on avail less a block.
func (k *keeper) exact(slots []slot, taken *block) bool {
	g := k.avail
	if taken != nil {
		g = g.clone()
		g.take(*taken)
	}
	placed := slices.Clone(slots)
	slices.SortStableFunc(placed, func(a, b slot) int { return harder(a.shape, b.shape) })
	blocks, ok := pack(g, nil, 0, shapesOf(placed), &k.budget)
	if !ok {
		return false
	}
	spare := g.clone()
	for i := range placed {
		placed[i].block = blocks[i]
		spare.take(blocks[i])
	}
	k.set(placed, spare)
	return true
}

func shapesOf(slots []slot) []shape {
	out := make([]shape, len(slots))
	for i := range slots {
		out[i] = slots[i].shape
	}
	return out
}

func (k *keeper) set(slots []slot, spare *grid) {
	k.slots = slots
	k.spare = spare
	k.version++
}

// permit takes a block out of avail if every slot, but for one of kind drop
// that the block stands for (-1 for none), still has a place after it.
func (k *keeper) permit(b block, drop int) bool {
	if !k.avail.holds(b) {
		return false
	}
	if !k.permitSlots(b, drop) {
		return false
	}
	k.avail.take(b)
	k.version++
	return true
}

func (k *keeper) permitSlots(b block, drop int) bool {
	slots := k.slots
	spare := k.spare
	if drop >= 0 {
		i := k.nearest(b, drop)
		if i < 0 {
			return false
		}
		spare = spare.clone()
		spare.give(slots[i].block)
		slots = slices.Delete(slices.Clone(slots), i, i+1)
	}
	if spare.holds(b) {
		spare.take(b)
		k.set(slots, spare)
		return true
	}
	return k.repair(slots, spare, b) || k.exact(slots, &b)
}

// nearest returns the slot of the kind that shares most workers with a block.
func (k *keeper) nearest(b block, kind int) int {
	best, bestShared := -1, -1
	for i := range k.slots {
		if k.slots[i].kind != kind {
			continue
		}
		if n := shared(k.slots[i].block, b); n > bestShared {
			best, bestShared = i, n
		}
	}
	return best
}

// shared counts seats of one block on workers of another.
func shared(a, b block) int {
	n := 0
	for _, s := range a.seats {
		if slices.ContainsFunc(b.seats, func(t seat) bool { return t.worker == s.worker }) {
			n++
		}
	}
	return n
}

// repair moves only the slots that a block displaces.
func (k *keeper) repair(slots []slot, spare *grid, b block) bool {
	spare = spare.clone()
	moved := slices.Clone(slots)
	var displaced []int
	for i := range moved {
		if spare.holds(b) {
			break
		}
		if shared(moved[i].block, b) > 0 {
			spare.give(moved[i].block)
			displaced = append(displaced, i)
		}
	}
	if !spare.holds(b) {
		return false
	}
	spare.take(b)
	slices.SortStableFunc(displaced, func(x, y int) int { return harder(moved[x].shape, moved[y].shape) })
	for _, i := range displaced {
		nb, ok := spare.find(moved[i].shape)
		if !ok {
			return false
		}
		moved[i].block = nb
		spare.take(nb)
	}
	k.set(moved, spare)
	return true
}

// permitIn finds, by exact search, places for all of some asks within a grid
// that leave every other slot a place, and takes them.
func (k *keeper) permitIn(asks []ask, within *grid) ([]block, bool) {
	rest := slices.Clone(k.slots)
	shapes := make([]shape, 0, len(rest)+len(asks))
	for i := range asks {
		n := slices.IndexFunc(rest, func(s slot) bool { return s.kind == asks[i].kind })
		if n < 0 {
			return nil, false
		}
		rest = slices.Delete(rest, n, n+1)
		shapes = append(shapes, shapeOf(asks[i].Spec))
	}
	slices.SortStableFunc(rest, func(a, b slot) int { return harder(a.shape, b.shape) })
	shapes = append(shapes, shapesOf(rest)...)
	blocks, ok := pack(k.avail, within, len(asks), shapes, &k.budget)
	if !ok {
		return nil, false
	}
	for _, b := range blocks[:len(asks)] {
		k.avail.take(b)
	}
	spare := k.avail.clone()
	for i := range rest {
		rest[i].block = blocks[len(asks)+i]
		spare.take(rest[i].block)
	}
	k.set(rest, spare)
	return blocks[:len(asks)], true
}

// clone copies what a decision changes, but for the budget.
func (k *keeper) clone() keeper {
	out := *k
	out.avail = k.avail.clone()
	out.spare = k.spare.clone()
	out.slots = slices.Clone(k.slots)
	return out
}
