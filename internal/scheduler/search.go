package scheduler

import (
	"cmp"
	"slices"
)

// searcher places all shapes by depth-first search with a bound on its steps.
// Within the bound it finds a packing whenever there is one.
type searcher struct {
	fleet *fleet
	// counts is what is left of each worker.
	counts []int
	// limit bounds what the first limited shapes may use of each worker.
	limit   []int
	limited int
	shapes  []shape
	out     []block
	steps   int
}

// pack finds a place for every shape at once. The first limited shapes use
// only what limit has. It uses up budget, in steps.
func pack(g, limit *grid, limited int, shapes []shape, budget *int) ([]block, bool) {
	total, size := 0, 0
	for _, n := range g.rackSum {
		total += n
	}
	for _, sh := range shapes {
		size += sh.size()
	}
	if size > total || *budget <= 0 {
		return nil, false
	}
	s := &searcher{
		fleet:  g.fleet,
		counts: slices.Clone(g.free),
		shapes: shapes,
		out:    make([]block, len(shapes)),
		steps:  min(*budget, packSteps),
	}
	if limited > 0 {
		s.limit = slices.Clone(limit.free)
		s.limited = limited
	}
	before := s.steps
	ok := s.place(0)
	*budget -= before - s.steps
	return s.out, ok
}

func (s *searcher) place(i int) bool {
	if i == len(s.shapes) {
		return true
	}
	try := func(b block) bool {
		s.shift(i, b, -1)
		s.out[i] = b
		if s.place(i + 1) {
			return true
		}
		s.shift(i, b, 1)
		return false
	}
	switch reach(s.shapes[i].adjacency) {
	case 0:
		return s.eachWorker(i, try)
	case 1:
		for _, span := range s.fleet.racks {
			if s.eachFill(i, span.lo, span.hi, try) {
				return true
			}
		}
		return false
	default:
		return s.eachFill(i, 0, len(s.counts), try)
	}
}

func (s *searcher) shift(i int, b block, sign int) {
	for _, t := range b.seats {
		n := sign * t.members * b.accelerators
		s.counts[t.worker] += n
		if i < s.limited {
			s.limit[t.worker] += n
		}
	}
}

// room is what shape i may use of a worker.
func (s *searcher) room(i, w int) int {
	if i < s.limited {
		return min(s.counts[w], s.limit[w])
	}
	return s.counts[w]
}

// spend counts steps and reports whether any are left.
func (s *searcher) spend(n int) bool {
	s.steps -= n
	return s.steps > 0
}

func (s *searcher) eachWorker(i int, try func(block) bool) bool {
	sh := s.shapes[i]
	order := s.byRoom(i, 0, len(s.counts), sh.size())
	for _, w := range order {
		if !s.spend(1) {
			return false
		}
		// Like shapes are interchangeable, so only one order is tried.
		if i > 0 && i != s.limited && s.shapes[i-1] == sh && w < s.out[i-1].seats[0].worker {
			continue
		}
		if try(block{accelerators: sh.accelerators, seats: []seat{{worker: w, members: sh.members}}}) {
			return true
		}
	}
	return false
}

// byRoom lists workers with at least the given room, those with the least
// first.
func (s *searcher) byRoom(i, lo, hi, least int) []int {
	s.spend((hi - lo) / stepWorkers)
	var order []int
	for w := lo; w < hi; w++ {
		if s.room(i, w) >= least {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(s.room(i, a), s.room(i, b))
	})
	return order
}

// eachFill tries every distribution of the members over workers lo to hi,
// fullest workers first.
func (s *searcher) eachFill(i, lo, hi int, try func(block) bool) bool {
	sh := s.shapes[i]
	order := s.byRoom(i, lo, hi, sh.accelerators)
	rest := make([]int, len(order)+1)
	for k := len(order) - 1; k >= 0; k-- {
		rest[k] = rest[k+1] + s.room(i, order[k])/sh.accelerators
	}
	var seats []seat
	var descend func(k, left int) bool
	descend = func(k, left int) bool {
		if !s.spend(1) {
			return false
		}
		if left == 0 {
			return try(block{accelerators: sh.accelerators, seats: slices.Clone(seats)})
		}
		if rest[k] < left {
			return false
		}
		most := min(left, s.room(i, order[k])/sh.accelerators)
		for n := most; n >= 0; n-- {
			if n > 0 {
				seats = append(seats, seat{worker: order[k], members: n})
			}
			if descend(k+1, left-n) {
				return true
			}
			if n > 0 {
				seats = seats[:len(seats)-1]
			}
		}
		return false
	}
	return descend(0, sh.members)
}
