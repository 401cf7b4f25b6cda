package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/utility"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// maxForecast is the longest wait that is forecast.
	maxForecast = 10 * time.Minute
	// minForecast is the shortest wait that is forecast. No caller finds a job worthless
	// that starts sooner.
	minForecast = time.Second
	// noticeableShare is the share of a bound from which on another one replaces it. Every
	// instance reads each bound, and bytes have a price.
	noticeableShare = 0.8
	// forecastSlot is the resolution of a forecast. Most tasks take seconds.
	forecastSlot = 50 * time.Millisecond
	// maxForecastSteps bounds the steps with waiting units in a forecast, and so its time.
	// Leaving out the others makes the bounds lower.
	maxForecastSteps = 3000
)

// forecastSizes are the sizes of jobs, relative to the mean of their queue, from which on
// bounds are computed. Smaller jobs have a higher rank and so less work ahead of them.
// The last is below 1, so that it covers queues of equal jobs.
var forecastSizes = [...]float64{0.02, 0.9}

// Forecast returns lower bounds of the time until a unit that arrives now can start, none
// during a recovery or while nothing waits.
//
// A bound holds in spite of wrong estimates, because it counts only what goes before the
// new unit without doubt: runs of its own or a higher priority, and waiting units that keep
// a higher rank until then and fit wherever it fits. They are carried out in the order of
// their ranks, each as if it could use any worker and could be divided, and all in the
// shortest time that an estimate allows.
func (p *Planner) Forecast(now time.Duration) work.Forecast {
	if p.settings.NoForecast || p.recovery.active {
		return work.Forecast{}
	}
	f := p.newForecaster(now)
	if f == nil {
		return work.Forecast{}
	}
	out := work.Forecast{Scarcest: f.scarcest, Bounds: f.bounds()}
	if len(out.Bounds) == 0 {
		return work.Forecast{}
	}
	out.MeanWeights = map[string]float64{}
	for queue, m := range p.queueMeanWeight {
		if m.sum > 0 {
			out.MeanWeights[queue] = m.sum / m.n
		}
	}
	return out
}

// forecaster holds the load of the pool in its scarcest resource.
type forecaster struct {
	scarcest work.Resource
	capacity int64
	running  []forecastRun
	waiting  []forecastUnits // by descending rank
	// priorities holds those of the jobs, and one for jobs that go after them all.
	priorities []int
	releases   []int64 // reused by each simulation
}

type forecastRun struct {
	priority int
	amount   int64
	left     time.Duration
}

// forecastUnits are equal waiting units of one step.
type forecastUnits struct {
	figures  utility.Job
	count    int64
	demand   int64 // of one unit
	oneRack  bool
	duration time.Duration
}

// newForecaster returns nil if nothing waits that could be counted.
func (p *Planner) newForecaster(now time.Duration) *forecaster {
	groups := p.waitingGroups(now)
	capacity := p.returningCapacity(now)
	f := &forecaster{scarcest: scarcest(groups, capacity)}
	if f.scarcest == 0 {
		return nil
	}
	f.capacity = capacity.Amount(f.scarcest)
	for _, g := range groups {
		if u := g.first; dominant(u.spec().Need, capacity) == f.scarcest {
			f.waiting = append(f.waiting, forecastUnits{
				figures: p.figures(u, now), count: g.count, demand: u.spec().UnitDemand(f.scarcest), oneRack: u.spec().PrefersOneRack(), duration: u.shortest(),
			})
		}
	}
	if len(f.waiting) == 0 {
		return nil
	}
	for _, j := range p.jobsByArrival {
		if priority := j.rec.Job.Priority; j.open() && !slices.Contains(f.priorities, priority) {
			f.priorities = append(f.priorities, priority)
		}
	}
	slices.Sort(f.priorities)
	f.priorities = append(f.priorities, f.priorities[len(f.priorities)-1]+1)
	for _, id := range p.workerIDs {
		if w := p.workers[id]; w.mayReturn(now) {
			for _, r := range w.runs {
				if left := r.shortestLeft(now); left > 0 {
					f.running = append(f.running, forecastRun{r.unit.job.rec.Job.Priority, r.need.Amount(f.scarcest), left})
				}
			}
		}
	}
	return f
}

// waitingGroup is a number of waiting units of one step with equal estimates.
type waitingGroup struct {
	first *unit
	count int64
}

