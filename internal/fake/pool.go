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
// tests in virtual time. It checks what must hold whoever gives the orders: no
// task runs twice at a time or again after an acknowledged success. It is safe
// for concurrent use.
type Pool struct {
	// GangPatience is how long a gang's member waits for the others.
	GangPatience time.Duration
	// StopTime is how long a stop takes.
	StopTime time.Duration

	mu       sync.Mutex
	workers  map[string]*PoolWorker
	broken   []string
	finished map[work.TaskID]bool // succeeded and acknowledged
	specs    map[string]Profile
	starts   int
	begun    map[string]bool // jobs of which a run began
}

// Profile says how a job's tasks behave.
type Profile struct {
	Work time.Duration
	// Fails makes each run fail after Work.
	Fails bool
	Gang  int // members that must be present; 0 for single tasks
}

// PoolWorker is one worker of a Pool; its fields are guarded by the pool.
type PoolWorker struct {
	pool *Pool
	info work.Worker
	born int64
	// began is the zero of the worker's clock in this life.
	began  time.Time
	fence  int64
	until  time.Time
	runs   map[work.TaskID]*poolRun
	ends   []poolEnd
	last   int64
	over   map[work.TaskID]int64 // highest ended or stopped run
	faults PoolFaults
}

// PoolFaults says how a worker misbehaves. The zero value is healthy.
type PoolFaults struct {
	// Cut loses every call before it arrives.
	Cut bool
	// Mute loses every answer after the call took effect.
	Mute bool
	// Late loses starts' answers and carries them out after the delay.
	Late time.Duration
	// Hang lets runs stand still.
	Hang bool
	// FailAll lets every run fail soon after its start.
	FailAll bool
}

// poolEnd is a listed end. It is void once the worker's lease expired before
// the end was acknowledged: the task may then have been started elsewhere.
type poolEnd struct {
	port.RunResult
	void bool
}

type poolRun struct {
	task     work.TaskID
	number   int64
	need     time.Duration
	done     time.Duration
	lastTick time.Time
	started  time.Time
	stopping time.Time
	profile  Profile
}

// longestLease is the longest lease that a worker grants.
const longestLease = 10 * time.Second

// NewPool returns a pool without workers.
func NewPool() *Pool {
	return &Pool{GangPatience: 3 * time.Second, StopTime: 400 * time.Millisecond, workers: map[string]*PoolWorker{},
		finished: map[work.TaskID]bool{}, specs: map[string]Profile{}, begun: map[string]bool{}}
}

// Add adds a worker.
func (p *Pool) Add(info work.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[info.Address] = &PoolWorker{pool: p, info: info, born: time.Now().UnixMilli(), began: time.Now(),
		runs: map[work.TaskID]*poolRun{}, over: map[work.TaskID]int64{}}
}

// Profile sets how the tasks of jobs with a spec behave.
func (p *Pool) Profile(spec string, profile Profile) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.specs[spec] = profile
}

// SetFaults changes how a worker misbehaves.
func (p *Pool) SetFaults(address string, f PoolFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[address].faults = f
}

// Restart ends all runs of a worker and starts it anew under the same ID.
func (p *Pool) Restart(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[address]
	w.born, w.began, w.fence, w.until = time.Now().UnixMilli(), time.Now(), 0, time.Time{}
	w.runs, w.over, w.ends, w.last = map[work.TaskID]*poolRun{}, map[work.TaskID]int64{}, nil, 0
}

// Broken returns the promises that were broken.
func (p *Pool) Broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.broken)
}

// Started reports whether a run of a job began.
func (p *Pool) Started(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begun[job]
}

// Starts counts the runs that began.
func (p *Pool) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Running counts the runs at present.
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

// Workers implements port.WorkerRegistry.
func (p *Pool) Workers(context.Context) ([]work.Worker, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []work.Worker
	for _, address := range slices.Sorted(maps.Keys(p.workers)) {
		out = append(out, p.workers[address].info)
	}
	return out, 1, nil
}

// WatchWorkers implements port.WorkerRegistry. The list never changes.
func (p *Pool) WatchWorkers(ctx context.Context, after int64, patience time.Duration) ([]port.WorkerChange, int64, error) {
	select {
	case <-time.After(patience):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, fault.Wrap(fault.Unavailable, "watch", ctx.Err())
	}
}

