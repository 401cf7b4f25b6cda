package planner

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/utility"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// estimateDoubt divides the estimated run times in a forecast, since submitters
	// estimate up to 90% too much. Runs that take longer than estimated only delay
	// others more.
	estimateDoubt = 1.9
	// maxForecast is the longest wait that is forecast.
	maxForecast = 10 * time.Minute
	// maxForecastUnits bounds the waiting units in a forecast, and so its time. Leaving
	// out the others makes the bounds lower.
	maxForecastUnits = 500
)

// forecastSizes are the sizes of jobs, relative to the mean of their queue, from which on
// bounds are computed. Smaller jobs have a higher rank and so less work ahead of them.
// The first is below 1, so that it covers queues of equal jobs.
var forecastSizes = [...]float64{0.9, 0.02}

// Forecast returns lower bounds of the time until a unit that arrives now can start, none
// during a recovery or while nothing waits.
//
// A bound holds whatever the estimates are worth, because it counts only what goes before
// the new unit without doubt: runs that it may not preempt, though no higher priority may
// lower them, and waiting units that keep a higher rank until then and fit wherever it
// fits. They are carried out in the order of their ranks, each as if it could use any
// worker and could be divided, and all in the shortest time that an estimate allows.
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
	scarcest    work.Resource
	capacity    int64
	running     []forecastRun
	waiting     []forecastUnit // by descending rank
	maxPriority int
}

type forecastRun struct {
	priority int
	amount   int64
	left     time.Duration
}

type forecastUnit struct {
	figures  utility.Job
	demand   int64
	oneRack  bool
	duration time.Duration
}

// newForecaster returns nil if nothing waits that could be counted.
func (p *Planner) newForecaster(now time.Duration) *forecaster {
	v := p.newView(now)
	var units []*unit
	for _, r := range p.ranking(now) {
		if len(units) == maxForecastUnits {
			break
		}
		if p.blocksOthers(r.unit, v) {
			units = append(units, r.unit)
		}
	}
	capacity := p.lastingCapacity(now)
	f := &forecaster{scarcest: scarcest(units, capacity)}
	if f.scarcest == 0 {
		return nil
	}
	f.capacity = capacity.Amount(f.scarcest)
	for _, u := range units {
		if dominant(u.spec().Need, capacity) == f.scarcest {
			f.waiting = append(f.waiting, forecastUnit{
				figures: p.figures(u, now), demand: u.spec().UnitDemand(f.scarcest), oneRack: u.spec().PrefersOneRack(), duration: u.shortest(),
			})
		}
	}
	if len(f.waiting) == 0 {
		return nil
	}
	for _, j := range p.jobsByArrival {
		if j.open() {
			f.maxPriority = max(f.maxPriority, j.rec.Job.Priority)
		}
	}
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

// blocksOthers reports whether the waiting unit is placed before each unit of a lower rank
// that needs no less: any worker with room for it may run it.
func (p *Planner) blocksOthers(u *unit, v *view) bool {
	s := u.spec()
	return !u.job.rec.Job.PolicyControlled && s.RequiredLabel == "" && s.MaxPerWorker == 0 && !s.BestEffort && !u.isServing() &&
		len(u.avoid) == 0 && v.ability(u) == canHold
}

// lastingCapacity returns the capacity of the workers that are usable or may be so again
// within seconds, such as those that don't answer.
func (p *Planner) lastingCapacity(now time.Duration) work.Resources {
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
	case "", "not heard", "silent", "not listed", "quarantined", "unknown runs":
		return true
	}
	return false
}

