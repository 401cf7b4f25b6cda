// Package pool runs the workers of a pool while this instance owns it, and
// settles who owns it.
package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// leaseLength is how long a worker goes on without hearing from an owner.
	// It covers a takeover: detection, reading the jobs and a round of holds.
	leaseLength = 4500 * time.Millisecond
	// renewWithout is how long an owner goes on renewing and starting without
	// its own beat confirmed. Fencing at the workers stops it sooner where
	// another owner has taken over.
	renewWithout = 20 * time.Second
	// staleAfter is the gap in this process's own time after which its beliefs
	// have to be confirmed before it starts anything: it was suspended.
	staleAfter = time.Second
	// eventsHeld bounds the events that wait for the owner's loop.
	eventsHeld = 4096
	// registrySettles is how long after an outage of the store a living worker's
	// entry may be missing: the platform says about two seconds.
	registrySettles = 2500 * time.Millisecond
	// formerLearns is how long a former owner may go on as if it still owned the
	// pool: its next beat, with a store at its slowest, tells it.
	formerLearns = 2500 * time.Millisecond
	// formerRenews is how long a former owner that lives on may renew leases: its
	// next long poll at any worker that knows the new owner ends it.
	formerRenews = holdWait + 500*time.Millisecond
	// settledAfter is how long the store must have served this instance without
	// a failure for a former owner's placements to be taken as complete.
	settledAfter = 10 * time.Second
	// recordWait is how long a start waits for its placement to be stored; the
	// store takes 12 ms at its usual speed. While it is slow or away, starts go on.
	recordWait = 150 * time.Millisecond
	// outageSeenByAll is how long an outage must have lasted for it to be one for
	// all instances: another would have taken the pool over within 1.6 s, and the
	// workers' answers would have told within another second.
	outageSeenByAll = 3 * time.Second
	// knownWithin is the age from which a job that becomes known may have been
	// started by an earlier owner.
	knownWithin = 2 * time.Second
	// freshCopy is the age up to which the copy holds a former owner's last writes.
	freshCopy = 500 * time.Millisecond
	// yieldAfter is how long an owner may reach the store through peers only
	// before it hands the pool over to an instance that may fare better: each of
	// its writes takes several times as long, for partitions of 2 to 12 s.
	yieldAfter = 1500 * time.Millisecond
	// yieldSpacing keeps the pool from being passed around where all instances
	// fare alike.
	yieldSpacing = 5 * time.Second
	// planEvery is how often waiting work is looked at without an event.
	planEvery = 100 * time.Millisecond
	// reportEvery is how often the queue's lengths are reported to the metrics.
	reportEvery = time.Second
)

// runKey names a run of a task.
type runKey struct {
	task work.TaskID
	run  int64
}

// Owner runs one pool under one epoch.
type Owner struct {
	deps         Deps
	log          *zap.Logger
	pool         string
	epoch        int64
	epochVersion int64
	startedAt    time.Duration // when the epoch was claimed
	// holdingSince is when this owner began to tell the workers of itself. Until
	// then a former owner may go on, for as long as the store is away.
	holdingSince time.Duration

	planner  *planner.Planner
	sessions map[string]*session
	starts   map[runKey]context.CancelFunc // starts that wait for an answer
	events   chan event
	deposed  context.CancelFunc
	beatAt   atomic.Int64 // when the last confirmed beat was sent, on Now's clock
	storing  storing
	advice   advice
	held     []heldStart
	deferred map[string]bool // jobs of which a row may be missing
	plans    int64           // counts the plans, to order starts and records
	lastLoop time.Duration
	confirm  time.Duration // a beat must be confirmed after this before starts go on
	config   *work.Config
	done     chan struct{}
	former   former
	bypass   bypass
	yielded  bool           // the pool is to be handed over while this process goes on
	lost     sync.Once      // logs the end of the ownership
	tasks    sync.WaitGroup // goroutines that end with the owner
}

