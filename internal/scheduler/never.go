package scheduler

import "github.com/lentilwinch/lentilwinch/internal/structs"

// The reasons of verdicts. The state dump shows that of a waiting job, and that of
// an unplaceable job is stored with it.
const (
	reasonNoWorkspace      = "workspace is unknown"
	reasonShape            = "members and accelerators must be positive"
	reasonTooLarge         = "larger than the whole failure domain can hold at this adjacency"
	reasonExceedsLimit     = "larger than the borrowing limit and no guaranteed shape holds it"
	reasonNoPlace          = "no adjacent accelerators are free"
	reasonReserved         = "the free accelerators are reserved for a job ahead"
	reasonBorrowingLimit   = "workspace is at its borrowing limit"
	reasonReclaiming       = "reclaiming lent accelerators"
	reasonUnmet            = "lost workers leave the guaranteed shape without a place"
	reasonNoBorrowing      = "nothing is lent while a guaranteed shape has no place"
	reasonSetAside         = "only preemptible jobs may use accelerators kept for guarantees"
	reasonFitsOnlySetAside = "may not be preempted and fits only on accelerators kept for guarantees"
	reasonMoving           = "moving preemptible gangs to make room"
)

// EvacuatedReason returns the reason why a job waits in an evacuated failure
// domain.
func EvacuatedReason(domain string) string {
	return "failure domain " + domain + " is evacuated"
}

// feasibilityCheck finds jobs that can never run in the failure domain.
type feasibilityCheck struct {
	st    *state
	total *capacity
	// maxMembers caches the number of members of the largest gang that fits in the
	// empty fleet.
	maxMembers map[memberShape]int
}

func newFeasibilityCheck(st *state) *feasibilityCheck {
	return &feasibilityCheck{st: st, total: totalCapacity(st.fleet), maxMembers: make(map[memberShape]int)}
}

// unplaceableReason returns why a job can't run even if all workers of the fleet
// are usable and free, or "" if it can. While the failure domain is evacuated, its
// workers may be missing from the list, so that no job counts as too large.
func (f *feasibilityCheck) unplaceableReason(spec structs.JobSpec) string {
	sh := shapeOf(spec)
	w, exists := f.st.workspaces[spec.Key.Workspace]
	switch {
	case !exists:
		return reasonNoWorkspace
	case sh.members <= 0 || sh.accelerators <= 0:
		return reasonShape
	case !f.st.evacuated && !f.fits(sh):
		return reasonTooLarge
	case sh.size() <= w.BorrowingLimit:
		return ""
	}
	for _, g := range f.st.guarantees.forWorkspace(w.Name) {
		if g.covers(sh) {
			return ""
		}
	}
	return reasonExceedsLimit
}

// memberShape is a shape without the number of members.
type memberShape struct {
	accelerators int
	adjacency    structs.Adjacency
}

func (f *feasibilityCheck) fits(sh shape) bool {
	key := memberShape{accelerators: sh.accelerators, adjacency: sh.adjacency}
	limit, cached := f.maxMembers[key]
	if !cached {
		limit = f.total.maxMembers(sh.accelerators, sh.adjacency)
		f.maxMembers[key] = limit
	}
	return sh.members <= limit
}