// enter finds the worker and applies its faults to a call's way in.
func (p *Pool) enter(ctx context.Context, target port.WorkerTarget) (*PoolWorker, error) {
	p.mu.Lock()
	w := p.workers[target.Address]
	cut := w == nil || w.faults.Cut
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	time.Sleep(time.Millisecond)
	return w, nil
}

func (w *PoolWorker) clock() port.WorkerClock {
	return port.WorkerClock{Now: time.Since(w.began) + time.Second, Incarnation: w.born}
}

func (w *PoolWorker) at(clock time.Duration) time.Time { return w.began.Add(clock - time.Second) }

// muted blocks until ctx ends where the worker's answers are lost.
func (w *PoolWorker) muted(ctx context.Context) error {
	w.pool.mu.Lock()
	mute := w.faults.Mute
	w.pool.mu.Unlock()
	if !mute {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
}

// Start implements port.WorkerCaller.
func (p *Pool) Start(ctx context.Context, target port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	w, err := p.enter(ctx, target)
	if err != nil {
		return port.WorkerClock{}, port.NotRejected, err
	}
	p.mu.Lock()
	late, born := w.faults.Late, w.born
	p.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if w.born == born { // an order that waits in a process ends with it
				w.start(o)
			}
		})
		<-ctx.Done()
		return port.WorkerClock{}, port.NotRejected, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	p.mu.Lock()
	rejected := w.start(o)
	clock := w.clock()
	p.mu.Unlock()
	if err := w.muted(ctx); err != nil {
		return port.WorkerClock{}, port.NotRejected, err
	}
	return clock, rejected, nil
}

func (w *PoolWorker) start(o port.StartOrder) port.StartRejection {
	now := time.Now()
	w.advance(now)
	if o.Fence < w.fence {
		return port.RejectedFencingToken
	}
	w.fence = o.Fence
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return port.NotRejected
	}
	w.extend(o.LeaseEnd)
	profile := w.pool.specs[o.Spec]
	switch {
	case o.Run <= w.over[o.Task]:
		return port.RejectedStaleRun
	case !w.at(o.LeaseEnd).After(now):
		return port.RejectedLeaseExpired
	case w.runs[o.Task] != nil:
		return port.RejectedCapacity
	}
	w.pool.checkStart(w, o.Task)
	w.pool.starts++
	w.pool.begun[o.Task.Job] = true
	w.runs[o.Task] = &poolRun{task: o.Task, number: o.Run, need: profile.Work, lastTick: now, started: now, profile: profile}
	return port.NotRejected
}

func (p *Pool) checkStart(w *PoolWorker, task work.TaskID) {
	now := time.Now().Format("05.000")
	if p.finished[task] {
		p.broken = append(p.broken, fmt.Sprintf("%s: %v starts on %s after an acknowledged success", now, task, w.info.ID))
	}
	for _, other := range p.workers {
		other.advance(time.Now())
		if other.runs[task] != nil {
			p.broken = append(p.broken, fmt.Sprintf("%s: %v starts on %s while it runs on %s", now, task, w.info.ID, other.info.ID))
		}
	}
}

func (w *PoolWorker) extend(until time.Duration) {
	t := w.at(until)
	if latest := time.Now().Add(longestLease); t.After(latest) {
		t = latest
	}
	if until > 0 && t.After(w.until) {
		w.until = t
	}
}

// Stop implements port.WorkerCaller.
func (p *Pool) Stop(ctx context.Context, target port.WorkerTarget, task work.TaskID, run, fence int64) (port.WorkerClock, error) {
	w, err := p.enter(ctx, target)
	if err != nil {
		return port.WorkerClock{}, err
	}
	p.mu.Lock()
	w.advance(time.Now())
	if fence < w.fence {
		p.mu.Unlock()
		return port.WorkerClock{}, fault.New(fault.Fenced, "lower fencing token")
	}
	w.fence = fence
	w.over[task] = max(w.over[task], run)
	if r := w.runs[task]; r != nil && r.number == run && r.stopping.IsZero() {
		r.stopping = time.Now().Add(p.StopTime)
	}
	clock := w.clock()
	p.mu.Unlock()
	return clock, w.muted(ctx)
}

