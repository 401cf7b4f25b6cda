package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// reserve reserves the workers on which a waiting unit is estimated to fit first.
// Shorter work may use them until then; longer work can't delay the unit
// indefinitely. It reports whether there are such workers.
func (v *view) reserve(u *unit) bool {
	avoid := v.mayAvoid(u, false)
	var best []int
	bestAt := time.Duration(-1)
	for _, members := range v.groups(u, false) {
		at, chosen := v.firstFit(u, members, avoid)
		if chosen != nil && (bestAt < 0 || at < bestAt) {
			best, bestAt = chosen, at
		}
	}
	if len(best) == 0 {
		return false
	}
	r := reservation{unit: u, from: bestAt}
	for _, i := range best {
		if v.reservedFrom[i] == 0 || v.reservedFrom[i] > bestAt {
			v.reservedFrom[i] = bestAt
			r.workers++
		}
	}
	v.planner.reservations = append(v.planner.reservations, r)
	return true
}

// reservation is the number of workers that a pass reserved for a waiting unit, and when
// it is estimated to fit on them.
type reservation struct {
	unit    *unit
	from    time.Duration
	workers int
}

// firstFit returns the time at which the unit is estimated to fit on the given
// workers, and those that it needs. The workers are nil if it can't fit. With avoid,
// workers on which it failed or stalled are left out.
func (v *view) firstFit(u *unit, members []int, avoid bool) (time.Duration, []int) {
	type release struct {
		i    int
		at   time.Duration
		need work.Resources
	}
	var releases []release
	free := map[int]work.Resources{}
	slots := map[int]int{}
	total := 0
	for _, i := range members {
		if !v.allowed(u, i, avoid) || v.reservedFrom[i] > 0 {
			continue
		}
		free[i] = v.free[i]
		slots[i] = v.slots(u, i, free[i])
		total += slots[i]
		for _, r := range v.workers[i].runs {
			releases = append(releases, release{i, v.now + r.remaining(v.now), r.need})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return int(a.at - b.at) })
	at := v.now
	for k := 0; total < u.count && k < len(releases); k++ {
		next := releases[k]
		at = next.at
		free[next.i] = free[next.i].Add(next.need)
		n := v.slots(u, next.i, free[next.i])
		total += n - slots[next.i]
		slots[next.i] = n
	}
	if total < u.count {
		return 0, nil
	}
	var chosen []int
	remaining := u.count
	for _, i := range members {
		if n := slots[i]; n > 0 && remaining > 0 {
			chosen = append(chosen, i)
			remaining -= n
		}
	}
	return at, chosen
}
