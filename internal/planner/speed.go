package planner

import (
	"math"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/speed"
)

const (
	// minObservedTime and minObservedPercents are the least progress of a run that tells of
	// its workers' speed. Progress is reported in whole percents.
	minObservedTime     = 500 * time.Millisecond
	minObservedPercents = 10
	// maxReportGap is the time since a worker's previous report above which a report tells
	// nothing of its speed: reports were lost, or this process was suspended, and the
	// progress is older than its arrival. Workers answer holds at least every second.
	maxReportGap = 1200 * time.Millisecond
	// completionOverhead is the time from the decision to start a unit to the moment at which
	// callers see its completion, in addition to its run time: the record, the start, the
	// result, the record again and the replica's delay.
	completionOverhead = 300 * time.Millisecond
	// classWidth is the width of a speed class in logarithms of the time factor: workers of
	// one class differ by less than a third, which is within the error of what is learned.
	classWidth = 0.3
	// maxClass is the slowest speed class, and its negative the fastest. It holds factors of
	// 10 and more, the largest that a run's observation counts for.
	maxClass = 8
)

// observeSpeed records how fast a run of a unit progresses. The percents are those of the
// run, or 100 once it has succeeded.
func (p *Planner) observeSpeed(r *run, percent int, now time.Duration) {
	u := r.unit
	if u == nil || u.phase != unitActive || u.spec().LongLived || u.spec().BestEffort || r.phase != runRunning || len(u.runs) == 0 {
		return
	}
	if now-r.worker.reportedAt > maxReportGap || u.count > 1 && u.hasMoreWorkersThan(speed.MaxGangWorkers) || u.startedCold() {
		return
	}
	if r.observedAt == 0 { // the run has continued from a checkpoint, or its start is estimated
		if r.basePercent == 0 && r.startedAt == r.confirmedAt {
			r.observedAt, r.observedPercent = r.startedAt, 0
		} else {
			r.observedAt, r.observedPercent = now, percent
			return
		}
	}
	gained, taken := percent-r.observedPercent, now-r.observedAt
	if gained < minObservedPercents || taken < minObservedTime || u.spec().Estimate <= 0 {
		return
	}
	if u.count > 1 && u.spec().SameRack && u.racks() > 1 {
		return // slowed down by the distance
	}
	nominal := float64(u.spec().Estimate) * float64(gained) / 100
	id, factor := speed.Run{Task: taskID(u, u.first), Number: r.number}, float64(taken)/nominal
	if p.speeds.Revise(now, id, factor) {
		return
	}
	workers := []string{r.worker.info.ID}
	if u.count > 1 {
		workers = u.workers()
	}
	p.speeds.Observe(now, speed.Observation{Run: id, Workers: workers, Factor: factor})
}

// hasMoreWorkersThan reports whether the unit's workers are more than limit. It looks at no
// more runs than needed, as wide gangs have thousands and each of them reports.
func (u *unit) hasMoreWorkersThan(limit int) bool {
	if len(u.runs)+len(u.previousWorkers) <= limit {
		return false
	}
	seen := make([]string, 0, limit+1)
	add := func(id string) bool {
		if !slices.Contains(seen, id) {
			seen = append(seen, id)
		}
		return len(seen) > limit
	}
	if slices.ContainsFunc(u.previousWorkers, add) {
		return true
	}
	for _, r := range u.runs {
		if add(r.worker.info.ID) {
			return true
		}
	}
	return false
}

// startedCold reports whether one of the unit's workers was cold at the start, which makes
// the run slower than later ones there.
func (u *unit) startedCold() bool {
	for _, r := range u.runs {
		if r.cold {
			return true
		}
	}
	return false
}

// timeFactor returns the time factor expected of the run, 1 if it was adopted.
func (r *run) timeFactor() float64 {
	if r.factor == 0 {
		return 1
	}
	return r.factor
}

// racks counts the racks on which the unit runs.
func (u *unit) racks() int {
	var racks []string
	for _, r := range u.runs {
		if !slices.Contains(racks, r.worker.info.Rack) {
			racks = append(racks, r.worker.info.Rack)
		}
	}
	return len(racks)
}

// speedClass returns the class of a time factor. Class 0 holds workers of nominal speed
// and those that nothing is known of; higher classes are slower.
func speedClass(factor float64) int {
	return int(min(max(math.Round(math.Log(factor)/classWidth), -maxClass), maxClass))
}

// speedClass returns the speed class of a worker with a time factor. In a pool of even
// workers, all but exceptions are of one class, also where the estimates are wrong alike.
func (p *Planner) speedClass(id string, factor float64) int {
	if !p.speeds.Even() {
		return speedClass(factor)
	}
	deviation := p.speeds.Deviation(id)
	if math.Abs(deviation) < classWidth {
		return 0
	}
	return speedClass(math.Exp(deviation))
}

