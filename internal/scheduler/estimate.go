package scheduler

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// estimateLeast is the number of runs seen before they replace what was
	// declared.
	estimateLeast = 5
	// estimateWindow is the number of last runs remembered for each service.
	estimateWindow = 64
)

// Estimates learns run times by workspace and service. The median isn't moved
// by the few runs that take many times longer. It isn't safe for concurrent
// use.
type Estimates struct {
	seen map[structs.ServiceKey]*runs
}

// runs is a ring of the last run times.
type runs struct {
	last []time.Duration
	next int
	// median is worked out at the first use after a change.
	median time.Duration
}

// NewEstimates returns an empty Estimates.
func NewEstimates() *Estimates {
	return &Estimates{seen: make(map[structs.ServiceKey]*runs)}
}

// Observe records the run time of a gang that succeeded.
func (e *Estimates) Observe(key structs.ServiceKey, ran time.Duration) {
	r := e.seen[key]
	if r == nil {
		r = &runs{}
		e.seen[key] = r
	}
	r.median = 0
	if len(r.last) < estimateWindow {
		r.last = append(r.last, ran)
		return
	}
	r.last[r.next] = ran
	r.next = (r.next + 1) % estimateWindow
}

// Expected returns the median run time of a service, or what was declared
// while too few runs were seen.
func (e *Estimates) Expected(key structs.ServiceKey, declared time.Duration) time.Duration {
	r := e.seen[key]
	if r == nil || len(r.last) < estimateLeast {
		return declared
	}
	if r.median == 0 {
		sorted := slices.Sorted(slices.Values(r.last))
		r.median = sorted[len(sorted)/2]
	}
	return r.median
}
