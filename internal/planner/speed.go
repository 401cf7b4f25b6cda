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
	// completionOverhead is the time from the decision to start a unit to the moment at which
	// callers see its completion, in addition to its run time: the record, the start, the
	// result, the record again and the replica's delay.
	completionOverhead = 300 * time.Millisecond
	// classWidth is the width of a speed class in logarithms of the time factor: workers of
	// one class differ by less than a third, which is within the error of what is learned.
	classWidth = 0.3
	// holdBackShare is the part of Settings.ReclaimWithin for which an urgent unit may wait for
	// a worker on which it completes in time, while slower ones are free. Capacity for a unit
	// within its guarantee has to be reclaimed after that.
	holdBackShare = 0.4
)

// observeSpeed records how fast a run of a unit progresses. The percents are those of the
// run, or 100 once it has succeeded.
func (p *Planner) observeSpeed(r *run, percent int, now time.Duration) {
	u := r.unit
	if u == nil || u.phase != unitActive || u.spec().LongLived || u.spec().BestEffort || r.phase != runRunning || len(u.runs) == 0 {
		return
	}
	if r.observedAt == 0 { // the run has continued from a checkpoint, or was adopted
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
	workers := []string{r.worker.info.ID}
	if u.count > 1 {
		workers = u.workers()
		if u.racks() > 1 && u.spec().SameRack {
			return // slowed down by the distance
		}
	}
	nominal := float64(u.spec().Estimate) * float64(gained) / 100
	p.speeds.Observe(now, speed.Observation{
		Run:     speed.Run{Task: taskID(u, u.first), Number: r.number},
		Workers: workers, Factor: float64(taken) / nominal,
	})
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
func speedClass(factor float64) int { return int(math.Round(math.Log(factor) / classWidth)) }

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

// holdsBack reports whether an urgent unit waits for workers on which it completes in time
// although slower ones are free. It doesn't where no usable worker is fast enough.
func (p *Planner) holdsBack(u *unit, v *view, limit float64) bool {
	return u.job.rec.Job.Priority == 0 && p.waited(u, v.now) < time.Duration(holdBackShare*float64(p.settings.ReclaimWithin)) && limit >= v.leastUpper
}

// SpeedFactor returns the worker's time factor: 2 if it takes twice as long as a worker of
// nominal speed.
func (p *Planner) SpeedFactor(id string) float64 { return p.speeds.Factor(id) }

// StoredSpeeds returns the learned speeds for the next owner.
func (p *Planner) StoredSpeeds(workers []speed.Identity) speed.Stored { return p.speeds.Store(workers) }

// RestoreSpeed takes over what a previous owner learned of a worker.
func (p *Planner) RestoreSpeed(from *speed.Restorer, id speed.Identity) { from.Restore(p.speeds, id) }

// candidate is a worker on which tasks of a unit may be placed.
type candidate struct {
	i, slots  int
	freeCores float64
	class     int
	upper     float64 // the time factor that it is unlikely to exceed
}

// fit is a choice of workers for a unit, with what it is compared by.
type fit struct {
	candidates []candidate
	// late is set if the unit is expected to complete after its objective there.
	late bool
	// class is the slowest worker's speed class. mixed is set if a gang's faster members
	// wait for slower ones.
	class int
	mixed bool
}

// betterThan orders choices: those in time first, then those that leave faster workers to
// others, or for a late unit those that complete it first.
func (f *fit) betterThan(o *fit) bool {
	switch {
	case f.late != o.late:
		return !f.late
	case f.mixed != o.mixed:
		return !f.mixed
	case f.late:
		return f.class < o.class
	}
	return f.class > o.class
}

func (f *fit) same(o *fit) bool { return f.late == o.late && f.mixed == o.mixed && f.class == o.class }

// chooseBySpeed returns those of the candidates on which the unit should run: the slowest
// ones on which it still completes in time, of one speed class if there are enough of them;
// if it can't complete in time, the fastest. limit is the largest time factor in time. It
// returns nil if the candidates don't hold the whole unit, or with inTime only too late.
func chooseBySpeed(u *unit, candidates []candidate, limit float64, inTime bool) *fit {
	classes := map[int]int{} // slots by class
	total, timely := 0, 0
	for _, c := range candidates {
		total += c.slots
		classes[c.class] += c.slots
		if c.upper <= limit {
			timely += c.slots
		}
	}
	if total < u.count || inTime && timely < u.count {
		return nil
	}
	if len(classes) == 1 {
		return &fit{candidates: candidates, late: timely < u.count, class: candidates[0].class}
	}
	if timely >= u.count {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.upper > limit })
		return chooseInTime(u, candidates)
	}
	// The fewest classes, fastest first, that hold the unit.
	order := sortedClasses(classes)
	slots := 0
	for _, class := range order {
		if slots += classes[class]; slots >= u.count {
			chosen := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.class > class })
			return &fit{candidates: chosen, late: true, class: class}
		}
	}
	return nil
}

// chooseInTime chooses among candidates that all complete the unit in time.
func chooseInTime(u *unit, candidates []candidate) *fit {
	classes := map[int]int{}
	for _, c := range candidates {
		classes[c.class] += c.slots
	}
	order := sortedClasses(classes)
	slices.Reverse(order)
	for _, class := range order {
		if classes[class] >= u.count {
			chosen := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.class != class })
			return &fit{candidates: chosen, class: class}
		}
	}
	return &fit{candidates: candidates, class: order[0], mixed: true}
}

func sortedClasses(classes map[int]int) []int {
	out := make([]int, 0, len(classes))
	for class := range classes {
		out = append(out, class)
	}
	slices.Sort(out)
	return out
}

// scaled returns a duration at a time factor.
func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
