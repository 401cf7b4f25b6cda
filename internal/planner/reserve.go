package planner

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// maxReservations returns how many waiting units of a priority get workers reserved. Units
// of priority 0 don't get more in a larger pool: they may preempt, and would keep each other
// from the reserved workers, which those of lower priorities leave to them.
func (v *view) maxReservations(priority int) int {
	if priority == 0 {
		return minReservations
	}
	return max(minReservations, len(v.workers)/workersPerReservation)
}

// reserve reserves the workers on which a waiting unit is estimated to fit first.
// Shorter work may use them until then; longer work can't delay the unit
// indefinitely. It reports whether there are such workers.
func (v *view) reserve(u *unit) bool {
	avoid := v.mayAvoid(u, false)
	var best []int
	bestAt := time.Duration(-1)
	for _, members := range v.groups(u, false) {
		at, chosen := v.firstFit(u, members, avoid, bestAt)
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
			v.cache.changed(v.rackOf[i])
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

// release is the estimated end of a run on a worker.
type release struct {
	at   time.Duration
	need work.Resources
}

func compareReleases(a, b release) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.MemMB, b.need.MemMB), cmp.Compare(a.need.Accel, b.need.Accel))
}

// releases holds the releases of the workers of a view, and memory that firstFit reuses.
type releases struct {
	byWorker []workerReleases // by worker index
	upcoming upcomingHeap
	free     []work.Resources // by worker index
	slots    []int            // by worker index
}

// workerReleases holds the releases of a worker in order of time. They are current while its
// runs don't change.
type workerReleases struct {
	known      bool
	runChanges int // of the worker, when the releases were computed
	list       []release
}

// upcoming is the next release of worker i, the one with the given index.
type upcoming struct {
	at      time.Duration
	i, next int
}

// upcomingHeap is a heap.Interface that orders releases by time, and those of one time by
// worker.
type upcomingHeap []upcoming

func (h upcomingHeap) Len() int { return len(h) }
func (h upcomingHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].i < h[b].i
}
func (h upcomingHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *upcomingHeap) Push(x any)   { *h = append(*h, x.(upcoming)) }
func (h *upcomingHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// releasesOf returns the releases of worker i in order of time.
func (v *view) releasesOf(i int) []release {
	r, w := &v.releases.byWorker[i], v.workers[i]
	if !r.known || r.runChanges != w.runChanges {
		r.known, r.runChanges, r.list = true, w.runChanges, r.list[:0]
		for _, run := range w.runs {
			r.list = append(r.list, release{v.now + run.remaining(v.now), run.need})
		}
		slices.SortFunc(r.list, compareReleases)
	}
	return r.list
}

// firstFit returns the time at which the unit is estimated to fit on the given
// workers, and those that it needs. The workers are nil if it can't fit, or if before isn't
// negative and it doesn't fit before that time. With avoid, workers on which it failed or
// stalled are left out.
func (v *view) firstFit(u *unit, members []int, avoid bool, before time.Duration) (time.Duration, []int) {
	s := &v.releases
	if s.byWorker == nil {
		s.byWorker = make([]workerReleases, len(v.workers))
		s.free, s.slots = make([]work.Resources, len(v.workers)), make([]int, len(v.workers))
	}
	// The releases of all workers are merged only as far as the unit needs them.
	s.upcoming = s.upcoming[:0]
	total := 0
	for _, i := range members {
		s.slots[i] = 0
		if !v.allowed(u, i, avoid) || v.reservedFrom[i] > 0 {
			continue
		}
		s.free[i] = v.free[i]
		s.slots[i] = v.slots(u, i, s.free[i])
		total += s.slots[i]
		if list := v.releasesOf(i); len(list) > 0 {
			s.upcoming = append(s.upcoming, upcoming{list[0].at, i, 0})
		}
	}
	if total < u.count {
		heap.Init(&s.upcoming)
	}
	at := v.now
	for total < u.count && len(s.upcoming) > 0 {
		next := &s.upcoming[0]
		if at = next.at; before >= 0 && at >= before {
			return 0, nil
		}
		i, list := next.i, s.byWorker[next.i].list
		s.free[i] = s.free[i].Add(list[next.next].need)
		n := v.slots(u, i, s.free[i])
		total += n - s.slots[i]
		s.slots[i] = n
		if next.next++; next.next < len(list) {
			next.at = list[next.next].at
			heap.Fix(&s.upcoming, 0)
		} else {
			heap.Pop(&s.upcoming)
		}
	}
	if total < u.count {
		return 0, nil
	}
	var chosen []int
	remaining := u.count
	for _, i := range members {
		if n := s.slots[i]; n > 0 && remaining > 0 {
			chosen = append(chosen, i)
			remaining -= n
		}
	}
	return at, chosen
}