// waitingGroups returns the waiting units that go before others, by descending rank.
func (p *Planner) waitingGroups(now time.Duration) []waitingGroup {
	ranking := p.ranking(now)
	if len(ranking) == 0 {
		return nil // most of the time
	}
	v := p.newView(now)
	var groups []waitingGroup
	var previous *unit
	counted := false // previous is in the last group
	for _, r := range ranking {
		u := r.unit
		if previous == nil || u.stepKey() != previous.stepKey() || u.estimate() != previous.estimate() || len(u.avoid)+len(previous.avoid) > 0 {
			if len(groups) == maxForecastSteps {
				break
			}
			if counted = p.blocksOthers(u, v); counted {
				groups = append(groups, waitingGroup{first: u})
			}
		}
		if previous = u; counted {
			groups[len(groups)-1].count++
		}
	}
	return groups
}

// blocksOthers reports whether the waiting unit is placed before each unit of a lower rank
// that needs no less: any worker with room for it may run it.
func (p *Planner) blocksOthers(u *unit, v *view) bool {
	s := u.spec()
	return !u.job.rec.Job.PolicyControlled && s.RequiredLabel == "" && s.MaxPerWorker == 0 && !s.BestEffort && !u.isServing() &&
		len(u.avoid) == 0 && v.ability(u) == canHold
}

// returningCapacity returns the capacity of the workers that are usable or may be so again
// within seconds, such as those that don't answer.
func (p *Planner) returningCapacity(now time.Duration) work.Resources {
	var sum work.Resources
	for _, w := range p.workers {
		if w.mayReturn(now) {
			sum = sum.Add(w.info.Capacity)
		}
	}
	return sum
}

// mayReturn reports whether the worker is usable, or unusable for a cause that may end by
// itself at any time.
func (w *worker) mayReturn(now time.Duration) bool {
	if w.info.Draining {
		return false // silent ones too
	}
	switch w.unusableCause(now) {
	case "", "not heard", "silent", "call unanswered", "not listed", "restarted, not described", "quarantined", "unknown runs":
		return true
	}
	return false
}

// scarcest returns the resource of which the units need most relative to the capacity, 0
// if they need none.
func scarcest(groups []waitingGroup, capacity work.Resources) work.Resource {
	var most work.Resource
	mostLoad := 0.0
	for _, k := range work.AllResources {
		load := 0.0
		for _, g := range groups {
			load += float64(g.count*int64(g.first.count)*g.first.spec().Need.Amount(k)) * g.first.estimate().Seconds()
		}
		if c := capacity.Amount(k); c > 0 && load/float64(c) > mostLoad {
			most, mostLoad = k, load/float64(c)
		}
	}
	return most
}

// dominant returns the resource of which a need takes the largest share of the capacity, 0
// if it needs none.
func dominant(need, capacity work.Resources) work.Resource {
	var most work.Resource
	mostShare := 0.0
	for _, k := range work.AllResources {
		if share := float64(need.Amount(k)) / float64(max(capacity.Amount(k), 1)); share > mostShare {
			most, mostShare = k, share
		}
	}
	return most
}

// shortest returns the shortest run time that the unit's estimate allows.
func (u *unit) shortest() time.Duration {
	if u.spec().LongLived {
		return forever
	}
	return scaled(u.estimate(), work.ShortestRun)
}

// shortestLeft returns the shortest time that the run may still take, 0 if it may end at
// once. It doesn't extrapolate the progress so far: the time of the start counts in that,
// and progress comes in whole percents, so that it may exceed the true time several times.
func (r *run) shortestLeft(now time.Duration) time.Duration {
	switch u := r.unit; {
	case u == nil || r.phase == runStopping || u.phase != unitActive:
		return 0
	case u.spec().LongLived:
		return forever
	}
	left := float64(r.unit.spec().Estimate) * float64(100-r.percent) / 100
	since := now - r.startedAt
	if r.percent > r.basePercent {
		since = now - r.progressAt + reportDelay
	} else {
		left = float64(r.unit.estimate())
	}
	return max(time.Duration(left*work.ShortestRun)-since, 0)
}