// Hold implements port.WorkerCaller.
func (p *Pool) Hold(ctx context.Context, target port.WorkerTarget, req port.HoldRequest) (port.HoldReply, error) {
	w, err := p.enter(ctx, target)
	if err != nil {
		return port.HoldReply{}, err
	}
	deadline := time.Now().Add(req.Wait)
	p.mu.Lock()
	w.advance(time.Now())
	born := w.born
	if req.Fence < w.fence {
		p.mu.Unlock()
		return port.HoldReply{}, fault.New(fault.Fenced, "lower fencing token")
	}
	w.fence = req.Fence
	w.extend(req.LeaseEnd)
	w.acknowledge(req.AcknowledgedSequence)
	p.mu.Unlock()
	for {
		p.mu.Lock()
		if w.born != born {
			p.mu.Unlock()
			return port.HoldReply{}, fault.New(fault.Uncertain, "connection reset")
		}
		w.advance(time.Now())
		if len(w.ends) > 0 || !time.Now().Before(deadline) {
			reply := w.report()
			p.mu.Unlock()
			return reply, w.muted(ctx)
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
	for len(w.ends) > 0 && w.ends[0].Sequence <= upTo {
		if w.ends[0].Kind == port.ResultSucceeded && !w.ends[0].void {
			w.pool.finished[w.ends[0].Task] = true
		}
		w.ends = w.ends[1:]
	}
}

func (w *PoolWorker) report() port.HoldReply {
	reply := port.HoldReply{Clock: w.clock()}
	for i := range w.ends {
		reply.Results = append(reply.Results, w.ends[i].RunResult)
	}
	tasks := slices.SortedFunc(maps.Keys(w.runs), func(a, b work.TaskID) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	for _, task := range tasks {
		r := w.runs[task]
		percent := 0
		if r.need > 0 {
			percent = int(100 * r.done / r.need)
		}
		reply.Running = append(reply.Running, port.RunState{Task: task, Run: r.number, ProgressPercent: min(percent, 100)})
	}
	return reply
}

func (w *PoolWorker) end(r *poolRun, kind port.ResultKind) {
	delete(w.runs, r.task)
	w.over[r.task] = max(w.over[r.task], r.number)
	w.last++
	w.ends = append(w.ends, poolEnd{RunResult: port.RunResult{Sequence: w.last, Task: r.task, Run: r.number, Kind: kind}})
}

// advance brings the worker's runs up to now. The caller holds the pool's lock.
func (w *PoolWorker) advance(now time.Time) {
	if !w.until.IsZero() && now.After(w.until) {
		for i := range w.ends {
			w.ends[i].void = true
		}
		for _, r := range w.sorted() {
			w.end(r, port.ResultLeaseExpired)
		}
	}
	for _, r := range w.sorted() {
		gang := r.profile.Gang > 0
		complete := !gang || w.pool.present(r) >= r.profile.Gang
		if complete && !w.faults.Hang {
			r.done += now.Sub(r.lastTick)
		}
		r.lastTick = now
		switch {
		case !r.stopping.IsZero() && !now.Before(r.stopping):
			w.end(r, port.ResultStopped)
		case w.faults.FailAll && now.Sub(r.started) > 100*time.Millisecond:
			w.end(r, port.ResultFailed)
		case gang && !complete && r.done == 0 && now.Sub(r.started) > w.pool.GangPatience:
			w.end(r, port.ResultGangIncomplete)
		case gang && !complete && r.done > 0:
			w.end(r, port.ResultMemberEnded)
		case r.done >= r.need && r.profile.Fails:
			w.end(r, port.ResultFailed)
		case r.done >= r.need:
			w.succeed(r)
		}
	}
}

// succeed ends a run, and with it all members of its gang.
func (w *PoolWorker) succeed(r *poolRun) {
	w.end(r, port.ResultSucceeded)
	if r.profile.Gang == 0 {
		return
	}
	for _, other := range w.pool.workers {
		for _, member := range other.sorted() {
			if sameGang(member, r) {
				other.end(member, port.ResultSucceeded)
			}
		}
	}
}

func sameGang(a, b *poolRun) bool {
	return a.task.Job == b.task.Job && a.task.Step == b.task.Step && a.number == b.number
}

func (w *PoolWorker) sorted() []*poolRun {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *poolRun) int {
		return strings.Compare(fmt.Sprint(a.task), fmt.Sprint(b.task))
	})
}

// present counts the members of a run's gang.
func (p *Pool) present(r *poolRun) int {
	n := 0
	for _, w := range p.workers {
		for _, other := range w.runs {
			if sameGang(other, r) {
				n++
			}
		}
	}
	return n
}

var (
	_ port.WorkerClient   = (*Pool)(nil)
	_ port.WorkerRegistry = (*Pool)(nil)
)
