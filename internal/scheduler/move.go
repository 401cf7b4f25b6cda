package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// maxMoveCandidates bounds the places checked for one move.
const maxMoveCandidates = 32

// move stops borrowing preemptible gangs, of the same or a less urgent class, so
// that a waiting job fits. If hasStart is set, start is the time after which the job
// could start without a move.
func (bp *borrowPass) move(p *Pending, hasStart bool, start time.Duration) (block, bool) {
	candidates := bp.st.candidatePlaces(shapeOf(p.Spec))
	slices.SortStableFunc(candidates, func(a, b candidatePlace) int { return cmp.Compare(a.size, b.size) })
	for _, c := range candidates[:min(len(candidates), maxMoveCandidates)] {
		victims := bp.st.victims(c.block)
		if !bp.moveAllowed(p, c, victims) {
			continue
		}
		if hasStart && !bp.worthMoving(p, victims, start) {
			continue
		}
		bp.st.stop(victims, p.Spec.Key)
		return c.block, true
	}
	return block{}, false
}

// worthMoving reports whether the accelerator time that the job waits is larger
// than the accelerator time that moving the gangs costs.
func (bp *borrowPass) worthMoving(p *Pending, victims []int, start time.Duration) bool {
	size := 0
	for _, i := range victims {
		size += bp.st.gangs[i].shape.size()
	}
	return moveCost*time.Duration(size) < start*time.Duration(p.Spec.Size())
}

// moveAllowed checks the limits of a move. No gang of a more urgent class is
// stopped, the place must avoid the reservations and, if the job isn't preemptible,
// the slots. For a job that waited for BackfillLimit, gangs that outlast their
// expected run time have no further limit. The others must fit elsewhere and are
// bounded by moveSizeRatio; after minWaitToRequeue they may also go back to the
// queue, bounded by requeueSizeRatio.
func (bp *borrowPass) moveAllowed(p *Pending, c candidatePlace, victims []int) bool {
	if !p.Spec.Preemptible && !bp.st.slots.spare.fits(c.block) {
		return false
	}
	if !bp.avoidsReservations(c.block) {
		return false
	}
	var moved []int
	size := 0
	for _, i := range victims {
		g := &bp.st.gangs[i]
		if g.Class.Rank() < p.Spec.Class.Rank() {
			return false
		}
		if p.QueuedFor >= BackfillLimit && g.Elapsed > expectedRun(g.ExpectedRun) {
			continue
		}
		moved = append(moved, i)
		size += g.shape.size()
	}
	if p.QueuedFor >= minWaitToRequeue && size*requeueSizeRatio <= p.Spec.Size() {
		return true
	}
	return size*moveSizeRatio <= p.Spec.Size() && bp.canRelocate(c.block, moved)
}

// avoidsReservations reports whether a place shares no worker with a reservation.
func (bp *borrowPass) avoidsReservations(b block) bool {
	for i := range bp.reservations {
		if overlap(bp.reservations[i].block, b) > 0 {
			return false
		}
	}
	return true
}

// canRelocate reports whether all of the gangs fit on other free accelerators
// once the block is taken.
func (bp *borrowPass) canRelocate(b block, gangs []int) bool {
	if len(gangs) == 0 {
		return true
	}
	remaining := bp.unreserved.free.clone()
	remaining.take(b)
	order := slices.Clone(gangs)
	slices.SortStableFunc(order, func(x, y int) int {
		return -cmp.Compare(bp.st.gangs[x].shape.size(), bp.st.gangs[y].shape.size())
	})
	for _, i := range order {
		place, ok := remaining.find(bp.st.gangs[i].shape)
		if !ok {
			return false
		}
		remaining.take(place)
	}
	return true
}