func newOwner(deps Deps, pool string, epoch, version int64) *Owner {
	o := &Owner{
		deps: deps, pool: pool, epoch: epoch, epochVersion: version,
		log:       deps.Log.With(zap.String("pool", pool), zap.Int64("epoch", epoch)),
		planner:   planner.New(deps.Settings, epoch),
		sessions:  map[string]*session{},
		starts:    map[runKey]context.CancelFunc{},
		deferred:  map[string]bool{},
		events:    make(chan event, eventsHeld),
		startedAt: deps.Now(),
		done:      make(chan struct{}),
	}
	o.beatAt.Store(int64(o.startedAt))
	o.storing.init()
	o.advice.init()
	return o
}

func (o *Owner) now() time.Duration { return o.deps.Now() }

// send hands an event to the loop, waiting for room until ctx ends.
func (o *Owner) send(ctx context.Context, ev event) {
	select {
	case o.events <- ev:
	case <-ctx.Done():
	}
}

// post is send for callers that live exactly as long as the owner.
func (o *Owner) post(ev event) {
	select {
	case o.events <- ev:
	case <-o.done:
	}
}

func (o *Owner) depose(why string) {
	o.lost.Do(func() { o.log.Warn("ownership lost", zap.String("reason", why)) })
	o.deposed()
}

// mayRenew reports whether leases may be renewed on this owner's belief.
func (o *Owner) mayRenew() bool {
	return o.now()-time.Duration(o.beatAt.Load()) < renewWithout
}

// run takes the pool over and runs it until ctx ends or the ownership is lost.
func (o *Owner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer o.tasks.Wait()
	defer cancel()
	defer close(o.done)
	o.deposed = cancel
	sub := o.deps.Replica.Subscribe(o.pool)
	defer sub.Close()
	o.tasks.Go(func() { o.beat(ctx) })
	if err := o.recover(ctx); err != nil {
		return err
	}
	o.tasks.Go(func() { o.followWorkers(ctx) })
	o.tasks.Go(func() { o.retain(ctx) })
	o.loop(ctx, sub)
	o.log.Info("ownership over", zap.Any("core_seconds_thrown_away", o.planner.Waste()))
	return nil
}

// shouldYield reports whether another instance is likely to own the pool better:
// this one reaches the store through peers only.
func (o *Owner) shouldYield() bool {
	down := o.deps.Health.DirectDown()
	now := o.now()
	if down < yieldAfter || now-o.startedAt < yieldSpacing || now-time.Duration(o.beatAt.Load()) > takeoverAfter {
		return false
	}
	if len(o.deps.Replica.Nodes(o.deps.Name)) == 0 {
		return false
	}
	o.log.Info("handing over, the store is reached through peers only", zap.Duration("for", down))
	return true
}

// wall is the time of day, since 1970, that the instances agree on.
func (o *Owner) wall() time.Duration {
	store := o.deps.Store.Now()
	return store + o.deps.Replica.WallOffset(o.deps.Name, o.deps.Wall()-store)
}

func (o *Owner) applyConfig() {
	if c := o.deps.Config(); c != nil && c != o.config {
		o.config = c
		o.planner.SetGuarantees(c.Workspaces)
	}
}

func (o *Owner) loop(ctx context.Context, sub *replica.Subscription) {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	defer o.deps.Observer.Owning(o.pool, false, 0, 0)
	o.lastLoop = o.now()
	for {
		select {
		case ev := <-o.events:
			o.apply(ctx, ev)
			o.drain(ctx)
		case <-sub.C():
		case <-tick.C:
		case <-report.C:
			waiting, running := o.planner.Counts()
			o.deps.Observer.Owning(o.pool, true, waiting, running)
			continue
		case <-ctx.Done():
			return
		}
		if o.shouldYield() {
			o.yielded = true
			return
		}
		o.takeJobs(sub)
		o.step(ctx)
	}
}

// drain applies the events that are there, so that one plan answers them all.
func (o *Owner) drain(ctx context.Context) {
	for range eventsHeld {
		select {
		case ev := <-o.events:
			o.apply(ctx, ev)
		default:
			return
		}
	}
}

