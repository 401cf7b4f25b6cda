package fake

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Pool is a pool of workers that run tasks under leases and fencing tokens, for
// tests in virtual time. It checks the invariants that hold for any scheduler: a
// task never has two concurrent runs, and never runs again after a success that is
// acknowledged before or later, or after its job was shown as completed. It is safe
// for concurrent use.
type Pool struct {
	// GangTimeout bounds the time that a gang member waits for the other
	// members.
	GangTimeout time.Duration
	// StopDuration is the time from a stop call to the end of the run.
	StopDuration time.Duration

	mu          sync.Mutex
	workers     map[string]*PoolWorker
	violations  []string
	successes   map[work.TaskID][]*success // of a gang's members under the first one
	completedAt map[string]time.Time       // when a job was first shown as completed
	profiles    map[string]Profile
	starts      int
	startedJobs map[string]bool // jobs of which a run has started
	succeeded   map[work.TaskID]bool
	failedRuns  map[work.TaskID]map[int64]bool // numbers of the failed runs
	// entries is the version of the registry, which starts at 1.
	entries int64
	// entryDelay is how long after its restart a worker writes its entry.
	entryDelay time.Duration
	// needs returns what a task needs; nil while the workers don't guard their
	// capacity.
	needs func(work.TaskID) work.Resources
	// forbidden reports whether nothing may be started on a worker; nil if that is never so.
	forbidden func(work.Worker) bool
}

// Profile describes how a job's tasks run.
type Profile struct {
	RunTime time.Duration
	// Fails makes each run fail after RunTime.
	Fails    bool
	GangSize int // members that must run together; 0 for single tasks
	// RackSlowdown is the factor by which a gang runs slower on more than one rack; 0
	// for none.
	RackSlowdown float64
}

// PoolWorker is one worker of a Pool. Pool.mu guards its fields.
type PoolWorker struct {
	pool *Pool
	info work.Worker
	// incarnation is the start time of this incarnation in Unix milliseconds.
	incarnation int64
	// started is the start time of this incarnation. The worker's clock starts there
	// at one second and runs at clockRate.
	started      time.Time
	clockRate    float64
	fencingToken int64
	leaseExpiry  time.Time
	runs         map[work.TaskID]*poolRun
	results      []poolResult
	lastSequence int64
	lastEnded    map[work.TaskID]int64 // highest run number that ended or was stopped
	faults       PoolFaults
	held         Held[PoolFaults]
	// entry is the worker's entry in the registry. entryChangedAt is the version of the
	// registry that changed it last.
	entry          work.Worker
	entryChangedAt int64
}

// PoolFaults configures the faults of a worker. The zero value is healthy.
type PoolFaults struct {
	// DropCalls drops every call before it takes effect.
	DropCalls bool
	// DropReplies drops every reply, after the call took effect, except
	// fault.Fenced.
	DropReplies bool
	// StartDelay drops the replies to start calls and applies the calls after this
	// delay.
	StartDelay time.Duration
	// StallRuns stops the progress of all runs.
	StallRuns bool
	// FailRuns makes every run fail 100 ms after its start.
	FailRuns bool
}

// maxLease bounds the lease that a worker grants.
const maxLease = 10 * time.Second

// NewPool returns a pool without workers.
func NewPool() *Pool {
	return &Pool{entries: 1, GangTimeout: 3 * time.Second, StopDuration: 400 * time.Millisecond, workers: map[string]*PoolWorker{},
		successes: map[work.TaskID][]*success{}, completedAt: map[string]time.Time{}, succeeded: map[work.TaskID]bool{}, failedRuns: map[work.TaskID]map[int64]bool{}, profiles: map[string]Profile{}, startedJobs: map[string]bool{}}
}

// Add starts a worker at info.Address.
func (p *Pool) Add(info work.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &PoolWorker{pool: p, info: info, incarnation: time.Now().UnixMilli(), started: time.Now(), clockRate: 1,
		runs: map[work.TaskID]*poolRun{}, lastEnded: map[work.TaskID]int64{}}
	w.entry = w.describe()
	p.workers[info.Address] = w
}

// SetProfile sets the profile of the tasks whose jobs have the given spec. Without
// a profile, a task succeeds immediately.
func (p *Pool) SetProfile(spec string, profile Profile) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profiles[spec] = profile
}

// SetFaults replaces the faults of the worker at an address, which must exist.
func (p *Pool) SetFaults(address string, f PoolFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[address].faults = f
}

// HoldFaults adds faults to the worker at an address, if it exists, until release is
// called. The worker has all the faults that are held or set.
func (p *Pool) HoldFaults(address string, f PoolFaults) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[address]; w != nil {
		return w.held.Hold(f)
	}
	return func() {}
}

