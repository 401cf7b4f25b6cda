package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// placement is how many of a unit's tasks go to a worker.
type placement struct {
	worker *worker
	count  int
}

// view is the room as one pass of decisions sees and uses it up.
type view struct {
	planner *Planner
	now     time.Duration
	workers []*worker // usable ones
	free    []work.Resources
	racks   [][]int // indexes by rack, in order of first appearance
	rackOf  []int
	beside  []neighbours // by worker
	// heldFrom is when a reservation begins; shorter work may run before.
	heldFrom []time.Duration
	// kept workers are for urgent work only.
	kept  []bool
	index map[*worker]int
}

func (p *Planner) newView(now time.Duration) *view {
	v := &view{planner: p, now: now, index: make(map[*worker]int, len(p.ids))}
	rackIndex := map[string]int{}
	for _, id := range p.ids {
		w := p.workers[id]
		if !w.usable(now) {
			continue
		}
		i := len(v.workers)
		k, ok := rackIndex[w.info.Rack]
		if !ok {
			k = len(v.racks)
			rackIndex[w.info.Rack] = k
			v.racks = append(v.racks, nil)
		}
		v.racks[k] = append(v.racks[k], i)
		v.rackOf = append(v.rackOf, k)
		v.index[w] = i
		v.workers = append(v.workers, w)
		v.free = append(v.free, w.free)
		v.beside = append(v.beside, w.neighbours())
	}
	v.heldFrom = make([]time.Duration, len(v.workers))
	p.keepHeadroom(v)
	return v
}

func (v *view) all() []int {
	out := make([]int, len(v.workers))
	for i := range out {
		out[i] = i
	}
	return out
}

// slots is how many of the unit's tasks fit into free on worker i.
func (v *view) slots(u *unit, i int, free work.Resources) int {
	s := u.spec()
	n := u.count
	if s.Need.CPU > 0 {
		n = min(n, int(max(free.CPU, 0)/s.Need.CPU))
	}
	if s.Need.MemMB > 0 {
		n = min(n, int(max(free.MemMB, 0)/s.Need.MemMB))
	}
	if s.Need.Accel > 0 {
		n = min(n, int(max(free.Accel, 0)/s.Need.Accel))
	}
	if s.MaxPerWorker > 0 && n > 0 {
		n = min(n, s.MaxPerWorker-v.workers[i].tasksOf(u))
	}
	return max(n, 0)
}

// tasksOf counts the worker's runs of the unit's step.
func (w *worker) tasksOf(u *unit) int {
	n := 0
	for _, r := range w.runs {
		if r.unit != nil && r.unit.shape() == u.shape() {
			n++
		}
	}
	return n
}

// allowed reports whether the unit may go to worker i at present.
func (v *view) allowed(u *unit, i int, avoid bool) bool {
	w := v.workers[i]
	if v.kept[i] && u.job.rec.Job.Priority > 0 || !v.suits(u, i) {
		return false
	}
	if _, ok := v.planner.ticket(u, w, v.now); !ok {
		return false
	}
	return !avoid || !u.avoid[w.info.ID]
}

// suits reports whether worker i is of the kind that the unit needs, and runs
// nothing that it must not be beside.
func (v *view) suits(u *unit, i int) bool {
	if label := u.spec().RequiredLabel; label != "" && !v.workers[i].info.HasLabel(label) {
		return false
	}
	return u.shares(v.beside[i])
}

// place finds room for the whole unit, or returns nil. Workers on which it
// failed before are used only when nothing else is left.
func (v *view) place(u *unit, spread bool) []placement {
	if out := v.placeAvoiding(u, spread, true); out != nil || len(u.avoid) == 0 {
		return out
	}
	if len(u.avoid)*2 < len(v.workers) {
		return nil
	}
	return v.placeAvoiding(u, spread, false)
}

func (v *view) placeAvoiding(u *unit, spread, avoid bool) []placement {
	s := u.spec()
	if rack := s.DataRack; rack != "" {
		for _, members := range v.racks {
			if v.workers[members[0]].info.Rack == rack {
				if out := v.placeOn(u, members, avoid); out != nil {
					return out
				}
			}
		}
	}
	if !s.Gang || !s.SameRack || u.count == 1 || spread {
		return v.placeOn(u, v.all(), avoid)
	}
	var best []placement
	bestFree := 0.0
	for _, members := range v.racks {
		free := v.rackFree(members)
		if best != nil && free >= bestFree {
			continue
		}
		if out := v.placeOn(u, members, avoid); out != nil {
			best, bestFree = out, free
		}
	}
	return best
}

func (v *view) rackFree(members []int) float64 {
	sum := 0.0
	for _, i := range members {
		sum += v.free[i].Cores()
	}
	return sum
}

// rackShare is how much a rack's free room counts against the worker's own when
// tasks are packed: whole workers matter more often than whole racks.
const rackShare = 0.05

// placeOn packs the unit on the fullest of the given workers that have room.
func (v *view) placeOn(u *unit, members []int, avoid bool) []placement {
	type candidate struct {
		i, slots int
		rest     float64
	}
	var cands []candidate
	total := 0
	until := v.now + u.estimate()
	if u.spec().LongLived {
		until = v.now + forever
	}
	for _, i := range members {
		if !v.allowed(u, i, avoid) || (v.heldFrom[i] > 0 && until > v.heldFrom[i]) {
			continue
		}
		n := v.slots(u, i, v.free[i])
		if n == 0 {
			continue
		}
		total += n
		cands = append(cands, candidate{i, n, v.free[i].Cores()})
	}
	if total < u.count {
		return nil
	}
	if len(members) == len(v.workers) {
		rack := make([]float64, len(v.racks))
		for k, m := range v.racks {
			rack[k] = v.rackFree(m)
		}
		for k := range cands {
			cands[k].rest += rackShare * rack[v.rackOf[cands[k].i]]
		}
	}
	slices.SortStableFunc(cands, func(a, b candidate) int {
		switch {
		case a.rest < b.rest:
			return -1
		case a.rest > b.rest:
			return 1
		}
		return 0
	})
	var out []placement
	left := u.count
	for _, c := range cands {
		n := min(c.slots, left)
		out = append(out, placement{v.workers[c.i], n})
		if left -= n; left == 0 {
			break
		}
	}
	return out
}

// take uses up the room of a placement.
func (v *view) take(u *unit, out []placement) {
	for _, pl := range out {
		if i, ok := v.index[pl.worker]; ok {
			v.beside[i].serving = v.beside[i].serving || u.serves()
			for range pl.count {
				v.free[i] = v.free[i].Sub(u.spec().Need)
			}
		}
	}
}

// fitsNow reports whether a claimed placement has its room free by now.
func (v *view) fitsNow(u *unit, out []placement) bool {
	for _, pl := range out {
		i, ok := v.index[pl.worker]
		if !ok || v.slots(u, i, v.free[i]) < pl.count {
			return false
		}
	}
	return true
}
