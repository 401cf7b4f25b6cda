package scheduler

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// kind is one guarantee of a workspace in this failure domain.
type kind struct {
	workspace string
	guarantee structs.Guarantee
	shape     shape
	// left counts the gangs of the guarantee that nobody runs.
	left int
}

// covers reports whether any place for one gang of the kind has room for the
// shape, near enough.
func (k *kind) covers(sh shape) bool {
	if sh.members <= 0 || sh.accelerators <= 0 || reach(k.shape.adjacency) > reach(sh.adjacency) {
		return false
	}
	if reach(k.shape.adjacency) == 0 {
		return sh.size() <= k.shape.size()
	}
	return k.shape.members*(k.shape.accelerators/sh.accelerators) >= sh.members
}

// kindsOf lists the guarantees of the failure domain, by workspace in name
// order.
func kindsOf(s Snapshot) []kind {
	var out []kind
	for _, w := range s.Workspaces {
		for _, g := range w.Guarantees {
			sh := shape{members: g.Members, accelerators: g.Accelerators, adjacency: g.Adjacency}
			if g.Domain != s.Domain || g.Gangs <= 0 || sh.members <= 0 || sh.accelerators <= 0 {
				continue
			}
			out = append(out, kind{workspace: w.Name, guarantee: g, shape: sh, left: g.Gangs})
		}
	}
	slices.SortStableFunc(out, func(a, b kind) int { return cmp.Compare(a.workspace, b.workspace) })
	return out
}

// smallest returns the smallest kind of the workspace with a gang left that
// covers the shape, or -1. Among equals it takes the one that is easiest to
// place.
func smallest(kinds []kind, workspace string, sh shape) int {
	best := -1
	for i := range kinds {
		k := &kinds[i]
		if k.workspace != workspace || k.left == 0 || !k.covers(sh) {
			continue
		}
		if best < 0 || easier(k.shape, kinds[best].shape) {
			best = i
		}
	}
	return best
}

// easier reports whether a shape is smaller than another, or of the same size
// with a wider adjacency or smaller members.
func easier(a, b shape) bool {
	return cmp.Or(
		cmp.Compare(a.size(), b.size()),
		-cmp.Compare(reach(a.adjacency), reach(b.adjacency)),
		cmp.Compare(a.accelerators, b.accelerators),
	) < 0
}

// claim matches the running gangs to the guarantees, the gangs that fewest
// kinds cover first. It marks as lent those that exceed the guarantees, as
// after a ticket that shrank them.
func claim(kinds []kind, gangs []held) {
	order := make([]int, 0, len(gangs))
	choices := make([]int, len(gangs))
	for i := range gangs {
		g := &gangs[i]
		if g.Lent || g.Stopping {
			continue
		}
		order = append(order, i)
		for k := range kinds {
			if kinds[k].workspace == g.Key.Workspace && kinds[k].covers(g.shape) {
				choices[i]++
			}
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(choices[a], choices[b]),
			cmp.Compare(gangs[b].shape.size(), gangs[a].shape.size()),
			cmp.Compare(gangs[a].Key.ID, gangs[b].Key.ID),
		)
	})
	for _, i := range order {
		g := &gangs[i]
		k := smallest(kinds, g.Key.Workspace, g.shape)
		if k < 0 {
			g.Lent = true
			continue
		}
		kinds[k].left--
	}
}