// currentFaults returns the faults that are set, and those that are held. The caller
// holds Pool.mu.
func (w *PoolWorker) currentFaults() PoolFaults {
	f := w.faults
	for _, held := range w.held.Values() {
		f.DropCalls = f.DropCalls || held.DropCalls
		f.DropReplies = f.DropReplies || held.DropReplies
		f.StallRuns = f.StallRuns || held.StallRuns
		f.FailRuns = f.FailRuns || held.FailRuns
		f.StartDelay = max(f.StartDelay, held.StartDelay)
	}
	return f
}

// SetClockRate sets how fast the clock of the worker at an address, which must exist,
// runs. Leases are measured by it. It must precede the calls to the worker.
func (p *Pool) SetClockRate(address string, rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[address].clockRate = rate
}

// Restart ends all runs of the worker at an address, if it exists, and starts a new
// incarnation with the same ID.
func (p *Pool) Restart(address string) { p.RestartAs(address, func(*work.Worker) {}) }

// RestartAs is Restart of a worker that comes back with a changed description.
func (p *Pool) RestartAs(address string, change func(*work.Worker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[address]
	if w == nil {
		return
	}
	change(&w.info)
	w.incarnation, w.started, w.fencingToken, w.leaseExpiry = time.Now().UnixMilli(), time.Now(), 0, time.Time{}
	w.runs, w.lastEnded, w.results, w.lastSequence = map[work.TaskID]*poolRun{}, map[work.TaskID]int64{}, nil, 0
	p.register(w)
}

// Incarnation returns the start time of the current incarnation of the worker at an
// address in Unix milliseconds, or 0 if there is none.
func (p *Pool) Incarnation(address string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[address]; w != nil {
		return w.incarnation
	}
	return 0
}

// Violations returns the violations of the pool's invariants.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// HasStarted reports whether a run of the job has started.
func (p *Pool) HasStarted(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedJobs[job]
}

// StartCount returns the number of runs that have started.
func (p *Pool) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Running returns the number of current runs.
func (p *Pool) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		w.advance(time.Now())
		n += len(w.runs)
	}
	return n
}

// RunningOn returns the number of current runs of the worker at an address, which
// must exist.
func (p *Pool) RunningOn(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[address]
	w.advance(time.Now())
	return len(w.runs)
}

// beforeCall returns the target worker of a call after a delay of one millisecond.
// If the worker is unknown or its calls are dropped, it blocks until ctx ends and
// fails with fault.Uncertain.
func (p *Pool) beforeCall(ctx context.Context, target port.WorkerTarget) (*PoolWorker, error) {
	p.mu.Lock()
	w := p.workers[target.Address]
	dropped := w == nil || w.currentFaults().DropCalls
	p.mu.Unlock()
	if dropped {
		<-ctx.Done()
		return nil, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	time.Sleep(time.Millisecond)
	return w, nil
}

// clock returns the current reading of the worker's clock. It doesn't identify the
// incarnation, which only the answer to a hold does.
func (w *PoolWorker) clock() port.WorkerClock {
	elapsed := time.Duration(w.clockRate * float64(time.Since(w.started)))
	return port.WorkerClock{Now: elapsed + time.Second}
}

// at returns the time at which the worker's clock reads clock.
func (w *PoolWorker) at(clock time.Duration) time.Time {
	return w.started.Add(time.Duration(float64(clock-time.Second) / w.clockRate))
}

// applyReplyFaults returns immediately unless the worker's replies are dropped. If
// they are, it blocks until ctx ends and fails with fault.Uncertain.
func (w *PoolWorker) applyReplyFaults(ctx context.Context) error {
	w.pool.mu.Lock()
	dropped := w.currentFaults().DropReplies
	w.pool.mu.Unlock()
	if !dropped {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
}

// Start implements port.WorkerClient.
func (p *Pool) Start(ctx context.Context, target port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	w, err := p.beforeCall(ctx, target)
	if err != nil {
		return port.WorkerClock{}, port.NotRejected, err
	}
	p.mu.Lock()
	delay, incarnation := w.currentFaults().StartDelay, w.incarnation
	p.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if w.incarnation == incarnation { // a restart discards pending calls
				w.start(o, true)
			}
		})
		<-ctx.Done()
		return port.WorkerClock{}, port.NotRejected, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	p.mu.Lock()
	if !w.performs(ctx) {
		p.mu.Unlock()
		return port.WorkerClock{}, port.NotRejected, errOtherIncarnation
	}
	rejection := w.start(o, performedLate(ctx))
	clock := w.clock()
	p.mu.Unlock()
	if err := w.applyReplyFaults(ctx); err != nil {
		return port.WorkerClock{}, port.NotRejected, err
	}
	return clock, rejection, nil
}

