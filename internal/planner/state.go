// Package planner decides what the workers of one pool run. It tracks the jobs,
// their tasks and the workers' state, and returns orders for the workers. It does
// no I/O and reads no clock; callers pass the time.
package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/speed"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// runsPerEpoch is how many run numbers an owner may assign to one task. The
// numbers of an epoch start at a fixed value, so that an owner needs no record of
// earlier runs.
const runsPerEpoch = 1000

// Settings are the parameters of the planner.
type Settings struct {
	// ReclaimWithin is the time within which a job covered by its workspace's
	// guarantee must run. It counts from the job's acceptance, or from the due time
	// of a scheduled occurrence.
	ReclaimWithin time.Duration
	// StopDelay is the longest time that a stop takes to free a run's capacity, 0 if it
	// isn't known. It is part of the time that a stop costs a job.
	StopDelay time.Duration
	// NoForecast turns off Forecast, and so the refusal of new jobs because of it.
	NoForecast bool
}

// OrderKind tells whether an order starts or stops a run.
type OrderKind int

// The kinds of order.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
)

// Order instructs a worker to start or stop a run.
type Order struct {
	Kind   OrderKind
	Worker string
	Task   work.TaskID
	Run    int64
	// Spec, Checkpoint and Ticket are set only for starts.
	Spec       string
	Checkpoint string
	Ticket     string
	// Domain is the worker's failure domain. It is set only for starts.
	Domain string
	// AfterLoss is set for the start of a unit of which a run was lost without a result.
	// Another owner may have acknowledged that.
	AfterLoss bool
	// Why is a short reason for the decision, for the log.
	Why string
}

type unitPhase int

const (
	unitBlocked  unitPhase = iota // a step that it depends on hasn't completed
	unitReady                     // may be placed
	unitActive                    // placed; its runs are starting or running
	unitStopping                  // its attempt has ended, but some runs may still be active
	unitDone
	unitAbandoned // no attempts left, or its job has ended or was cancelled
)

// unit is the smallest set of tasks that is placed together: all tasks of a gang,
// or a single task that belongs to no gang.
type unit struct {
	job        *job
	occurrence int
	step       int
	first      int // index of its first task in the step
	count      int
	phase      unitPhase
	// nextRun is the run number of the next attempt.
	nextRun    int64
	runs       map[int]*run // by task index in the step
	failedRuns []int64      // numbers of the failed runs
	// expiredRuns holds the runs whose leases expired before the worker reported
	// a result. The platform ignores a success that is reported after that.
	expiredRuns []expiredRun
	runLost     bool // a run was lost without a result
	checkpoint  string
	// checkpointPercent is the progress at which checkpoint was reported.
	checkpointPercent int
	// avoid holds the workers on which an attempt failed or stalled.
	avoid map[string]bool
	// notBefore is the earliest start of the next attempt.
	notBefore      time.Duration
	attemptEndedAt time.Duration
	stopSent       bool // the runs of the ended attempt have been ordered to stop
	stalls         int  // attempts that were stopped as stalled
	restarts       int  // of a long-lived task since its last run of at least restartResetAfter
	// inherited units may run on workers that haven't reported to this owner.
	inherited bool
	// previousWorkers names the workers on which a previous owner's attempt may
	// run. previousConfirmed is set if its leases there are known not to exceed those
	// that the owner asked for.
	previousWorkers   []string
	previousConfirmed bool
	// confirmedStored is set if the job's last record tells that the attempt's leases
	// are confirmed.
	confirmedStored bool
	// freedBy says why the previous owner's attempt was over at the end of the recovery.
	freedBy string
	// arrivedInRecovery units may be started by a previous owner until
	// takeoverNoticedBy, because it may not have noticed the takeover.
	arrivedInRecovery bool
	claim             []placement // placement for which capacity is being freed
	claimedAt         time.Duration
}

func (u *unit) spec() *work.Step { return &u.job.rec.Job.Steps[u.step] }

