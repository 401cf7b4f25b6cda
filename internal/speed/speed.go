// Package speed learns how long workers take for the same work, relative to each
// other. It does no I/O and reads no clock; callers pass the time.
//
// A run's observed time factor is its duration relative to the estimate. It is the
// product of the worker's own factor, of the error of the step's estimate and of noise.
// Steps that ran on several workers separate the first two.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// maxPerWorker is the number of runs that are kept for a worker, the latest ones.
	maxPerWorker = 8
	// maxAge is how long a run tells of its worker. Workers turn slow and recover.
	maxAge = 60 * time.Second
	// halfLife is the age at which a run counts half as much as a new one.
	halfLife = 15 * time.Second
	// rounds is the number of alternations between the factors of steps and of workers.
	rounds = 4
	// updateInterval is the least time between two updates of the factors.
	updateInterval = 500 * time.Millisecond
	// runVariance is the variance of the logarithm of a run's duration on a given worker,
	// which includes the unevenness of a step's tasks.
	runVariance = 0.04
	// minSpread and maxSpread bound the learned variances: of the workers' factors and of the
	// errors of the estimates, in logarithms.
	minSpread, maxSpread = 0.01, 0.5
	// initialErrors is the variance of the estimates' errors until it is learned: that of
	// estimates that are right to a fifth.
	initialErrors = 0.04
	// minStepRuns is the number of runs from which a step counts for the variance of the
	// estimates' errors, and minKnownSteps how many such steps it is learned from.
	minStepRuns, minKnownSteps = 4, 4
	// minKnownWeight is the weight of the runs from which a worker counts for the spread. It
	// is that of one run whose step has run on many workers.
	minKnownWeight = 0.5 / runVariance
	// minKnownWorkers is how many such workers the spread is learned from.
	minKnownWorkers = 8
	// minFactor and maxFactor bound a run's observed factor. Stalled runs and tasks with
	// long tails would otherwise hide all others.
	minFactor, maxFactor = 0.1, 10
	// minConfirmingRuns is how many runs it takes for a worker to count as an exception in an
	// even pool, by their median. A task with a long tail alone isn't one.
	minConfirmingRuns = 4
	// explainedWithin is the difference of logarithms within which a slow worker explains the
	// duration of its gang.
	explainedWithin = 0.25
)

// MaxGangWorkers limits the workers of a gang that tells of its workers. In a wide gang
// the slowest one is mostly unknown.
const MaxGangWorkers = 16

// Run identifies a run of a task, or of a gang by its first task.
type Run struct {
	Task   work.TaskID
	Number int64
}

// Observation is how long a run took so far, relative to its estimate.
type Observation struct {
	Run Run
	// Workers are those that run the tasks. A gang is as slow as its slowest worker.
	Workers []string
	// Factor is the time taken divided by the estimated time for the progress made.
	Factor float64
}

// observation is an Observation as it is kept.
type observation struct {
	run  Run
	step *step
	// workers are those that ran it. One that has restarted since explains its duration as
	// it was then.
	workers []*worker
	holders int     // workers that still have it in recent
	log     float64 // logarithm of the observed factor
	at      time.Duration
	weight  float64 // by its age, as of the last Update
}

// step is a step of which runs are observed.
type step struct {
	id           work.StepID
	observations int
	bias         stepBias
	residuals    []weighted // reused by each round
}

type worker struct {
	id     string
	recent []*observation // in the order of their first observation
	log    float64        // logarithm of the factor
	// prior is the factor's logarithm as known before the recent runs, with priorWeight
	// as the inverse of its variance, 0 if nothing was known.
	prior, priorWeight float64
	// observed is the logarithm of the factor by the recent runs alone, with the inverse
	// of its variance as weight.
	observed, weight float64
	runs             int // that tell of the worker
}

// Estimator estimates the time factors of the workers of a pool. It is not safe for
// concurrent use.
type Estimator struct {
	workers map[string]*worker
	byRun   map[Run]*observation
	steps   map[work.StepID]*step
	// spread is the variance of the workers' factors, in logarithms.
	spread float64
	// center is the median of the workers' factors, and even tells that they hardly differ
	// from it. Estimates that are wrong alike make all workers look slow or fast.
	center float64 // in logarithms
	even   bool
	// spreadLearned is set once spread, center and even come from runs.
	spreadLearned bool
	// errors is the variance of the estimates' errors, in logarithms.
	errors    float64
	changed   bool
	updatedAt time.Duration
}

// New returns an estimator that takes all workers for equally fast.
func New() *Estimator {
	return &Estimator{workers: map[string]*worker{}, byRun: map[Run]*observation{}, steps: map[work.StepID]*step{}, spread: minSpread, errors: initialErrors}
}

