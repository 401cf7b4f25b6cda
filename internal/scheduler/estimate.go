package scheduler

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// minObservations is the number of runs needed before their median replaces
	// the declared run time.
	minObservations = 5
	// maxObservations is the number of most recent runs kept for each service.
	maxObservations = 64
)

// Estimates estimates run times by workspace and service. It uses the median,
// which a few runs that take many times longer don't move. It isn't safe for
// concurrent use.
type Estimates struct {
	history map[structs.ServiceKey]*runHistory
}

// runHistory is a ring buffer of the most recent run times.
type runHistory struct {
	last []time.Duration
	next int
	// median is computed on the first use after a change; 0 means not computed.
	median time.Duration
}

// NewEstimates returns an empty Estimates.
func NewEstimates() *Estimates {
	return &Estimates{history: make(map[structs.ServiceKey]*runHistory)}
}

// Observe records the run time of a gang that succeeded.
func (e *Estimates) Observe(key structs.ServiceKey, ran time.Duration) {
	r := e.history[key]
	if r == nil {
		r = &runHistory{}
		e.history[key] = r
	}
	r.median = 0
	if len(r.last) < maxObservations {
		r.last = append(r.last, ran)
		return
	}
	r.last[r.next] = ran
	r.next = (r.next + 1) % maxObservations
}

// Expected returns the median run time of a service, or the declared one while
// fewer than minObservations runs were recorded.
func (e *Estimates) Expected(key structs.ServiceKey, declared time.Duration) time.Duration {
	r := e.history[key]
	if r == nil || len(r.last) < minObservations {
		return declared
	}
	if r.median == 0 {
		sorted := slices.Sorted(slices.Values(r.last))
		r.median = sorted[len(sorted)/2]
	}
	return r.median
}
