package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// reserve keeps the workers on which a waiting unit will fit first, as far as
// run times can be told, so that shorter work may use them until then and
// longer work can't put the unit off without end.
func (v *view) reserve(u *unit) {
	groups := [][]int{v.all()}
	if u.spec().Gang && u.spec().SameRack && u.count > 1 {
		groups = v.racks
	}
	var best []int
	bestAt := time.Duration(-1)
	for _, members := range groups {
		at, chosen := v.firstFit(u, members)
		if chosen != nil && (bestAt < 0 || at < bestAt) {
			best, bestAt = chosen, at
		}
	}
	for _, i := range best {
		if v.heldFrom[i] == 0 || v.heldFrom[i] > bestAt {
			v.heldFrom[i] = bestAt
		}
	}
}

// firstFit returns when the unit will fit on the given workers, and on which.
func (v *view) firstFit(u *unit, members []int) (time.Duration, []int) {
	type release struct {
		i    int
		at   time.Duration
		need work.Resources
	}
	var ends []release
	free := map[int]work.Resources{}
	slots := map[int]int{}
	total := 0
	for _, i := range members {
		if !v.allowed(u, i, true) || v.heldFrom[i] > 0 {
			continue
		}
		free[i] = v.free[i]
		slots[i] = v.slots(u, i, free[i])
		total += slots[i]
		for _, r := range v.workers[i].runs {
			ends = append(ends, release{i, v.now + r.left(v.now), r.need})
		}
	}
	slices.SortFunc(ends, func(a, b release) int { return int(a.at - b.at) })
	at := v.now
	for k := 0; total < u.count && k < len(ends); k++ {
		e := ends[k]
		at = e.at
		free[e.i] = free[e.i].Add(e.need)
		n := v.slots(u, e.i, free[e.i])
		total += n - slots[e.i]
		slots[e.i] = n
	}
	if total < u.count {
		return 0, nil
	}
	var chosen []int
	left := u.count
	for _, i := range members {
		if n := slots[i]; n > 0 && left > 0 {
			chosen = append(chosen, i)
			left -= n
		}
	}
	return at, chosen
}