// Observe adds an observation, or replaces the one of the same run.
func (e *Estimator) Observe(now time.Duration, o Observation) {
	if len(o.Workers) == 0 || len(o.Workers) > MaxGangWorkers || !(o.Factor > 0) || e.Revise(now, o.Run, o.Factor) {
		return
	}
	e.changed = true
	obs := &observation{run: o.Run, step: e.step(&o.Run.Task), log: logFactor(o.Factor), at: now}
	obs.step.observations++
	e.byRun[o.Run] = obs
	for _, id := range o.Workers {
		w := e.worker(id)
		obs.workers, obs.holders = append(obs.workers, w), obs.holders+1
		w.recent = append(w.recent, obs)
		if len(w.recent) > maxPerWorker {
			e.drop(w, w.recent[0])
		}
	}
}

// Revise replaces the factor of a run that has been observed before. It reports whether the
// run has been.
func (e *Estimator) Revise(now time.Duration, run Run, factor float64) bool {
	known := e.byRun[run]
	if known == nil || !(factor > 0) {
		return false
	}
	known.log, known.at, e.changed = logFactor(factor), now, true
	return true
}

// logFactor returns the logarithm of an observed factor within its bounds.
func logFactor(factor float64) float64 { return math.Log(min(max(factor, minFactor), maxFactor)) }

func (e *Estimator) worker(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{id: id}
		e.workers[id] = w
	}
	return w
}

func (e *Estimator) step(task *work.TaskID) *step {
	id := work.StepID{Job: task.Job, Occurrence: task.Occurrence, Step: task.Step}
	s := e.steps[id]
	if s == nil {
		s = &step{id: id}
		e.steps[id] = s
	}
	return s
}

// drop removes an observation from the recent ones of a worker, and altogether once no
// worker has it.
func (e *Estimator) drop(w *worker, obs *observation) {
	before := len(w.recent)
	w.recent = slices.DeleteFunc(w.recent, func(o *observation) bool { return o == obs })
	if len(w.recent) == before {
		return
	}
	if obs.holders -= before - len(w.recent); obs.holders == 0 {
		delete(e.byRun, obs.run)
		if obs.step.observations--; obs.step.observations == 0 {
			delete(e.steps, obs.step.id)
		}
	}
}

// Forget drops what is known of a worker, because it has restarted or left.
func (e *Estimator) Forget(id string) {
	w := e.workers[id]
	if w == nil {
		return
	}
	for len(w.recent) > 0 {
		e.drop(w, w.recent[0])
	}
	delete(e.workers, id)
	e.changed = true
}

// Factor returns the worker's time factor as of the last Update: 1 for a worker of
// nominal speed or of which nothing is known, 2 for one that takes twice as long.
func (e *Estimator) Factor(id string) float64 {
	if w := e.workers[id]; w != nil {
		return math.Exp(w.log)
	}
	return 1
}

// UpperFactor returns a time factor that the worker exceeds with a probability of about one
// in forty. In a pool of uneven workers it is above 1 for one of which nothing is known.
func (e *Estimator) UpperFactor(id string) float64 {
	mean, weight := 0.0, 1/e.spread
	if w := e.workers[id]; w != nil {
		mean, weight = w.log, weight+w.priorWeight+w.weight
	}
	return math.Exp(mean + 2*math.Sqrt(1/weight))
}

// Even reports whether the workers' factors are known to differ little.
func (e *Estimator) Even() bool { return e.even }

// Deviation returns the logarithm of the worker's factor relative to the median of the
// workers, 0 if nothing is known of it.
func (e *Estimator) Deviation(id string) float64 {
	if w := e.workers[id]; w != nil && w.weight+w.priorWeight > 0 {
		return w.log - e.center
	}
	return 0
}

// Spread returns how much the workers' factors differ, as the standard deviation of their
// logarithms.
func (e *Estimator) Spread() float64 { return math.Sqrt(e.spread) }

// Update updates the factors if there are new observations, at most every
// updateInterval. It reports whether it did.
func (e *Estimator) Update(now time.Duration) bool {
	if !e.changed || now-e.updatedAt < updateInterval {
		return false
	}
	e.changed, e.updatedAt = false, now
	e.dropOld(now)
	for _, obs := range e.byRun {
		obs.weight = obs.weightAt(now)
	}
	for _, s := range e.steps {
		s.bias = stepBias{}
	}
	// The workers explain first what they can. Placement by speed runs whole steps on workers
	// of one class, and the steps' errors would then take the workers' factors over.
	for range rounds {
		for _, w := range e.workers {
			w.observe(e.errors)
		}
		e.learnSpread()
		for _, w := range e.workers {
			w.log = (w.prior*w.priorWeight + w.observed*w.weight) / (1/w.spread(e.spread) + w.priorWeight + w.weight)
		}
		e.learnBiases()
	}
	return true
}

