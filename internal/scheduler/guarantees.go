package scheduler

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// guarantee is one guarantee of a workspace in this failure domain.
type guarantee struct {
	workspace string
	spec      structs.Guarantee
	shape     shape
	// unused counts the gangs of the guarantee that no running gang uses.
	unused int
}

// covers reports whether every place for one gang of the guarantee also holds the
// shape, at the adjacency that the shape needs.
func (g *guarantee) covers(sh shape) bool {
	if sh.members <= 0 || sh.accelerators <= 0 || adjacencyLevel(g.shape.adjacency) > adjacencyLevel(sh.adjacency) {
		return false
	}
	if adjacencyLevel(g.shape.adjacency) == 0 {
		return sh.size() <= g.shape.size()
	}
	return g.shape.members*(g.shape.accelerators/sh.accelerators) >= sh.members
}

// guaranteeSet lists the guarantees of the failure domain, sorted by workspace
// name.
type guaranteeSet struct {
	list []guarantee
	// first is the index of a workspace's first guarantee.
	first map[string]int
}

func guaranteesOf(s Snapshot) guaranteeSet {
	var out []guarantee
	for _, w := range s.Workspaces {
		for _, g := range w.Guarantees {
			sh := shape{members: g.Members, accelerators: g.Accelerators, adjacency: g.Adjacency}
			if g.Domain != s.Domain || g.Gangs <= 0 || sh.members <= 0 || sh.accelerators <= 0 {
				continue
			}
			out = append(out, guarantee{workspace: w.Name, spec: g, shape: sh, unused: g.Gangs})
		}
	}
	slices.SortStableFunc(out, func(a, b guarantee) int { return cmp.Compare(a.workspace, b.workspace) })
	set := guaranteeSet{list: out, first: make(map[string]int)}
	for i := len(out) - 1; i >= 0; i-- {
		set.first[out[i].workspace] = i
	}
	return set
}

// forWorkspace lists a workspace's guarantees.
func (gs guaranteeSet) forWorkspace(workspace string) []guarantee {
	lo, ok := gs.first[workspace]
	if !ok {
		return nil
	}
	hi := lo
	for hi < len(gs.list) && gs.list[hi].workspace == workspace {
		hi++
	}
	return gs.list[lo:hi]
}

// smallestCovering returns the index in gs.list of the guarantee that has the
// smallest gang, among the workspace's guarantees with an unused gang that
// covers the shape, or -1. Among equals it takes the one that is easiest to
// place.
func (gs guaranteeSet) smallestCovering(workspace string, sh shape) int {
	own := gs.forWorkspace(workspace)
	best := -1
	for i := range own {
		if own[i].unused == 0 || !own[i].covers(sh) {
			continue
		}
		if best < 0 || easierToPlace(own[i].shape, own[best].shape) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	return gs.first[workspace] + best
}

// easierToPlace reports whether shape a is smaller than b. Of equal sizes, a wider
// adjacency is easier, then smaller members.
func easierToPlace(a, b shape) bool {
	return cmp.Or(
		cmp.Compare(a.size(), b.size()),
		-cmp.Compare(adjacencyLevel(a.adjacency), adjacencyLevel(b.adjacency)),
		cmp.Compare(a.accelerators, b.accelerators),
	) < 0
}

// matchGangs matches the running gangs to the guarantees, starting with the gangs
// that the fewest guarantees cover. Gangs that match none, for example after a
// change ticket reduced the guarantees, are marked as borrowing. Gangs that already
// borrow or are stopping are left out.
func (gs guaranteeSet) matchGangs(gangs []placedGang) {
	order := make([]int, 0, len(gangs))
	numCovering := make([]int, len(gangs))
	for i := range gangs {
		g := &gangs[i]
		if g.Borrowed || g.Stopping {
			continue
		}
		order = append(order, i)
		for _, candidate := range gs.forWorkspace(g.Key.Workspace) {
			if candidate.covers(g.shape) {
				numCovering[i]++
			}
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(numCovering[a], numCovering[b]),
			cmp.Compare(gangs[b].shape.size(), gangs[a].shape.size()),
			cmp.Compare(gangs[a].Key.ID, gangs[b].Key.ID),
		)
	})
	for _, i := range order {
		g := &gangs[i]
		n := gs.smallestCovering(g.Key.Workspace, g.shape)
		if n < 0 {
			g.Borrowed = true
			continue
		}
		gs.list[n].unused--
	}
}
