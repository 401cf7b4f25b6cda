// Package delegation decides which instances carry out a pool owner's calls to its
// workers. The load pattern that it answers is a pool of hundreds of workers, whose
// renewals, starts and results are more calls than the processor of one instance
// can make, while the other instances are idle.
package delegation

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/rendezvous"
)

const (
	// directWorkersPerCore is the number of workers per core up to which an owner
	// calls them itself: a worker takes about four calls a second of 0.3 ms each, and
	// planning takes the larger part of a core.
	directWorkersPerCore = 250
	// delegateWorkersPerCore is the number of workers per core that a delegate is
	// meant to serve besides its other duties.
	delegateWorkersPerCore = 100
)

// Instance is an instance that may carry out calls.
type Instance struct {
	Name    string
	Domain  string // failure domain
	Address string // host:port
	Cores   float64
}

// Needed reports whether an owner with a number of cores should delegate the calls
// to its workers.
func Needed(workers int, cores float64) bool {
	return float64(workers) > directWorkersPerCore*cores
}

// Choose returns the delegates for a number of workers, sorted by name. Each failure
// domain provides those with the most cores, until they suffice for its part of the
// workers.
func Choose(instances []Instance, workers int) []Instance {
	domains := map[string][]Instance{}
	for _, in := range instances {
		domains[in.Domain] = append(domains[in.Domain], in)
	}
	var out []Instance
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		members := domains[domain]
		slices.SortFunc(members, func(a, b Instance) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
		})
		missing := float64(workers) / float64(len(domains)) / delegateWorkersPerCore
		for _, in := range members {
			if missing <= 0 {
				break
			}
			missing -= in.Cores
			out = append(out, in)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Route returns the index of the instance that carries out the calls to a worker, by
// highest random weight in proportion to the cores, or -1 if there is none. Instances
// in the worker's failure domain are preferred.
func Route(worker, domain string, instances []Instance) int {
	best, bestScore, bestNear := -1, 0.0, false
	for i := range instances {
		in := &instances[i]
		near := in.Domain == domain
		score := weight(worker, in)
		if best < 0 || (near && !bestNear) || (near == bestNear && score > bestScore) {
			best, bestScore, bestNear = i, score, near
		}
	}
	return best
}

// weight returns the weighted rendezvous score of an instance for a worker.
func weight(worker string, in *Instance) float64 {
	uniform := (float64(rendezvous.Score(worker, in.Name)>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -in.Cores / math.Log(uniform)
}