// bounds returns the bounds from minForecast on. It leaves out those that another one, which
// holds for more units, makes superfluous.
func (f *forecaster) bounds() []work.StartBound {
	f.releases = make([]int64, maxForecast/forecastSlot)
	var kept []work.StartBound
	for _, priority := range f.priorities {
		for _, size := range forecastSizes {
			for _, oneRack := range []bool{false, true} {
				for _, demand := range f.demands(oneRack) {
					b := work.StartBound{Priority: priority, MinDemand: demand, OneRack: oneRack,
						MaxRank: utility.Job{Priority: priority, Size: size}.Rank()}
					b.Wait = f.wait(&b)
					superfluous := func(o work.StartBound) bool {
						return o.Covers(&b) && float64(o.Wait) >= noticeableShare*float64(b.Wait)
					}
					if b.Wait >= minForecast && !slices.ContainsFunc(kept, superfluous) {
						kept = append(kept, b)
					}
				}
			}
		}
	}
	return kept
}

// demands returns the median and the largest demand of the waiting units that are counted
// for units that prefer one rack or don't. It returns none if oneRack makes no difference.
func (f *forecaster) demands(oneRack bool) []int64 {
	var all []int64
	differs := !oneRack
	for i := range f.waiting {
		if u := &f.waiting[i]; oneRack || !u.oneRack {
			all = append(all, u.demand)
			differs = differs || u.oneRack
		}
	}
	if len(all) == 0 || !differs {
		return nil
	}
	slices.Sort(all)
	return slices.Compact([]int64{all[len(all)/2], all[len(all)-1]})
}

// wait returns the bound for the units that b describes, 0 if there is none. Runs of lower
// priorities than theirs aren't counted: an urgent job may preempt more of them than it
// needs.
func (f *forecaster) wait(b *work.StartBound) time.Duration {
	s := simulation{free: f.capacity, releases: f.releases}
	clear(s.releases)
	for i := range f.running {
		if r := &f.running[i]; r.priority <= b.Priority {
			s.occupy(r.amount, r.left)
		}
	}
	for i := range f.waiting {
		u := &f.waiting[i]
		if u.demand > b.MinDemand || u.oneRack && !b.OneRack {
			continue
		}
		if !s.place(u, u.figures.OutranksFor(b.MaxRank)) {
			return maxForecast
		}
	}
	for s.free < b.MinDemand {
		if !s.advance() {
			return 0 // it doesn't fit for reasons that aren't forecast
		}
	}
	return s.now()
}

// simulation carries out units in order. Time passes in slots; what ends in a slot ends at
// its beginning, which makes the bounds lower.
type simulation struct {
	slot     int
	free     int64
	releases []int64 // amounts that become free, by slot
}

// part is a part of a unit that occupies an amount of the resource until a slot.
type part struct {
	until  int
	amount int64
}

func (s *simulation) now() time.Duration { return time.Duration(s.slot) * forecastSlot }

func (s *simulation) occupy(amount int64, left time.Duration) part {
	p := part{s.slot + int(left/forecastSlot), amount}
	if p.until > s.slot {
		s.free -= amount
	}
	if p.until > s.slot && p.until < len(s.releases) {
		s.releases[p.until] += amount
	}
	return p
}

// advance goes on to the next release. It reports false if there is none before
// maxForecast.
func (s *simulation) advance() bool {
	for s.slot+1 < len(s.releases) {
		s.slot++
		if amount := s.releases[s.slot]; amount > 0 {
			s.free += amount
			return true
		}
	}
	return false
}

// place places the units part by part, as capacity becomes free, until the given time:
// other units may go before them then. It takes back the parts of an incomplete unit. It
// reports false if a unit waits until maxForecast.
func (s *simulation) place(u *forecastUnits, by time.Duration) bool {
	var parts []part
	for left := u.count * u.demand; left > 0; {
		if by <= s.now() {
			s.takeBack(parts, (u.count*u.demand-left)%u.demand)
			return true
		}
		if amount := min(left, s.free); amount > 0 {
			parts = append(parts, s.occupy(amount, u.duration))
			left -= amount
			continue
		}
		if !s.advance() {
			return false
		}
	}
	return true
}

// takeBack frees an amount of the last parts as far as it is still occupied.
func (s *simulation) takeBack(parts []part, amount int64) {
	for _, p := range slices.Backward(parts) {
		if amount == 0 {
			return
		}
		taken := min(amount, p.amount)
		amount -= taken
		if p.until > s.slot {
			s.free += taken
		}
		if p.until > s.slot && p.until < len(s.releases) {
			s.releases[p.until] -= taken
		}
	}
}
