package scheduler

import (
	"fmt"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// oracle decides by trying everything whether a snapshot's guarantees can be
// reclaimed. It shares no code with the scheduler.
type oracle struct {
	racks []string
	dead  map[string]bool
}

// verdict says whether the guarantees, less what running gangs hold of them,
// fit on accelerators that are free, stopping, or lent to preemptible gangs.
// A gang counts against one guarantee so that the fewest gangs count against
// none and the guarantees used are smallest; where that is possible in
// several ways, any tells whether one of them fits and all whether each does.
type verdict struct {
	any, all bool
}

// counting is a way to count the gangs against the guarantees.
type counting struct {
	s     Snapshot
	owed  []owedGang
	gangs []Gang
	// fixed are gangs that can't be reclaimed.
	fixed []Gang
	// outside counts gangs against no guarantee, used sums the others'.
	outside, used int
}

type owedGang struct {
	structs.Guarantee
	owner string
	taken bool
}

func holdable(s Snapshot) verdict {
	c := counting{s: s}
	for _, w := range s.Workspaces {
		for _, g := range w.Guarantees {
			for range g.Gangs {
				c.owed = append(c.owed, owedGang{Guarantee: g, owner: w.Name})
			}
		}
	}
	for _, g := range s.Gangs {
		switch {
		case g.Stopping || g.Lent && g.Preemptible:
		case g.Lent:
			c.fixed = append(c.fixed, g)
		default:
			c.gangs = append(c.gangs, g)
		}
	}
	found := map[[2]int]verdict{}
	c.each(func(c counting) {
		key := [2]int{c.outside, c.used}
		v, known := found[key]
		ok := c.packable()
		found[key] = verdict{any: v.any || ok, all: (v.all || !known) && ok}
	})
	best := [2]int{1 << 20, 0}
	for key := range found {
		if key[0] < best[0] || key[0] == best[0] && key[1] < best[1] {
			best = key
		}
	}
	return found[best]
}

// each visits every way to count the gangs.
func (c counting) each(visit func(counting)) {
	if len(c.gangs) == 0 {
		visit(c)
		return
	}
	g := c.gangs[0]
	for i, o := range c.owed {
		like := i > 0 && c.owed[i-1] == o
		if like || o.taken || o.owner != g.Key.Workspace || !roomFor(o.Guarantee, g) {
			continue
		}
		d := c
		d.owed = slices.Clone(c.owed)
		d.owed[i].taken = true
		d.fixed = append(slices.Clone(c.fixed), g)
		d.used += o.Members * o.Accelerators
		d.gangs = c.gangs[1:]
		d.each(visit)
	}
	d := c
	if !g.Preemptible {
		d.fixed = append(slices.Clone(c.fixed), g)
	}
	d.outside++
	d.gangs = c.gangs[1:]
	d.each(visit)
}

// roomFor reports whether a place for the guarantee has room for the gang.
func roomFor(o structs.Guarantee, g Gang) bool {
	level := map[structs.Adjacency]int{structs.AdjacencyWorker: 0, structs.AdjacencyRack: 1, structs.AdjacencyDomain: 2}
	if level[o.Adjacency] > level[g.Adjacency] {
		return false
	}
	if o.Adjacency == structs.AdjacencyWorker {
		return o.Members*o.Accelerators >= len(g.Members)*g.Accelerators
	}
	return o.Members*(o.Accelerators/g.Accelerators) >= len(g.Members)
}

func (c counting) packable() bool {
	s, fixed := c.s, c.fixed
	var owed []structs.Guarantee
	for _, o := range c.owed {
		if !o.taken {
			owed = append(owed, o.Guarantee)
		}
	}
	o := oracle{}
	free := make([]int, len(s.Workers))
	for i, w := range s.Workers {
		o.racks = append(o.racks, w.Rack)
		if !w.Usable {
			continue
		}
		free[i] = w.Accelerators
		for _, g := range fixed {
			for _, m := range g.Members {
				if m.Worker == w.ID {
					free[i] -= g.Accelerators
				}
			}
		}
	}
	o.dead = make(map[string]bool)
	return o.fit(free, owed)
}

func (o *oracle) fit(free []int, owed []structs.Guarantee) bool {
	if len(owed) == 0 {
		return true
	}
	key := fmt.Sprint(len(owed), free)
	if o.dead[key] {
		return false
	}
	if o.member(free, owed, 0, owed[0].Members, -1) {
		return true
	}
	o.dead[key] = true
	return false
}

// member seats the members of the first gang one by one, on workers from
// index from on; first is the first member's worker.
func (o *oracle) member(free []int, owed []structs.Guarantee, from, left, first int) bool {
	if left == 0 {
		return o.fit(free, owed[1:])
	}
	g := owed[0]
	for w := from; w < len(free); w++ {
		if free[w] < g.Accelerators || first >= 0 && !o.near(g.Adjacency, first, w) {
			continue
		}
		free[w] -= g.Accelerators
		lead := first
		if lead < 0 {
			lead = w
		}
		ok := o.member(free, owed, w, left-1, lead)
		free[w] += g.Accelerators
		if ok {
			return true
		}
	}
	return false
}

func (o *oracle) near(a structs.Adjacency, x, y int) bool {
	switch a {
	case structs.AdjacencyWorker:
		return x == y
	case structs.AdjacencyRack:
		return o.racks[x] == o.racks[y]
	default:
		return true
	}
}
