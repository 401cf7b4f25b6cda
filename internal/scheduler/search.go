package scheduler

import (
	"cmp"
	"slices"
)

// packer places all shapes by depth-first search with a bound on its steps.
// Within the bound it finds a packing if one exists.
type packer struct {
	fleet *fleet
	// remaining counts the accelerators left on each worker.
	remaining []int
	// limit bounds what the first numLimited shapes may use of each worker.
	limit      []int
	numLimited int
	shapes     []shape
	// blocks holds the place of each shape that is placed so far.
	blocks    []block
	stepsLeft int
}

// pack finds places for all shapes at once. The first numLimited shapes use only
// the capacity in limit. It subtracts the steps that it takes from budget.
func pack(available, limit *capacity, numLimited int, shapes []shape, budget *int) ([]block, bool) {
	total, needed := 0, 0
	for _, n := range available.rackSum {
		total += n
	}
	for _, sh := range shapes {
		needed += sh.size()
	}
	if needed > total || *budget <= 0 {
		return nil, false
	}
	p := &packer{
		fleet:     available.fleet,
		remaining: slices.Clone(available.counts),
		shapes:    shapes,
		blocks:    make([]block, len(shapes)),
		stepsLeft: min(*budget, maxPackSteps),
	}
	if numLimited > 0 {
		p.limit = slices.Clone(limit.counts)
		p.numLimited = numLimited
	}
	before := p.stepsLeft
	ok := p.place(0)
	*budget -= before - p.stepsLeft
	return p.blocks, ok
}

// place places shape i and all that follow, and reports whether they fit.
func (p *packer) place(i int) bool {
	if i == len(p.shapes) {
		return true
	}
	try := func(b block) bool {
		p.adjust(i, b, -1)
		p.blocks[i] = b
		if p.place(i + 1) {
			return true
		}
		p.adjust(i, b, 1)
		return false
	}
	switch adjacencyLevel(p.shapes[i].adjacency) {
	case 0:
		return p.tryWorkers(i, try)
	case 1:
		for _, span := range p.fleet.racks {
			if p.tryDistributions(i, span.lo, span.hi, try) {
				return true
			}
		}
		return false
	default:
		return p.tryDistributions(i, 0, len(p.remaining), try)
	}
}

func (p *packer) adjust(i int, b block, sign int) {
	for _, a := range b.assignments {
		n := sign * a.members * b.accelerators
		p.remaining[a.worker] += n
		if i < p.numLimited {
			p.limit[a.worker] += n
		}
	}
}

// available returns the accelerators of worker w that shape i may use.
func (p *packer) available(i, w int) int {
	if i < p.numLimited {
		return min(p.remaining[w], p.limit[w])
	}
	return p.remaining[w]
}

// spendSteps counts n steps and reports whether any are left.
func (p *packer) spendSteps(n int) bool {
	p.stepsLeft -= n
	return p.stepsLeft > 0
}

// tryWorkers tries every worker that holds the whole gang.
func (p *packer) tryWorkers(i int, try func(block) bool) bool {
	sh := p.shapes[i]
	order := p.byAvailable(i, 0, len(p.remaining), sh.size())
	for _, w := range order {
		if !p.spendSteps(1) {
			return false
		}
		// Equal shapes are interchangeable, so only one order is tried.
		if i > 0 && i != p.numLimited && p.shapes[i-1] == sh && w < p.blocks[i-1].assignments[0].worker {
			continue
		}
		if try(block{accelerators: sh.accelerators, assignments: []assignment{{worker: w, members: sh.members}}}) {
			return true
		}
	}
	return false
}

// byAvailable lists the workers from lo to hi, exclusive, with at least the needed
// accelerators, those with the fewest first.
func (p *packer) byAvailable(i, lo, hi, need int) []int {
	p.spendSteps((hi - lo) / workersPerStep)
	var order []int
	for w := lo; w < hi; w++ {
		if p.available(i, w) >= need {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.available(i, a), p.available(i, b))
	})
	return order
}

// tryDistributions tries every distribution of the members over workers lo to
// hi, exclusive, those with the fewest available accelerators first.
func (p *packer) tryDistributions(i, lo, hi int, try func(block) bool) bool {
	sh := p.shapes[i]
	order := p.byAvailable(i, lo, hi, sh.accelerators)
	membersFrom := make([]int, len(order)+1)
	for k := len(order) - 1; k >= 0; k-- {
		membersFrom[k] = membersFrom[k+1] + p.available(i, order[k])/sh.accelerators
	}
	var assignments []assignment
	var descend func(k, left int) bool
	descend = func(k, left int) bool {
		if !p.spendSteps(1) {
			return false
		}
		if left == 0 {
			return try(block{accelerators: sh.accelerators, assignments: slices.Clone(assignments)})
		}
		if membersFrom[k] < left {
			return false
		}
		most := min(left, p.available(i, order[k])/sh.accelerators)
		for n := most; n >= 0; n-- {
			if n > 0 {
				assignments = append(assignments, assignment{worker: order[k], members: n})
			}
			if descend(k+1, left-n) {
				return true
			}
			if n > 0 {
				assignments = assignments[:len(assignments)-1]
			}
		}
		return false
	}
	return descend(0, sh.members)
}