// step plans, sends the orders and stores what changed.
func (o *Owner) step(ctx context.Context) {
	now := o.now()
	o.noticeSuspension(now)
	o.applyConfig()
	o.planner.SetWallClock(now, o.wall())
	o.mergeFormer(ctx, now)
	o.expire(now)
	if o.mayStart(now) {
		o.takeOrders(ctx, o.planner.Plan(now))
		o.askAdvice(ctx, now)
	}
	o.logNotes()
	o.storeChanged(ctx)
	o.releaseOverdue(ctx, now)
	o.planner.Forget()
}

// noticeSuspension makes starts wait for a confirmed beat when this process was
// suspended: another instance may own the pool by now, and a worker that was
// restarted meanwhile would know of no higher fencing token.
func (o *Owner) noticeSuspension(now time.Duration) {
	if now-o.lastLoop > staleAfter {
		o.log.Warn("suspended, confirming ownership first", zap.Duration("gap", now-o.lastLoop))
		o.confirm = now
	}
	o.lastLoop = now
}

// mayStart reports whether starts may be sent on this owner's belief.
func (o *Owner) mayStart(now time.Duration) bool {
	beat := time.Duration(o.beatAt.Load())
	return beat >= o.confirm && now-beat < renewWithout
}

func (o *Owner) dispatch(ctx context.Context, order planner.Order) {
	s := o.sessions[order.Worker]
	if s == nil {
		return // the worker is gone; its runs went with it
	}
	verb := "start"
	key := runKey{order.Task, order.Run}
	if order.Kind == planner.OrderStop {
		verb = "stop"
		o.endStart(key)
		o.tasks.Go(func() { s.stop(ctx, order) })
	} else {
		startCtx, cancel := context.WithCancel(ctx)
		o.starts[key] = cancel
		decidedAt := o.now()
		o.tasks.Go(func() { s.start(startCtx, order, decidedAt) })
	}
	o.log.Info(verb, zap.String("job", order.Task.Job), zap.Int("step", order.Task.Step), zap.Int("index", order.Task.Index),
		zap.Int64("run", order.Run), zap.String("worker", order.Worker), zap.String("why", order.Why))
}

// endStart keeps a start from being sent again: once its run is given up, a
// new life of the worker would take it for a new one.
func (o *Owner) endStart(key runKey) {
	if cancel := o.starts[key]; cancel != nil {
		cancel()
		delete(o.starts, key)
	}
}

// takeLife takes in a new life of a worker, once, before anything of it: its
// ends are numbered anew, and a start that it confirmed isn't one of the former's.
func (o *Owner) takeLife(now time.Duration, s *session, life int) {
	if life > s.taken {
		s.taken = life
		o.planner.Reborn(now, s.target.ID)
	}
}

func (o *Owner) apply(ctx context.Context, ev event) {
	now := o.now()
	o.noticeSuspension(now)
	id := ""
	if ev.session != nil {
		id = ev.session.target.ID
		o.takeLife(now, ev.session, ev.life)
	}
	switch ev.kind {
	case evReport:
		if ev.life < ev.session.taken {
			return // a former life's, overtaken by the news of the next
		}
		ends := o.planner.Observe(now, ev.sentAt, id, ev.reply)
		ev.session.acknowledge(ev.life, o.planner.Acknowledgeable(id))
		o.logEnds(id, ends)
	case evReborn: // taken in above
	case evTried:
		o.planner.Tried(id)
	case evUnreachable:
		o.planner.SetReachable(id, false)
	case evStarted:
		o.endStart(runKey{ev.order.Task, ev.order.Run})
		o.planner.Started(now, id, ev.order.Task, ev.order.Run, ev.rejected)
	case evUnanswered:
		o.endStart(runKey{ev.order.Task, ev.order.Run})
		o.planner.Unanswered(now, id, ev.order.Task, ev.order.Run)
	case evStopped:
		o.planner.Stopped(now, id, ev.order.Task, ev.order.Run)
	case evWorkers:
		o.changeWorkers(ctx, ev)
	case evRemoved:
		o.forget(ev.job)
	case evAnnounced:
		o.announced(ev.err)
	case evCaughtUp:
		o.caughtUpTo(ev.err)
	case evAdvised:
		o.advised(now, ev.advice)
	case evStored:
		o.storedDone(ctx, ev.stored)
	}
}