// learnSpread estimates how much the workers' factors differ, without what the noise of the
// runs contributes.
func (e *Estimator) learnSpread() {
	sum := 0.0
	var known []weighted
	for _, w := range e.workers {
		if w.weight >= minKnownWeight {
			sum += w.observed*w.observed - 1/w.weight
			known = append(known, weighted{w.observed, w.weight})
		}
	}
	n := float64(len(known))
	if n < minKnownWorkers {
		return
	}
	e.spreadLearned = true
	e.spread = min(max(sum/n, minSpread), maxSpread)
	e.center = weightedMedian(known)
	around := 0.0
	for _, w := range known {
		around += (w.value-e.center)*(w.value-e.center) - 1/w.weight
	}
	e.even = around/n <= minSpread
}

func (e *Estimator) dropOld(now time.Duration) {
	for _, obs := range e.byRun {
		if now-obs.at > maxAge {
			for _, w := range obs.workers {
				e.drop(w, obs)
			}
		}
	}
}

// stepBias is the common deviation of a step's runs from its estimate.
type stepBias struct {
	log  float64
	runs float64
}

// learnBiases estimates the errors of the steps' estimates from what the workers' factors
// leave unexplained. With few runs of a step the error is taken for smaller.
func (e *Estimator) learnBiases() {
	for _, s := range e.steps {
		s.residuals = s.residuals[:0]
	}
	for _, obs := range e.byRun {
		obs.step.residuals = append(obs.step.residuals, weighted{obs.log - obs.slowest().log, obs.weight})
	}
	sum, known := 0.0, 0.0
	for _, s := range e.steps {
		n, median := float64(len(s.residuals)), weightedMedian(s.residuals)
		s.bias = stepBias{median, n}
		if n >= minStepRuns {
			sum += median*median - runVariance/n
			known++
		}
	}
	if known >= minKnownSteps {
		e.errors = min(max(sum/known, minSpread), maxSpread)
	}
	for _, s := range e.steps {
		b := &s.bias
		b.log *= b.runs * e.errors / (b.runs*e.errors + runVariance)
	}
}

// slowest returns the worker that is taken for the slowest of those of the run.
func (o *observation) slowest() *worker {
	return slices.MaxFunc(o.workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.log, b.log), cmp.Compare(b.id, a.id))
	})
}

// explainedWithout reports whether another worker of the gang is slow enough for the time
// factor, of which value is the logarithm.
func (o *observation) explainedWithout(w *worker, value float64) bool {
	return slices.ContainsFunc(o.workers, func(other *worker) bool { return other != w && other.log >= value-explainedWithin })
}

func (o *observation) weightAt(now time.Duration) float64 {
	return math.Exp2(-float64(now-o.at) / float64(halfLife))
}

// observe estimates the worker's factor from its runs, given the errors of the estimates.
func (w *worker) observe(errors float64) {
	list := make([]weighted, 0, maxPerWorker)
	total := 0.0
	for _, obs := range w.recent {
		b := &obs.step.bias
		value := obs.log - b.log
		if value > w.log && obs.explainedWithout(w, value) {
			continue
		}
		biasVariance := 1 / (1/errors + max(b.runs-1, 0)/runVariance)
		weight := obs.weight / (runVariance + biasVariance)
		if value > w.log {
			weight /= float64(len(obs.workers)) // any of them may be the slow one
		}
		list = append(list, weighted{value, weight})
		total += weight
	}
	w.observed, w.weight, w.runs = 0, total, len(list)
	if total > 0 {
		w.observed = weightedMedian(list)
	}
}

// spread returns the variance from which the worker's factor is taken to be drawn: the
// pool's, unless several runs agree that it is an exception.
func (w *worker) spread(pool float64) float64 {
	if w.runs < minConfirmingRuns {
		return pool
	}
	return max(pool, w.observed*w.observed)
}

type weighted struct{ value, weight float64 }

// weightedMedian returns the value below and above which half of the weight lies.
func weightedMedian(list []weighted) float64 {
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	total := 0.0
	for _, x := range list {
		total += x.weight
	}
	sum := 0.0
	for i, x := range list {
		sum += x.weight
		if sum > total/2 {
			return x.value
		}
		if sum == total/2 && i+1 < len(list) {
			return (x.value + list[i+1].value) / 2
		}
	}
	return list[len(list)-1].value
}