// maxTimeFactor returns the largest time factor with which the unit still completes within
// its job's objective if it starts now. It is infinite for a unit without an end.
func (p *Planner) maxTimeFactor(u *unit, now time.Duration) float64 {
	if u.spec().LongLived || u.job.objective == 0 {
		return math.Inf(1)
	}
	following := u.job.criticalPaths[u.step] - u.spec().Estimate
	left := u.job.objective - p.waited(u, now) - following - completionOverhead
	return float64(left) / float64(u.estimate())
}

// SpeedFactor returns the worker's time factor: 2 if it takes twice as long as a worker of
// nominal speed.
func (p *Planner) SpeedFactor(id string) float64 { return p.speeds.Factor(id) }

// SpeedSpread returns how much the workers' speeds differ, as the standard deviation of the
// logarithms of their time factors.
func (p *Planner) SpeedSpread() float64 { return p.speeds.Spread() }

// StoredSpeeds returns the learned speeds for the next owner.
func (p *Planner) StoredSpeeds(workers []speed.Identity) speed.Stored { return p.speeds.Store(workers) }

// RestoreSpeed takes over what a previous owner learned of a worker.
func (p *Planner) RestoreSpeed(from *speed.Restorer, id speed.Identity) { from.Restore(p.speeds, id) }

// candidate is a worker on which tasks of a unit may be placed.
type candidate struct {
	i, slots  int
	freeCores float64
	class     int
	factor    float64
	upper     float64 // the time factor that it is unlikely to exceed
}

// timeliness tells whether a unit is expected to complete within its objective.
type timeliness int

const (
	surelyInTime timeliness = iota
	probablyInTime
	late
)

// fit is a choice of workers for a unit, with what it is compared by.
type fit struct {
	candidates []candidate
	timeliness timeliness
	// class is the slowest worker's speed class. mixed is set if a gang's faster members
	// wait for slower ones.
	class int
	mixed bool
	// cold is set if the warm workers among the candidates don't hold the unit.
	cold bool
}

// coldOrder is the least order of a fit with cold workers.
const coldOrder = 8 * (2*maxClass + 1)

// order returns the preference for a choice, less being better: those without cold workers
// first, then those in time, then those of one class, then those that leave faster workers to
// others or, where the time is short, those that complete the unit first.
func (f *fit) order() int {
	byClass := f.class + maxClass
	if f.timeliness == surelyInTime {
		byClass = maxClass - f.class
	}
	order := byClass + 2*(2*maxClass+1)*int(f.timeliness)
	if f.mixed {
		order += 2*maxClass + 1
	}
	if f.cold {
		order += coldOrder
	}
	return order
}

// chooseBySpeed returns those of the candidates on which the unit should run: the slowest
// ones on which it surely completes in time, of one speed class if there are enough of them;
// if there are none, the fastest. limit is the largest time factor in time. It returns nil
// if the candidates don't hold the whole unit. It reuses the memory of the candidates.
func chooseBySpeed(u *unit, candidates []candidate, limit float64) *fit {
	total, probable, sure := 0, 0, 0
	even := true
	for _, c := range candidates {
		total += c.slots
		if c.factor <= limit {
			probable += c.slots
		}
		if c.upper <= limit {
			sure += c.slots
		}
		even = even && c.class == candidates[0].class
	}
	result := fit{candidates: candidates, timeliness: late}
	switch {
	case total < u.count:
		return nil
	case sure >= u.count:
		result.timeliness = surelyInTime
		if !even {
			result.drop(func(c candidate) bool { return c.upper > limit })
			result.leaveFaster(u)
			return &result
		}
	case probable >= u.count:
		result.timeliness = probablyInTime
	}
	if even {
		result.class = candidates[0].class
	} else {
		result.takeFastest(u)
	}
	return &result
}

func (f *fit) drop(dropped func(c candidate) bool) {
	f.candidates = slices.DeleteFunc(f.candidates, dropped)
}

// classSlots holds the slots of candidates by speed class, from -maxClass to maxClass.
type classSlots [2*maxClass + 1]int

func (f *fit) slotsByClass() *classSlots {
	var slots classSlots
	for i := range f.candidates {
		slots[f.candidates[i].class+maxClass] += f.candidates[i].slots
	}
	return &slots
}

// takeFastest keeps the fewest classes that hold the unit, the fastest ones.
func (f *fit) takeFastest(u *unit) {
	sum := 0
	for k, n := range f.slotsByClass() {
		if sum += n; sum >= u.count {
			f.class = k - maxClass
			break
		}
	}
	f.drop(func(c candidate) bool { return c.class > f.class })
}

// leaveFaster keeps the slowest class that holds the unit, or else all candidates.
func (f *fit) leaveFaster(u *unit) {
	slots := f.slotsByClass()
	for k, n := range slices.Backward(slots[:]) {
		if n >= u.count {
			f.class = k - maxClass
			f.drop(func(c candidate) bool { return c.class != f.class })
			return
		}
	}
	for k, n := range slices.Backward(slots[:]) {
		if n > 0 {
			f.class, f.mixed = k-maxClass, true
			return
		}
	}
}

// scaled returns a duration at a time factor.
func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