// estimate returns the expected duration of a new attempt, at least 50 ms.
func (u *unit) estimate() time.Duration {
	est := u.spec().Estimate
	if u.checkpoint != "" && u.checkpointPercent > 0 {
		est = est * time.Duration(100-u.checkpointPercent) / 100
	}
	return max(est, 50*time.Millisecond)
}

// cores returns the cores that all tasks of the unit need.
func (u *unit) cores() float64 { return float64(u.count) * u.spec().Need.Cores() }

// expiredRun identifies a run by the worker's incarnation that held it when its
// leases expired. Another incarnation may run the same number if its start is
// sent again.
type expiredRun struct {
	number      int64
	worker      string
	incarnation int
}

type runPhase int

const (
	runStarting runPhase = iota + 1
	runRunning
	runStopping
)

// run is one start of a task on a worker. A run without a unit is orphaned and is
// being stopped, or its job isn't known yet.
type run struct {
	unit   *unit
	task   work.TaskID
	number int64
	worker *worker
	need   work.Resources
	phase  runPhase
	// confirmedAt is the time at which the worker confirmed or first reported the
	// run. startedAt is the same, except that it is estimated from the progress of
	// an adopted run and of one whose first report tells of some. Before the
	// confirmation both are the time of the order.
	startedAt       time.Duration
	confirmedAt     time.Duration
	resent          bool // a copy of the start got no answer
	reported        bool // listed in a report, by which the worker's incarnation is known
	confirmed       bool // its lease is known not to exceed what was asked for
	percent         int
	basePercent     int           // progress of the checkpoint from which the run started
	progressAt      time.Duration // time of the last increase of percent, at first of the order or start
	stopConfirmedAt time.Duration // 0 until the stop is confirmed
	stopReason      string
	// checkpoint is the last one of a run without a unit.
	checkpoint string
	// observedAt and observedPercent are where the observation of the run's speed begins.
	observedAt      time.Duration
	observedPercent int
	// factor is the time factor that was expected of the attempt when the run was placed.
	factor float64
	cold   bool // the worker was cold when the run was placed or adopted
	// needUnknown is set for a run without a unit whose need isn't known.
	needUnknown bool
}

// inDoubt reports whether another incarnation than the known one may have carried out the
// run's start, or may still do so.
func (r *run) inDoubt() bool { return !r.reported || r.resent }

// reportDelay covers the time until a worker reports the first progress of a run.
const reportDelay = time.Second

// remaining estimates the time until the run completes, from its progress once there is
// some. It is 0 for a run without a unit and forever for a long-lived task.
func (r *run) remaining(now time.Duration) time.Duration {
	if r.unit == nil {
		return 0
	}
	est := scaled(r.unit.spec().Estimate, r.timeFactor())
	if r.unit.spec().LongLived {
		return forever
	}
	if r.phase == runStarting {
		return scaled(r.unit.estimate(), r.timeFactor())
	}
	if gained := r.percent - r.basePercent; gained > 0 {
		perPercent := (r.progressAt - r.startedAt) / time.Duration(gained)
		remaining := perPercent * time.Duration(100-r.percent)
		return max(remaining-(now-r.progressAt), 100*time.Millisecond)
	}
	// After a time without a percent of progress, the whole takes at least a hundred times
	// as long.
	elapsed := now - r.startedAt
	remaining := est * time.Duration(100-r.basePercent) / 100
	return max(remaining-elapsed, time.Duration(100-r.basePercent)*(elapsed-reportDelay), 100*time.Millisecond)
}

