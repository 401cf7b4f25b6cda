package scheduler

import "github.com/lentilwinch/lentilwinch/internal/structs"

// The reasons of verdicts.
const (
	reasonNoWorkspace = "workspace is unknown"
	reasonShape       = "members and accelerators must be positive"
	reasonTooLarge    = "larger than the whole failure domain can hold at this adjacency"
	reasonOverQuota   = "larger than the borrowing limit and no guaranteed shape holds it"
	reasonNoPlace     = "no adjacent accelerators are free"
	reasonReserved    = "the free accelerators are reserved for a job ahead"
	reasonBorrowing   = "workspace is at its borrowing limit"
	reasonReclaiming  = "reclaiming lent accelerators"
	reasonUnheld      = "lost workers leave the guaranteed shape without a place"
	reasonNoLending   = "nothing is lent while a guaranteed shape has no place"
	reasonKept        = "only preemptible jobs may use accelerators kept for guarantees"
	reasonAlwaysKept  = "may not be preempted and fits only on accelerators kept for guarantees"
	reasonMoving      = "moving preemptible gangs to make room"
)

// impossible tells jobs that can never run from those that must wait.
type impossible struct {
	st    *state
	whole *grid
	// most remembers the largest gang of a member size that the empty fleet
	// holds.
	most map[memberSize]int
}

func newImpossible(st *state) *impossible {
	return &impossible{st: st, whole: wholeGrid(st.fleet), most: make(map[memberSize]int)}
}

// reason returns why a job can't run even when all known workers are usable
// and free, or "".
func (m *impossible) reason(spec structs.JobSpec) string {
	sh := shapeOf(spec)
	w, known := m.st.workspaces[spec.Key.Workspace]
	switch {
	case !known:
		return reasonNoWorkspace
	case sh.members <= 0 || sh.accelerators <= 0:
		return reasonShape
	case !m.fits(sh):
		return reasonTooLarge
	case sh.size() <= w.BorrowingLimit:
		return ""
	}
	for _, k := range m.st.kinds.of(w.Name) {
		if k.covers(sh) {
			return ""
		}
	}
	return reasonOverQuota
}

// memberSize is a shape but for the number of members.
type memberSize struct {
	accelerators int
	adjacency    structs.Adjacency
}

func (m *impossible) fits(sh shape) bool {
	key := memberSize{accelerators: sh.accelerators, adjacency: sh.adjacency}
	most, known := m.most[key]
	if !known {
		most = m.whole.mostMembers(sh.accelerators, sh.adjacency)
		m.most[key] = most
	}
	return sh.members <= most
}
