// Package planner decides what the workers of one pool run: it keeps the jobs,
// the tasks and what is known of each worker, and turns them into orders. It is
// pure: time comes in as an argument, orders go out as values.
package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// runsPerEpoch is how many run numbers an owner may give to one task. An owner
// numbers from its epoch's first, so that it needs no record of earlier runs.
const runsPerEpoch = 1000

// Settings are the figures that the decisions go by.
type Settings struct {
	// ReclaimWithin is how soon after its acceptance a job within its
	// workspace's guarantee must run.
	ReclaimWithin time.Duration
}

// OrderKind says what an order asks of a worker.
type OrderKind int

// The kinds of order.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
)

// Order is one thing to tell a worker.
type Order struct {
	Kind       OrderKind
	Worker     string
	Task       work.TaskID
	Run        int64
	Spec       string
	Checkpoint string
	Ticket     string
	// Why says in a word what the decision went by, for the log.
	Why string
}

type unitPhase int

const (
	unitBlocked  unitPhase = iota // a step it depends on hasn't ended
	unitReady                     // may be placed
	unitActive                    // placed; its runs are starting or running
	unitClearing                  // its attempt is over, some runs may live on
	unitDone
	unitDead // out of attempts, or its job was cancelled
)

// unit is what is placed at once: all tasks of a gang, or one other task.
type unit struct {
	job        *job
	occurrence int
	step       int
	first      int // index of its first task in the step
	count      int
	phase      unitPhase
	// nextRun is the number of the next attempt's runs.
	nextRun int64
	runs    map[int]*run // by task index in the step
	failed  []int64      // numbers of the runs that failed
	// expired holds the runs whose worker's leases expired before an end was
	// heard; the platform takes no note of a success listed after that.
	expired []expiredRun
	saved   string
	// savedPercent is the progress at which saved was reported.
	savedPercent int
	// avoid holds the workers on which an attempt failed or stood still.
	avoid map[string]bool
	// notBefore delays the next attempt.
	notBefore time.Duration
	clearedAt time.Duration // when the attempt was given up
	stopSent  bool
	restarts  int // of a long-lived task that ended soon after its start
	// inherited units may run on workers that this owner hasn't heard yet.
	inherited bool
	// placed names the workers on which a former owner's attempt may run.
	placed []string
	// newcomer units arrived during the recovery: a former owner that doesn't
	// know of its end may start them until newcomersAt.
	newcomer  bool
	claim     []placement // where room is being made for it
	claimedAt time.Duration
}

func (u *unit) spec() *work.Step { return &u.job.rec.Job.Steps[u.step] }

// estimate is the time that a fresh attempt is expected to take.
func (u *unit) estimate() time.Duration {
	est := u.spec().Estimate
	if u.saved != "" && u.savedPercent > 0 {
		est = est * time.Duration(100-u.savedPercent) / 100
	}
	return max(est, 50*time.Millisecond)
}

// cores is the unit's need in cores, over all its tasks.
func (u *unit) cores() float64 { return float64(u.count) * u.spec().Need.Cores() }

// expiredRun names a run that one life of a worker held when its leases
// expired. Another life may run the same number again, if its start is sent again.
type expiredRun struct {
	number int64
	worker string
	life   int
}

type runPhase int

const (
	runStarting runPhase = iota + 1
	runRunning
	runStopping
)

// run is one start of a task on a worker. A run without a unit is a leftover
// that is being stopped.
type run struct {
	unit   *unit
	task   work.TaskID
	number int64
	worker *worker
	need   work.Resources
	phase  runPhase
	// startedAt is when the worker confirmed the run or listed it first.
	startedAt   time.Duration
	confirmedAt time.Duration
	percent     int
	progressAt  time.Duration // when percent last grew
	stopAcked   time.Duration // 0 until the stop was confirmed
	why         string
}

// left estimates how long the run still takes.
func (r *run) left(now time.Duration) time.Duration {
	if r.unit == nil {
		return 0
	}
	est := r.unit.spec().Estimate
	if r.unit.spec().LongLived {
		return forever
	}
	if r.phase == runStarting {
		return r.unit.estimate()
	}
	left := est * time.Duration(100-r.percent) / 100
	return max(left-(now-r.progressAt), 100*time.Millisecond)
}

type worker struct {
	info work.Worker
	runs map[work.TaskID]*run
	free work.Resources
	// heard is set once this owner's fencing token reached the worker.
	heard     bool
	reachable bool
	listed    bool
	life      int // counts the restarts seen
	// lastEnd is the last end taken in, acked the last that may be forgotten,
	// and unacked those between them.
	lastEnd, acked int64
	unacked        []listedEnd
	health         health
}

// orphanEnd is an end of a job that isn't known yet.
type orphanEnd struct {
	worker *worker
	end    port.RunEnd
}

// listedEnd is an end whose job has to be stored before it is acknowledged.
type listedEnd struct {
	sequence int64
	job      string
}

func (w *worker) usable(now time.Duration) bool {
	return w.heard && w.reachable && w.listed && !w.info.Draining && !w.health.quarantined(now)
}

