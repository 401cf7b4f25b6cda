package planner

import (
	"math"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// maxCachedKinds limits the kinds of units whose fits are kept by rack. A kind takes 8 KB
	// at 1,100 workers in racks of 8.
	maxCachedKinds = 512
	// maxRescans limits how often bestKnownRack looks for the next best rack before it
	// computes all fits again. A scan costs as much as the fits on a few racks.
	maxRescans = 8
)

// placementCache holds what a planning pass has learned about placements. The free capacity
// of a view only shrinks and its reservations only grow, so a failure holds until the end of
// the pass. How a unit fits on a rack holds until the rack changes.
type placementCache struct {
	failures []failure
	racks    []rackState           // by index of the rack
	fits     map[fitKind][]rackFit // by index of the rack
}

func newPlacementCache(racks int) *placementCache {
	return &placementCache{racks: make([]rackState, racks), fits: map[fitKind][]rackFit{}}
}

// rackState is the state of a rack's workers in a view.
type rackState struct {
	changes   int // of free capacity, claims, neighbours and reservations
	freeCores float64
	// coresKnown is set if freeCores is that of the rack as it is.
	coresKnown bool
}

// placementKind is what the placement of a unit depends on besides its estimate, its time
// limit and its data rack.
type placementKind struct {
	need       work.Resources
	count      int
	label      string
	urgent     bool // may use the workers that are reserved for priority 0
	bestEffort bool
	serving    bool
	longLived  bool
}

// fitKind is a kind of units with similar time limits. The fits for other limits are kept
// apart, as they would replace each other.
type fitKind struct {
	placementKind
	limitClass int
}

func kindOf(u *unit) placementKind {
	s := u.spec()
	return placementKind{need: s.Need, count: u.count, label: s.RequiredLabel, urgent: u.job.rec.Job.Priority <= 0,
		bestEffort: s.BestEffort, serving: u.isServing(), longLived: s.LongLived}
}

// isOwnCase reports whether the placement of the unit depends on more than its kind: on the
// runs of its step, on its tickets, or on the workers that it avoids. Each of these only
// excludes workers.
func (u *unit) isOwnCase(avoid bool) bool {
	return u.spec().MaxPerWorker > 0 || u.job.rec.Job.PolicyControlled || avoid && len(u.avoid) > 0
}

// failure is a unit that found no place in the pass.
type failure struct {
	placementKind
	estimate time.Duration
	oneRack  bool // it was looked for on single racks only; several together might hold it
}

// covers reports whether the failure implies that a unit finds no place either: it needs no
// less, for no less time, and may use no other workers. Neither its data rack nor its time
// limit lets a unit use more workers.
func (f *failure) covers(kind *placementKind, estimate time.Duration, oneRack bool) bool {
	return kind.need.Fits(f.need) && f.count <= kind.count && f.estimate <= estimate && f.longLived == kind.longLived &&
		(f.label == "" || f.label == kind.label) && (f.urgent || !kind.urgent) &&
		(!f.bestEffort || kind.bestEffort) && (!f.serving || kind.serving) && (!f.oneRack || oneRack)
}

// hasFailed reports whether a failure in this pass implies that the unit finds no place.
func (c *placementCache) hasFailed(u *unit, oneRack bool) bool {
	if c == nil || len(c.failures) == 0 {
		return false
	}
	kind, estimate := kindOf(u), u.estimate()
	for i := range c.failures {
		if c.failures[i].covers(&kind, estimate, oneRack) {
			return true
		}
	}
	return false
}

// addFailure records that the unit found no place.
func (c *placementCache) addFailure(u *unit, oneRack, avoid bool) {
	if c != nil && !u.isOwnCase(avoid) {
		c.failures = append(c.failures, failure{kindOf(u), u.estimate(), oneRack})
	}
}

// changed records a change to a worker of a rack.
func (c *placementCache) changed(rack int) {
	if c != nil {
		c.racks[rack].changes++
		c.racks[rack].coresKnown = false
	}
}

// rackFit is how a unit of a kind fits on a rack.
type rackFit struct {
	known   bool
	changes int // of the rack, when the fit was computed
	fits    bool
	order   int // fit.order of the fit
	validFor
}

// validFor holds the ranges of time limits and estimates for which a fit is the same.
type validFor struct {
	minLimit, maxLimit       float64
	minEstimate, maxEstimate time.Duration
}

func validForAll() validFor {
	return validFor{minLimit: math.Inf(-1), maxLimit: math.Inf(1), maxEstimate: math.MaxInt64}
}

