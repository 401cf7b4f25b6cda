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

// kinds lists the guarantees of the failure domain, by workspace in name
// order.
type kinds struct {
	list []kind
	// first is the index of a workspace's first kind.
	first map[string]int
}

func kindsOf(s Snapshot) kinds {
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
	k := kinds{list: out, first: make(map[string]int)}
	for i := len(out) - 1; i >= 0; i-- {
		k.first[out[i].workspace] = i
	}
	return k
}

// of lists a workspace's kinds.
func (k kinds) of(workspace string) []kind {
	lo, ok := k.first[workspace]
	if !ok {
		return nil
	}
	hi := lo
	for hi < len(k.list) && k.list[hi].workspace == workspace {
		hi++
	}
	return k.list[lo:hi]
}

// smallest returns the smallest kind of the workspace with a gang left that
// covers the shape, or -1. Among equals it takes the one that is easiest to
// place.
func (k kinds) smallest(workspace string, sh shape) int {
	own := k.of(workspace)
	best := -1
	for i := range own {
		if own[i].left == 0 || !own[i].covers(sh) {
			continue
		}
		if best < 0 || easier(own[i].shape, own[best].shape) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	return k.first[workspace] + best
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
func (k kinds) claim(gangs []held) {
	order := make([]int, 0, len(gangs))
	choices := make([]int, len(gangs))
	for i := range gangs {
		g := &gangs[i]
		if g.Lent || g.Stopping {
			continue
		}
		order = append(order, i)
		for _, own := range k.of(g.Key.Workspace) {
			if own.covers(g.shape) {
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
		n := k.smallest(g.Key.Workspace, g.shape)
		if n < 0 {
			g.Lent = true
			continue
		}
		k.list[n].left--
	}
}