// scarcest returns the resource of which the units need most relative to the capacity, 0
// if they need none.
func scarcest(units []*unit, capacity work.Resources) work.Resource {
	var most work.Resource
	mostLoad := 0.0
	for _, k := range work.AllResources {
		load := 0.0
		for _, u := range units {
			load += float64(int64(u.count)*u.spec().Need.Amount(k)) * u.estimate().Seconds()
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
	return time.Duration(float64(u.estimate()) / estimateDoubt)
}

// shortestLeft returns the shortest time that the run may still take, 0 if it may end at
// once.
func (r *run) shortestLeft(now time.Duration) time.Duration {
	switch u := r.unit; {
	case u == nil || r.phase == runStopping || u.phase != unitActive:
		return 0
	case u.spec().LongLived:
		return forever
	case r.phase == runRunning && r.percent > r.basePercent:
		return time.Duration(float64(r.remaining(now)) / estimateDoubt)
	}
	return max(r.unit.shortest()-(now-r.startedAt), 0)
}

// bounds returns the bounds above 0, without those that others make superfluous.
func (f *forecaster) bounds() []work.StartBound {
	var out []work.StartBound
	for priority := 0; priority <= f.maxPriority+1; priority++ { // one more than there are, for jobs that go after all
		for _, size := range forecastSizes {
			for _, oneRack := range []bool{false, true} {
				for _, demand := range f.demands(oneRack) {
					b := work.StartBound{Priority: priority, MinDemand: demand, OneRack: oneRack,
						MaxRank: utility.Job{Priority: priority, Size: size}.Rank()}
					b.Wait = f.wait(&b)
					if b.Wait > 0 {
						out = append(out, b)
					}
				}
			}
		}
	}
	superfluous := func(b work.StartBound) bool {
		return slices.ContainsFunc(out, func(o work.StartBound) bool {
			return o != b && o.Covers(&b) && o.Wait >= b.Wait
		})
	}
	var kept []work.StartBound
	for _, b := range out {
		if !superfluous(b) {
			kept = append(kept, b)
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
	s := simulation{free: f.capacity}
	for i := range f.running {
		if r := &f.running[i]; r.priority <= b.Priority {
			s.occupy(r.amount, r.left)
		}
	}
	heap.Init(&s.releases)
	for i := range f.waiting {
		u := &f.waiting[i]
		if u.demand > b.MinDemand || u.oneRack && !b.OneRack {
			continue
		}
		if s.place(u, u.figures.OutranksFor(b.MaxRank)); s.now >= maxForecast {
			return maxForecast
		}
	}
	for s.free < b.MinDemand {
		if !s.advance() {
			return 0 // it never fits, for reasons that aren't forecast
		}
	}
	return min(s.now, maxForecast)
}

// simulation carries out units in order. now counts from the time of the forecast.
type simulation struct {
	now      time.Duration
	free     int64
	releases releaseHeap
}

// release is an amount of the resource that becomes free.
type release struct {
	at     time.Duration
	amount int64
}

func (s *simulation) occupy(amount int64, left time.Duration) *release {
	r := &release{s.now + left, amount}
	s.free -= amount
	s.releases = append(s.releases, r)
	return r
}

// advance goes on to the next release. It reports false if there is none.
func (s *simulation) advance() bool {
	if len(s.releases) == 0 {
		return false
	}
	r := heap.Pop(&s.releases).(*release)
	s.now = max(s.now, r.at)
	s.free += r.amount
	r.amount = 0
	return true
}

// place places the unit part by part, as capacity becomes free. It takes the parts back
// unless the whole unit is placed by the given time: other units may go before it then.
func (s *simulation) place(u *forecastUnit, by time.Duration) {
	var parts []*release
	for left := u.demand; left > 0; {
		if by <= s.now {
			for _, part := range parts {
				s.free += part.amount
				part.amount = 0
			}
			return
		}
		if amount := min(left, s.free); amount > 0 {
			parts = append(parts, s.occupy(amount, u.duration))
			heap.Fix(&s.releases, len(s.releases)-1)
			left -= amount
			continue
		}
		if s.now >= maxForecast || !s.advance() {
			return
		}
	}
}

// releaseHeap holds releases, the earliest first.
type releaseHeap []*release

// Len implements heap.Interface.
func (h releaseHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h releaseHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h releaseHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *releaseHeap) Push(x any) { *h = append(*h, x.(*release)) }

// Pop implements heap.Interface.
func (h *releaseHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
