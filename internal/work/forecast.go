package work

import "time"

// Resource is one of the kinds of Resources.
type Resource int

// The kinds of resources.
const (
	CPU Resource = iota + 1
	Memory
	Accelerators
)

// AllResources lists the kinds of resources.
var AllResources = []Resource{CPU, Memory, Accelerators}

// String returns the name of the resource in logs and metrics.
func (k Resource) String() string {
	switch k {
	case CPU:
		return "cores"
	case Memory:
		return "memory"
	case Accelerators:
		return "accelerators"
	}
	return "unknown"
}

// Amount returns the amount of one kind, in the unit of Resources.
func (r Resources) Amount(k Resource) int64 {
	switch k {
	case CPU:
		return r.CPU
	case Memory:
		return r.MemMB
	case Accelerators:
		return r.Accel
	}
	return 0
}

// UnitDemand returns how much of a resource must be free before a unit of the step can
// start: all members of a gang, otherwise a single task.
func (s *Step) UnitDemand(k Resource) int64 {
	if s.Gang {
		return int64(s.Count) * s.Need.Amount(k)
	}
	return s.Need.Amount(k)
}

// ShortestRun is the shortest run time of a task relative to its estimate: submitters
// estimate up to 90% too much, and the fastest workers take 0.7 of the nominal time. Tasks
// that take longer than estimated only delay others more.
const ShortestRun = 0.7 / 1.9

// Forecast holds lower bounds of the time until jobs that arrive at a pool now can start.
// The pool's owner publishes it for the admission checks of all instances.
type Forecast struct {
	// At is when it was computed, on the store's clock.
	At time.Duration `cbor:"1,keyasint"`
	// Scarcest is the resource that is scarcest in the pool, in which the bounds are
	// computed.
	Scarcest Resource     `cbor:"2,keyasint"`
	Bounds   []StartBound `cbor:"3,keyasint,omitempty"`
	// MeanWeights holds the mean weight of a job, by queue. It is that of Job.Weight.
	MeanWeights map[string]float64 `cbor:"4,keyasint,omitempty"`
}

// StartBound bounds the time until a unit can start from below. It holds for units of a
// priority not above Priority, which need at least MinDemand of the scarcest resource at
// once, have a rank up to MaxRank and, if OneRack is set, prefer one rack.
type StartBound struct {
	Priority  int           `cbor:"1,keyasint,omitempty"`
	MinDemand int64         `cbor:"2,keyasint,omitempty"`
	MaxRank   float64       `cbor:"3,keyasint"`
	OneRack   bool          `cbor:"4,keyasint,omitempty"`
	Wait      time.Duration `cbor:"5,keyasint"`
}

// Covers reports whether the bound holds for all units for which o holds.
func (b *StartBound) Covers(o *StartBound) bool {
	return b.Priority <= o.Priority && b.MinDemand <= o.MinDemand && b.MaxRank >= o.MaxRank && (!b.OneRack || o.OneRack)
}

// Wait returns the largest bound that holds for a unit of the step with a priority and a
// rank, 0 if there is none.
func (f *Forecast) Wait(s *Step, priority int, rank float64) time.Duration {
	unit := StartBound{Priority: priority, MinDemand: s.UnitDemand(f.Scarcest), MaxRank: rank, OneRack: s.PrefersOneRack()}
	wait := time.Duration(0)
	for i := range f.Bounds {
		if b := &f.Bounds[i]; b.Covers(&unit) {
			wait = max(wait, b.Wait)
		}
	}
	return wait
}

// LongestWait returns the largest bound for any unit of a priority.
func (f *Forecast) LongestWait(priority int) time.Duration {
	wait := time.Duration(0)
	for i := range f.Bounds {
		if b := &f.Bounds[i]; b.Priority <= priority {
			wait = max(wait, b.Wait)
		}
	}
	return wait
}
