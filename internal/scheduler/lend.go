package scheduler

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// borrowPass starts jobs that borrow, i.e. that run beyond the guarantees.
type borrowPass struct {
	st *state
	// total is the capacity that may be borrowed. unreserved is total less the
	// reservations.
	total      freeCapacity
	unreserved freeCapacity
	// version is the slotSet version for which outsideSlots was computed.
	version      int
	reservations []reservation
	releases     []release
	// failed caches the smallest gang without a place for each kind of search.
	// Capacity only shrinks during the pass, so no larger gang fits either.
	failed map[searchKey]failedSearch
}

// freeCapacity holds the free accelerators, and those of them outside all slots.
type freeCapacity struct {
	free         *capacity
	outsideSlots *capacity
}

func (c freeCapacity) take(b block) {
	c.free.take(b)
	c.outsideSlots.take(b)
}

// searchKey has all properties of a job that affect the search for its place,
// except the number of members and the workers to avoid.
type searchKey struct {
	accelerators int
	adjacency    structs.Adjacency
	preemptible  bool
	mayBackfill  bool
}

// failedSearch records the number of members of the smallest gang that found no
// place, with the reason.
type failedSearch struct {
	members int
	reason  string
}

func newBorrowPass(st *state) *borrowPass {
	bp := &borrowPass{st: st, failed: make(map[searchKey]failedSearch)}
	bp.total = freeCapacity{free: st.free, outsideSlots: st.free.minWith(st.slots.spare)}
	bp.unreserved = bp.total
	bp.version = st.slots.version
	return bp
}

// startAll tries to start the jobs in order. No job may borrow while a guarantee
// is unmet.
func (bp *borrowPass) startAll(jobs []*Pending) {
	unmet := bp.st.hasUnmet()
	for _, p := range jobs {
		if unmet {
			bp.st.wait(p, reasonNoBorrowing)
			continue
		}
		bp.tryStart(p)
	}
}

func (bp *borrowPass) tryStart(p *Pending) {
	workspace := p.Spec.Key.Workspace
	size := p.Spec.Size()
	if bp.st.borrowed[workspace]+size > bp.st.workspaces[workspace].BorrowingLimit {
		bp.st.wait(p, reasonBorrowingLimit)
		return
	}
	b, reason := bp.findPlace(p)
	if reason == reasonSetAside && len(p.AvoidWorkers) == 0 && bp.st.idle() {
		bp.st.plan.Unplaceable = append(bp.st.plan.Unplaceable, Verdict{Key: p.Spec.Key, Reason: reasonFitsOnlySetAside})
		return
	}
	if reason != "" {
		if bp.reserve(p) {
			reason = reasonMoving
		}
		bp.st.wait(p, reason)
		return
	}
	bp.st.borrowed[workspace] += size
	bp.st.soonFree.take(b)
	bp.total.take(b)
	if len(bp.reservations) > 0 {
		bp.unreserved.take(b)
	}
	bp.updateOutsideSlots()
	bp.st.start(p, b, true)
}

// updateOutsideSlots recomputes the free accelerators outside all slots if the
// slots have changed.
func (bp *borrowPass) updateOutsideSlots() {
	if bp.version == bp.st.slots.version {
		return
	}
	bp.version = bp.st.slots.version
	bp.total.outsideSlots = bp.total.free.minWith(bp.st.slots.spare)
	if len(bp.reservations) == 0 {
		bp.unreserved = bp.total
		return
	}
	bp.unreserved.outsideSlots = bp.unreserved.free.minWith(bp.st.slots.spare)
}

// mayBackfill reports whether a job may use reserved accelerators: it is expected
// to end before any of the reservations begins, and no job with a reservation
// has waited for BackfillLimit or longer.
func (bp *borrowPass) mayBackfill(p *Pending) bool {
	for i := range bp.reservations {
		r := &bp.reservations[i]
		if r.waited >= BackfillLimit || expectedRun(p.ExpectedRun) > r.start {
			return false
		}
	}
	return true
}

// findPlace returns a place for a job that borrows, or the reason why there is
// none.
func (bp *borrowPass) findPlace(p *Pending) (block, string) {
	sh := shapeOf(p.Spec)
	key := searchKey{accelerators: sh.accelerators, adjacency: sh.adjacency, preemptible: p.Spec.Preemptible, mayBackfill: bp.mayBackfill(p)}
	if r, ok := bp.failed[key]; ok && sh.members >= r.members {
		return block{}, r.reason
	}
	from := bp.unreserved
	if key.mayBackfill {
		from = bp.total
	}
	if len(p.AvoidWorkers) > 0 {
		return bp.findPlaceIn(p, freeCapacity{free: from.free.without(p.AvoidWorkers), outsideSlots: from.outsideSlots.without(p.AvoidWorkers)})
	}
	b, reason := bp.findPlaceIn(p, from)
	if reason != "" {
		bp.failed[key] = failedSearch{members: sh.members, reason: reason}
	}
	return b, reason
}

// findPlaceIn prefers accelerators that no slot uses. Preemptible jobs may use
// slots too, as they can be reclaimed. Other jobs may use them only if the slots
// fit elsewhere.
func (bp *borrowPass) findPlaceIn(p *Pending, from freeCapacity) (block, string) {
	sh := shapeOf(p.Spec)
	if b, ok := from.outsideSlots.find(sh); ok {
		if p.Spec.Preemptible || bp.st.slots.tryTake(b, -1) {
			return b, ""
		}
	}
	b, ok := from.free.find(sh)
	switch {
	case !ok && len(bp.reservations) > 0:
		return block{}, reasonReserved
	case !ok:
		return block{}, reasonNoPlace
	case p.Spec.Preemptible || bp.st.slots.tryTake(b, -1):
		return b, ""
	default:
		return block{}, reasonSetAside
	}
}

// reservation reserves accelerators for a waiting job.
type reservation struct {
	block block
	// start is the time until the block is expected to be free.
	start time.Duration
	// waited is the job's wait.
	waited time.Duration
}
