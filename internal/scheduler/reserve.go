package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// release is the expected end of a running gang.
type release struct {
	// gang is the index in state.gangs, and after is the time until the end.
	gang  int
	after time.Duration
}

// reserve makes a reservation for a waiting job unless there are maxReservations
// already or it finds no place. It reports whether it stopped gangs to free the
// place.
func (bp *borrowPass) reserve(p *Pending) bool {
	if len(bp.reservations) == maxReservations {
		return false
	}
	b, start, ok := bp.earliestStart(p)
	moved := false
	if (!ok || start > 0) && p.QueuedFor >= minWaitToMove {
		if place, found := bp.move(p, ok, start); found {
			b, start, ok, moved = place, 0, true, true
		}
	}
	if !ok {
		return false
	}
	if len(bp.reservations) == 0 {
		bp.unreserved = freeCapacity{free: bp.total.free.clone(), outsideSlots: bp.total.outsideSlots.clone()}
	}
	bp.unreserved.take(b)
	bp.reservations = append(bp.reservations, reservation{block: b, start: start, waited: p.QueuedFor})
	return moved
}

// earliestStart returns the place where a job is expected to fit soonest beside the
// earlier reservations, and the time until then. It reports false if there
// is no such place even after all running gangs have ended.
func (bp *borrowPass) earliestStart(p *Pending) (block, time.Duration, bool) {
	bp.listReleases()
	sh := shapeOf(p.Spec)
	n := sort.Search(len(bp.releases)+1, func(n int) bool {
		_, ok := bp.freeAfter(n, p.Spec.Preemptible).find(sh)
		return ok
	})
	if n > len(bp.releases) {
		return block{}, 0, false
	}
	b, _ := bp.freeAfter(n, p.Spec.Preemptible).find(sh)
	if n == 0 {
		return b, 0, true
	}
	return b, bp.releases[n-1].after, true
}

func (bp *borrowPass) listReleases() {
	if bp.releases != nil {
		return
	}
	bp.releases = make([]release, 0, len(bp.st.gangs))
	for i := range bp.st.gangs {
		if g := &bp.st.gangs[i]; !g.Stopping {
			bp.releases = append(bp.releases, release{gang: i, after: remainingRun(g)})
		}
	}
	slices.SortStableFunc(bp.releases, func(a, b release) int { return cmp.Compare(a.after, b.after) })
}

// freeAfter counts what is free after the first n releases and the stops in
// progress, less the reservations. The accelerators of a
// gang within a guarantee go back to the guarantee, so only preemptible jobs may
// use them.
func (bp *borrowPass) freeAfter(n int, preemptible bool) *capacity {
	free := bp.st.soonFree.clone()
	spare := bp.st.slots.spare
	if !preemptible {
		spare = spare.clone()
	}
	for _, r := range bp.releases[:n] {
		g := &bp.st.gangs[r.gang]
		if g.Stopping {
			continue
		}
		b := bp.st.usable(g.block)
		free.giveBack(b)
		if !preemptible && g.Borrowed && !g.Preemptible {
			spare.giveBack(b)
		}
	}
	for i := range bp.reservations {
		free.take(bp.reservations[i].block)
	}
	if preemptible {
		return free
	}
	return free.minWith(spare)
}