// narrowLimits narrows the range of limits to those on the same side of a time factor as limit.
func (r *validFor) narrowLimits(factor, limit float64) {
	if factor <= limit {
		r.minLimit = max(r.minLimit, factor)
	} else {
		r.maxLimit = min(r.maxLimit, math.Nextafter(factor, math.Inf(-1)))
	}
}

// narrowEstimates narrows the range of estimates to those for which a worker with a
// reservation is surely used as it is for the given one. A worker that is used is also used
// for shorter estimates, one that isn't isn't for longer ones.
func (r *validFor) narrowEstimates(estimate time.Duration, used bool) {
	if used {
		r.maxEstimate = estimate
	} else {
		r.minEstimate = estimate
	}
}

func (r *validFor) includes(limit float64, estimate time.Duration) bool {
	return r.minLimit <= limit && limit <= r.maxLimit && r.minEstimate <= estimate && estimate <= r.maxEstimate
}

// rackFits returns the fits of the unit's kind by rack, or nil if they aren't kept.
func (c *placementCache) rackFits(u *unit, avoid bool, limit float64) []rackFit {
	if c == nil || u.isOwnCase(avoid) {
		return nil
	}
	kind := fitKind{kindOf(u), -maxClass}
	if limit > 0 {
		kind.limitClass = speedClass(limit)
	}
	fits, ok := c.fits[kind]
	if !ok && len(c.fits) < maxCachedKinds {
		fits = make([]rackFit, len(c.racks))
		c.fits[kind] = fits
	}
	return fits
}

// refresh computes the fit of a unit on a rack again.
func (v *view) refresh(r *rackFit, u *unit, rack int, avoid bool, limit float64) {
	*r = rackFit{known: true, changes: v.cache.racks[rack].changes, validFor: validForAll()}
	if f := v.fitOn(u, v.racks[rack], avoid, limit, &r.validFor); f != nil {
		r.fits, r.order = true, f.order()
		return
	}
	// If the workers don't hold the unit, no other limit helps, and a longer estimate doesn't
	// either.
	r.minLimit, r.maxLimit, r.maxEstimate = math.Inf(-1), math.Inf(1), math.MaxInt64
}

// orderOnRack returns the order of the unit's fit on a rack, or false if it doesn't fit.
// known holds the fits of the unit's kind by rack, or is nil.
func (v *view) orderOnRack(u *unit, rack int, avoid bool, limit float64, known []rackFit) (int, bool) {
	if known == nil {
		f := v.fitOn(u, v.racks[rack], avoid, limit, nil)
		if f == nil {
			return 0, false
		}
		return f.order(), true
	}
	r := &known[rack]
	current := r.changes == v.cache.racks[rack].changes || !r.fits
	if !r.known || !current || !r.includes(limit, u.estimate()) {
		v.refresh(r, u, rack, avoid, limit)
	}
	return r.order, r.fits
}

// bestKnownRack returns the rack that suits the unit best, as findPlace chooses it in an
// uneven pool, or -1. A fit only gets worse as the rack's workers are taken or reserved: it
// is as good as the last known one at best. So only those are computed again that would be
// the best. The free capacity, of which less is better, is known.
func (v *view) bestKnownRack(u *unit, avoid bool, limit float64, known []rackFit) int {
	estimate := u.estimate()
	for k := range known {
		if r := &known[k]; !r.known || !r.includes(limit, estimate) {
			v.refresh(r, u, k, avoid, limit)
		}
	}
	for scan := 0; ; scan++ {
		best, bestFree := -1, 0.0
		for k := range known {
			r := &known[k]
			if !r.fits {
				continue
			}
			if scan == maxRescans && r.changes != v.cache.racks[k].changes {
				if v.refresh(r, u, k, avoid, limit); !r.fits {
					continue
				}
			}
			free := v.rackFree(k)
			if best < 0 || r.order < known[best].order || r.order == known[best].order && free < bestFree {
				best, bestFree = k, free
			}
		}
		if best < 0 || known[best].changes == v.cache.racks[best].changes {
			return best
		}
		v.refresh(&known[best], u, best, avoid, limit)
	}
}

// rackFree returns the free capacity of a rack's workers in cores.
func (v *view) rackFree(rack int) float64 {
	if v.cache == nil {
		return v.sumFree(rack)
	}
	state := &v.cache.racks[rack]
	if !state.coresKnown {
		state.freeCores, state.coresKnown = v.sumFree(rack), true
	}
	return state.freeCores
}

func (v *view) sumFree(rack int) float64 {
	sum := 0.0
	for _, i := range v.racks[rack] {
		sum += v.free[i].Cores()
	}
	return sum
}