type job struct {
	rec   work.Record
	units []*unit
	// perStep holds the units of all steps of occurrence 0, then of 1 and so on.
	perStep   [][]*unit
	arrivedAt time.Duration // on the planner's clock; may be negative
	objective time.Duration
	weight    float64
	cancelled bool
	started   bool
	dirty     bool // changed since TakeChanged
	unstored  bool // changed since the last change known to be stored
}

func (j *job) open() bool { return !j.rec.State.Ended() && !j.cancelled }

// Planner is the state of one pool under one owner. It is not safe for
// concurrent use.
type Planner struct {
	settings  Settings
	firstRun  int64
	workers   map[string]*worker
	ids       []string // of workers, sorted
	jobs      map[string]*job
	open      []*job // jobs that haven't ended, in order of arrival
	guarantee map[string]int64
	recovery  recovery
	// partial is set while some jobs may not be known.
	partial bool
	// orphans are ends of jobs that aren't known yet, by job.
	orphans   map[string][]orphanEnd
	queueMean map[string]*mean
	urgent    demand
	// wallOffset is the wall clock, since 1970, less the planner's clock; it is
	// unknown until told, and nothing scheduled starts before that.
	wallOffset time.Duration
	wallKnown  bool
	// verdicts are the policy service's, by step and worker.
	verdicts map[work.StepID]map[string]verdict
	// unadvised is the most urgent unit of the last pass that needs more tickets.
	unadvised *unit
	orders    []Order
	dirty     []*job
	waste     map[string]float64
	notes     []Note
}

// Note is a decision or a change of belief for the log.
type Note struct {
	Event string // one of the events
	Job   string
	// Priority is the job's, where the event is about one.
	Priority int
	Worker   string
	Task     work.TaskID
	Run      int64
	Detail   string
	Count    int
	Age      time.Duration
	// Lost is the work thrown away, in core-seconds.
	Lost float64
}

type mean struct{ sum, n float64 }

func (m *mean) add(v float64) { m.sum += v; m.n++ }

// New returns the planner of an owner that holds the pool under epoch.
func New(settings Settings, epoch int64) *Planner {
	return &Planner{
		settings:  settings,
		firstRun:  (epoch-1)*runsPerEpoch + 1,
		workers:   map[string]*worker{},
		jobs:      map[string]*job{},
		guarantee: map[string]int64{},
		orphans:   map[string][]orphanEnd{},
		recovery:  recovery{unheard: map[string]bool{}, untried: map[string]bool{}},
		queueMean: map[string]*mean{},
		waste:     map[string]float64{},
		verdicts:  map[work.StepID]map[string]verdict{},
	}
}

// TakeNotes returns the notes since the last call.
func (p *Planner) TakeNotes() []Note {
	n := p.notes
	p.notes = nil
	return n
}

// TakeChanged returns the records of the jobs that changed since the last call.
func (p *Planner) TakeChanged() []work.Record {
	if len(p.dirty) == 0 {
		return nil
	}
	out := make([]work.Record, 0, len(p.dirty))
	for _, j := range p.dirty {
		j.dirty = false
		out = append(out, j.snapshot())
	}
	p.dirty = nil
	return out
}

func (p *Planner) touch(j *job) {
	j.unstored = true
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// Stored says that the job's record, as last taken, is in the store.
func (p *Planner) Stored(id string) {
	if j := p.jobs[id]; j != nil && !j.dirty {
		j.unstored = false
	}
}

func (p *Planner) note(n Note) { p.notes = append(p.notes, n) }

// snapshot copies the job's progress into a record of its own.
func (j *job) snapshot() work.Record {
	rec := j.rec
	rec.Steps = make([]work.StepProgress, len(j.perStep))
	for i, units := range j.perStep {
		s := &rec.Steps[i]
		for _, u := range units {
			if u.phase == unitDone {
				s.Done = append(s.Done, u.first)
				continue
			}
			if len(u.failed) > 0 {
				put(&s.Failures, u.first, slices.Clone(u.failed))
			}
			if workers := u.workers(); len(workers) > 0 {
				put(&s.Placed, u.first, workers)
			}
			if u.saved != "" {
				put(&s.Checkpoints, u.first, u.saved)
			}
		}
	}
	return rec
}

// put sets a value in a map that is made when it is first needed.
func put[V any](m *map[int]V, key int, value V) {
	if *m == nil {
		*m = map[int]V{}
	}
	(*m)[key] = value
}

// workers names those that the unit's runs are on, or may be.
func (u *unit) workers() []string {
	out := slices.Clone(u.placed)
	for _, r := range u.runs {
		out = append(out, r.worker.info.ID)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Waste returns the core-seconds lost so far, by cause.
func (p *Planner) Waste() map[string]float64 { return p.waste }

func taskID(u *unit, index int) work.TaskID {
	return work.TaskID{Job: u.job.rec.Job.ID, Occurrence: u.occurrence, Step: u.step, Index: index}
}