type worker struct {
	info work.Worker
	runs map[work.TaskID]*run
	free work.Resources
	// runChanges counts the changes within planning passes: runs that are added, dropped or
	// ordered to stop.
	runChanges int
	// unknownNeeds counts the runs whose need isn't known and not taken off free.
	unknownNeeds int
	// contacted is set once the worker has received this owner's fencing token.
	contacted bool
	reachable bool
	listed    bool
	// listedBefore is set once this owner has seen the worker listed.
	listedBefore bool
	// evacuated is set while the worker's failure domain is evacuated.
	evacuated   bool
	coldUntil   time.Duration // the worker is slow until then, after a restart
	reportedAt  time.Duration // when its last report was handled
	incarnation int           // counts the observed restarts
	// broken is set while a call has gone unanswered since the last report. The worker may
	// have restarted.
	broken bool
	// answering is the incarnation of the last report, 0 if it isn't known.
	answering int64
	// restarted is set if info may be older than the last observed restart: info doesn't tell
	// its incarnation, or the worker hasn't reported since.
	restarted bool
	// longLeaseUntil is the time until which its lease may exceed what this owner asked
	// for, as another incarnation or owner was the one that asked.
	longLeaseUntil time.Duration
	// lastResult is the sequence of the last result handled.
	// acknowledgeable is the sequence of the last result that may be
	// acknowledged; unacked holds the results after it.
	lastResult, acknowledgeable int64
	unacked                     []unackedResult
	health                      health
}

// unackedResult is a result that isn't acknowledged before its job is stored.
type unackedResult struct {
	sequence int64
	job      string
}

func (w *worker) usable(now time.Duration) bool { return w.unusableCause(now) == "" }

type job struct {
	rec   work.Record
	units []*unit
	// perStep holds the units of all steps of occurrence 0, then of occurrence 1
	// and so on.
	perStep [][]*unit
	// unitsLeft counts the units that aren't done, by step as in perStep. left is
	// their sum.
	unitsLeft []int
	left      int
	// dependents lists the steps that depend on a step, by the number of that step.
	dependents [][]int
	// criticalPaths holds the longest estimated chain of dependent steps that starts
	// with a step, by the number of that step.
	criticalPaths []time.Duration
	arrivedAt     time.Duration // on the planner's clock; may be negative
	objective     time.Duration // latency objective, counted from acceptance
	weight        float64
	cancelled     bool
	started       bool
	reported      waitingReport
	// recordConfirmedAt is when its record may be written again only to tell of confirmed
	// leases.
	recordConfirmedAt time.Duration
	changed           bool // is in Planner.changed
	unstored          bool // changed since its record was last confirmed to be stored
}

func (j *job) open() bool { return !j.rec.State.Ended() && !j.cancelled }

// Planner holds the state of one pool under one owner. It is not safe for
// concurrent use.
type Planner struct {
	settings        Settings
	firstRun        int64 // first run number of the owner's epoch
	workers         map[string]*worker
	workerIDs       []string // the keys of workers, in ascending order
	jobs            map[string]*job
	jobsByArrival   []*job           // all of jobs, in order of arrival
	guarantee       map[string]int64 // in accelerators, by workspace
	evacuated       map[string]bool  // failure domains
	recovery        recovery
	unknownJobs     map[string]*unknownJob
	queueMeanWeight map[string]*mean // mean weight of the jobs, by queue
	urgentDemand    demand
	nextWaiting     int // index in jobsByArrival of the job that ReportWaiting examined last
	// wallOffset is the wall clock, as the time since the Unix epoch, minus the
	// planner's clock. Scheduled occurrences don't start before it is set.
	wallOffset   time.Duration
	hasWallClock bool
	// policyDecisions are the answers of the policy service, by step and worker.
	policyDecisions map[work.StepID]map[string]policyDecision
	// queriedAt is when NextPolicyQuery last returned a query about a step.
	queriedAt map[work.StepID]time.Duration
	// awaitingTickets holds the policy-controlled units that the last pass couldn't
	// place, most urgent first and one of each step. NextPolicyQuery takes them.
	awaitingTickets []*unit
	orders          []Order
	reservations    []reservation // of the last pass
	nextRank        int           // rank from which the second half of a pass's unplaceable steps is taken
	// unrecorded lists the jobs of which a run was adopted whose placement no record tells.
	unrecorded []string
	// changed lists the jobs that changed since the last call of TakeChanged.
	changed    []*job
	discarded  map[string]float64 // core-seconds, by cause
	speeds     *speed.Estimator
	logEntries []LogEntry
}

