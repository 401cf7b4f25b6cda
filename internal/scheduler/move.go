package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// moveOptions bounds the places weighed for one move.
const moveOptions = 32

// move stops lent preemptible gangs, of the same or a less urgent class, so
// that a waiting job fits. Known and start tell when it would else start.
func (l *lender) move(p *Pending, known bool, start time.Duration) (block, bool) {
	options := l.st.weigh(shapeOf(p.Spec))
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.size, b.size) })
	for _, o := range options[:min(len(options), moveOptions)] {
		victims := l.st.victims(o.block)
		if !l.mayMove(p, o, victims) {
			continue
		}
		if known && !l.gains(p, victims, start) {
			continue
		}
		l.st.stop(victims, p.Spec.Key)
		return o.block, true
	}
	return block{}, false
}

// gains reports whether the job's accelerators wait longer than what moving
// the gangs costs theirs.
func (l *lender) gains(p *Pending, victims []int, start time.Duration) bool {
	size := 0
	for _, i := range victims {
		size += l.st.gangs[i].shape.size()
	}
	return moveCost*time.Duration(size) < start*time.Duration(p.Spec.Size())
}

// mayMove checks a move's limits: gangs that outlived their expectation yield
// to a job that waited beyond PassingLimit; others only move, and no more of
// them than half of the job's size.
func (l *lender) mayMove(p *Pending, o option, victims []int) bool {
	if !p.Spec.Preemptible && !l.st.keep.spare.holds(o.block) {
		return false
	}
	if !l.clear(o.block) {
		return false
	}
	var moved []int
	size := 0
	for _, i := range victims {
		g := &l.st.gangs[i]
		if g.Class.Rank() < p.Spec.Class.Rank() {
			return false
		}
		if p.Waited >= PassingLimit && g.Ran > expected(g.Expected) {
			continue
		}
		moved = append(moved, i)
		size += g.shape.size()
	}
	if p.Waited >= SwapAfter && size*swapShare <= p.Spec.Size() {
		return true
	}
	return size*moveShare <= p.Spec.Size() && l.haveRoom(o.block, moved)
}

// clear reports whether a place keeps off the reservations.
func (l *lender) clear(b block) bool {
	for i := range l.reserved {
		if shared(l.reserved[i].block, b) > 0 {
			return false
		}
	}
	return true
}

// haveRoom reports whether the gangs find other free places once the block is
// taken.
func (l *lender) haveRoom(b block, gangs []int) bool {
	if len(gangs) == 0 {
		return true
	}
	free := l.open.free.clone()
	free.take(b)
	order := slices.Clone(gangs)
	slices.SortStableFunc(order, func(x, y int) int {
		return -cmp.Compare(l.st.gangs[x].shape.size(), l.st.gangs[y].shape.size())
	})
	for _, i := range order {
		place, ok := free.find(l.st.gangs[i].shape)
		if !ok {
			return false
		}
		free.take(place)
	}
	return true
}