// start performs an order, which was sent some time ago if late is set.
func (w *PoolWorker) start(o port.StartOrder, late bool) port.StartRejection {
	now := time.Now()
	w.advance(now)
	if o.FencingToken < w.fencingToken {
		return port.RejectedFencingToken
	}
	w.fencingToken = o.FencingToken
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return port.NotRejected
	}
	w.extendLease(o.LeaseEnd)
	profile := w.pool.profiles[o.Spec]
	switch {
	case o.Run <= w.lastEnded[o.Task]:
		return port.RejectedStaleRun
	case !w.at(o.LeaseEnd).After(now):
		return port.RejectedLeaseExpired
	case w.runs[o.Task] != nil, w.pool.needs != nil && !w.free().Fits(w.pool.needs(o.Task)):
		return port.RejectedCapacity
	}
	w.pool.checkStart(w, o.Task, o.Run, &profile, late)
	w.pool.starts++
	w.pool.startedJobs[o.Task.Job] = true
	w.runs[o.Task] = &poolRun{task: o.Task, number: o.Run, required: profile.RunTime, lastAdvance: now, started: now, profile: profile}
	return port.NotRejected
}

func (w *PoolWorker) extendLease(until time.Duration) {
	t := w.at(until)
	if latest := w.at(w.clock().Now + maxLease); t.After(latest) {
		t = latest
	}
	if until > 0 && t.After(w.leaseExpiry) {
		w.leaseExpiry = t
	}
}

// Stop implements port.WorkerClient.
func (p *Pool) Stop(ctx context.Context, target port.WorkerTarget, task work.TaskID, run, fencingToken int64) (port.WorkerClock, error) {
	w, err := p.beforeCall(ctx, target)
	if err != nil {
		return port.WorkerClock{}, err
	}
	p.mu.Lock()
	if !w.performs(ctx) {
		p.mu.Unlock()
		return port.WorkerClock{}, errOtherIncarnation
	}
	w.advance(time.Now())
	if fencingToken < w.fencingToken {
		p.mu.Unlock()
		return port.WorkerClock{}, fault.New(fault.Fenced, "lower fencing token")
	}
	w.fencingToken = fencingToken
	w.lastEnded[task] = max(w.lastEnded[task], run)
	if r := w.runs[task]; r != nil && r.number == run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(p.StopDuration)
	}
	clock := w.clock()
	p.mu.Unlock()
	return clock, w.applyReplyFaults(ctx)
}

// Hold implements port.WorkerClient.
func (p *Pool) Hold(ctx context.Context, target port.WorkerTarget, req port.HoldRequest) (port.HoldReply, error) {
	w, err := p.beforeCall(ctx, target)
	if err != nil {
		return port.HoldReply{}, err
	}
	deadline := time.Now().Add(req.Wait)
	p.mu.Lock()
	if !w.performs(ctx) {
		p.mu.Unlock()
		return port.HoldReply{}, errOtherIncarnation
	}
	w.advance(time.Now())
	incarnation := w.incarnation
	if req.FencingToken < w.fencingToken {
		p.mu.Unlock()
		return port.HoldReply{}, fault.New(fault.Fenced, "lower fencing token")
	}
	w.fencingToken = req.FencingToken
	w.extendLease(req.LeaseEnd)
	w.acknowledge(req.AcknowledgedSequence)
	p.mu.Unlock()
	for {
		p.mu.Lock()
		if w.incarnation != incarnation {
			p.mu.Unlock()
			return port.HoldReply{}, errOtherIncarnation
		}
		w.advance(time.Now())
		if len(w.results) > 0 || !time.Now().Before(deadline) {
			reply := w.report()
			p.mu.Unlock()
			return reply, w.applyReplyFaults(ctx)
		}
		p.mu.Unlock()
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return port.HoldReply{}, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
		}
	}
}

func (w *PoolWorker) acknowledge(upTo int64) {
	for len(w.results) > 0 && w.results[0].Sequence <= upTo {
		if r := &w.results[0]; r.success != nil && !r.void {
			w.pool.acknowledgeSuccess(r.success)
		}
		w.results = w.results[1:]
	}
}

func (w *PoolWorker) report() port.HoldReply {
	reply := port.HoldReply{Clock: w.clock()}
	reply.Clock.Incarnation = w.incarnation
	for i := range w.results {
		reply.Results = append(reply.Results, w.results[i].RunResult)
	}
	tasks := slices.SortedFunc(maps.Keys(w.runs), func(a, b work.TaskID) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	for _, task := range tasks {
		r := w.runs[task]
		percent := 0
		if r.required > 0 {
			percent = int(100 * r.completed / r.required)
		}
		reply.Running = append(reply.Running, port.RunState{Task: task, Run: r.number, ProgressPercent: min(percent, 100)})
	}
	return reply
}

var (
	_ port.WorkerClient   = (*Pool)(nil)
	_ port.WorkerRegistry = (*Pool)(nil)
)
