package scheduler

import "github.com/lentilwinch/lentilwinch/internal/structs"

// The reasons of verdicts.
const (
	reasonNoWorkspace = "workspace is unknown"
	reasonShape       = "members and accelerators must be positive"
	reasonTooLarge    = "larger than the whole failure domain can hold at this adjacency"
	reasonOverQuota   = "larger than the borrowing limit and no guaranteed shape holds it"
	reasonNoPlace     = "no adjacent accelerators are free"
	reasonBorrowing   = "workspace is at its borrowing limit"
)

// limits tracks what each workspace holds.
type limits struct {
	domain     string
	workspaces map[string]structs.Workspace
	lent       map[string]int
	// used counts gangs that hold each guarantee, by workspace and index.
	used map[string][]int
}

func newLimits(s Snapshot) *limits {
	l := &limits{
		domain:     s.Domain,
		workspaces: make(map[string]structs.Workspace, len(s.Workspaces)),
		lent:       make(map[string]int),
		used:       make(map[string][]int),
	}
	for _, w := range s.Workspaces {
		l.workspaces[w.Name] = w
		l.used[w.Name] = make([]int, len(w.Guarantees))
	}
	for _, g := range s.Gangs {
		l.count(g)
	}
	return l
}

func (l *limits) count(g Gang) {
	if g.Stopping {
		return
	}
	name := g.Key.Workspace
	sh := shape{members: len(g.Members), accelerators: g.Accelerators, adjacency: g.Adjacency}
	if i, ok := l.slot(name, sh); ok && !g.Lent {
		l.used[name][i]++
		return
	}
	l.lent[name] += sh.size()
}

// slot returns the smallest guarantee of the workspace with a gang to spare
// that holds the shape.
func (l *limits) slot(workspace string, sh shape) (int, bool) {
	best := -1
	w := l.workspaces[workspace]
	for i, g := range w.Guarantees {
		if g.Domain != l.domain || l.used[workspace][i] >= g.Gangs || !covers(g, sh) {
			continue
		}
		if best < 0 || g.Members*g.Accelerators < w.Guarantees[best].Members*w.Guarantees[best].Accelerators {
			best = i
		}
	}
	return best, best >= 0
}

// covers reports whether a place for one gang of the guarantee always has
// room for the shape.
func covers(g structs.Guarantee, sh shape) bool {
	if sh.accelerators <= 0 || reach(g.Adjacency) > reach(sh.adjacency) {
		return false
	}
	if g.Adjacency == structs.AdjacencyWorker {
		return sh.size() <= g.Members*g.Accelerators
	}
	return g.Members*(g.Accelerators/sh.accelerators) >= sh.members
}

// never returns why the job can't run in this domain even when all is free.
func (l *limits) never(spec structs.JobSpec, whole *grid) string {
	sh := shapeOf(spec)
	w, known := l.workspaces[spec.Key.Workspace]
	switch {
	case !known:
		return reasonNoWorkspace
	case sh.members <= 0 || sh.accelerators <= 0:
		return reasonShape
	}
	if _, ok := whole.find(sh); !ok {
		return reasonTooLarge
	}
	if sh.size() <= w.BorrowingLimit {
		return ""
	}
	for _, g := range w.Guarantees {
		if g.Domain == l.domain && g.Gangs > 0 && covers(g, sh) {
			return ""
		}
	}
	return reasonOverQuota
}

// admit counts a start and says whether it is lent. It refuses one beyond the
// borrowing limit.
func (l *limits) admit(spec structs.JobSpec) (lent, ok bool) {
	name := spec.Key.Workspace
	sh := shapeOf(spec)
	if i, found := l.slot(name, sh); found {
		l.used[name][i]++
		return false, true
	}
	if l.lent[name]+sh.size() > l.workspaces[name].BorrowingLimit {
		return true, false
	}
	l.lent[name] += sh.size()
	return true, true
}