// LogEntry is a decision or a state change to be logged.
type LogEntry struct {
	Event string // one of the Event constants
	Job   string
	// Priority is that of the job. It is set only when a job starts or ends.
	Priority int
	Worker   string
	Task     work.TaskID
	Run      int64
	// The meaning of Detail, Count and Age depends on the event; see the Event
	// constants.
	Detail string
	Count  int
	Age    time.Duration
	// Discarded is the discarded work, in core-seconds.
	Discarded float64
}

type mean struct{ sum, n float64 }

func (m *mean) add(v float64) { m.sum += v; m.n++ }

// New returns the planner of an owner that holds the pool under epoch.
func New(settings Settings, epoch int64) *Planner {
	return &Planner{
		settings:        settings,
		firstRun:        (epoch-1)*runsPerEpoch + 1,
		workers:         map[string]*worker{},
		jobs:            map[string]*job{},
		guarantee:       map[string]int64{},
		unknownJobs:     map[string]*unknownJob{},
		recovery:        recovery{uncontacted: map[string]bool{}, leasesExpired: map[string]bool{}, pendingContact: map[string]bool{}, learnedBy: map[string]string{}},
		queueMeanWeight: map[string]*mean{},
		discarded:       map[string]float64{},
		policyDecisions: map[work.StepID]map[string]policyDecision{},
		queriedAt:       map[work.StepID]time.Duration{},
		speeds:          speed.New(),
	}
}

// TakeLogEntries returns the log entries since the last call.
func (p *Planner) TakeLogEntries() []LogEntry {
	entries := p.logEntries
	p.logEntries = nil
	return entries
}

// TakeChanged returns the records of the jobs that changed since the last call.
func (p *Planner) TakeChanged() []work.Record {
	if len(p.changed) == 0 {
		return nil
	}
	out := make([]work.Record, 0, len(p.changed))
	for _, j := range p.changed {
		j.changed = false
		out = append(out, j.snapshot())
	}
	p.changed = nil
	return out
}

func (p *Planner) markChanged(j *job) {
	j.unstored = true
	if !j.changed {
		j.changed = true
		p.changed = append(p.changed, j)
	}
}

// RecordStored records that the job's record, as last returned by TakeChanged, is
// stored. It has no effect if the job has changed since.
func (p *Planner) RecordStored(id string) {
	if j := p.jobs[id]; j != nil && !j.changed {
		j.unstored = false
	}
}

func (p *Planner) log(entry LogEntry) { p.logEntries = append(p.logEntries, entry) }

// snapshot returns the job's record with a copy of its current progress.
func (j *job) snapshot() work.Record {
	rec := j.rec
	rec.LeasesKnown = true
	rec.Steps = make([]work.StepProgress, len(j.perStep))
	for i, units := range j.perStep {
		s := &rec.Steps[i]
		for _, u := range units {
			if u.phase == unitDone {
				s.Done = append(s.Done, u.first)
				continue
			}
			if len(u.failedRuns) > 0 {
				setEntry(&s.Failures, u.first, slices.Clone(u.failedRuns))
			}
			if workers := u.workers(); len(workers) > 0 {
				setEntry(&s.Placed, u.first, workers)
				if u.confirmedStored = u.confirmed(); !u.confirmedStored {
					s.Doubted = append(s.Doubted, u.first)
				}
			}
			if u.checkpoint != "" {
				setEntry(&s.Checkpoints, u.first, u.checkpoint)
			}
		}
	}
	return rec
}

// setEntry sets a value in a map and creates the map if it is nil.
func setEntry[V any](m *map[int]V, key int, value V) {
	if *m == nil {
		*m = map[int]V{}
	}
	(*m)[key] = value
}

// workers returns the IDs of the workers on which the unit runs or may run.
func (u *unit) workers() []string {
	out := slices.Clone(u.previousWorkers)
	for _, r := range u.runs {
		out = append(out, r.worker.info.ID)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// DiscardedWork returns the core-seconds of discarded work so far, by cause.
func (p *Planner) DiscardedWork() map[string]float64 { return p.discarded }

func taskID(u *unit, index int) work.TaskID {
	return work.TaskID{Job: u.job.rec.Job.ID, Occurrence: u.occurrence, Step: u.step, Index: index}
}
