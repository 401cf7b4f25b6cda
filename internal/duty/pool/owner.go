// Package pool elects the owner of a pool of workers, and runs the pool's jobs on
// the workers while this instance owns it.
package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// leaseDuration is how long a worker goes on without a renewal by an owner. It
	// covers a takeover: detection, reading the jobs and a round of holds.
	leaseDuration = 4500 * time.Millisecond
	// unconfirmedLimit is how long an owner goes on renewing leases and starting
	// tasks without a confirmed heartbeat while most workers answer it. With the leases
	// it covers an outage of 12 s. A successor that doesn't reach half of the workers waits
	// for it.
	unconfirmedLimit = 7800 * time.Millisecond
	// suspensionThreshold is the gap in the activity of the owner's loop above which
	// the process counts as suspended. Ownership then has to be confirmed before
	// anything is started.
	suspensionThreshold = time.Second
	// eventQueueSize is the capacity of the owner's event queue.
	eventQueueSize = 4096
	// registryRecoveryTime is how long the registry may lack the entry of a live
	// worker after an outage of the store. The platform states about two seconds.
	registryRecoveryTime = 2500 * time.Millisecond
	// previousOwnerStopTime bounds how long a previous owner that reaches the store may
	// act as the owner after this owner's first hold: by then its next heartbeat has
	// failed, even if the store is at its slowest.
	previousOwnerStopTime = 2500 * time.Millisecond
	// storeStableAfter is how long this instance's reads of the store must have
	// succeeded before the stored placements of a previous owner count as complete.
	storeStableAfter = 10 * time.Second
	// placementCommitWait is how long a start waits for its placement to be stored.
	// The store normally takes 12 ms. While it is slow or unavailable, starts are
	// sent early.
	placementCommitWait = 150 * time.Millisecond
	// globalOutageAfter is the duration from which an outage is known to affect all
	// instances if most workers answer: an instance that still reached the store would
	// have taken the pool over within 1.6 s, and the workers' answers would have revealed
	// it within another second.
	globalOutageAfter = 3 * time.Second
	// maxUnstartedAge is the age above which a job that is newly seen may have been
	// started by an earlier owner.
	maxUnstartedAge = 2 * time.Second
	// freshReplicaAge is the largest age at which the replica counts as holding every
	// write of a previous owner that has stopped.
	freshReplicaAge = 500 * time.Millisecond
	// yieldAfter is how long an owner may reach the store only through peers before
	// it hands the pool over to another instance. Each of its writes takes several
	// times as long, and network partitions last 2 to 12 s.
	yieldAfter = 1500 * time.Millisecond
	// minYieldInterval limits handovers when all instances reach the store only
	// through peers.
	minYieldInterval = 5 * time.Second
	// planInterval is how often waiting jobs are planned without an event.
	planInterval = 100 * time.Millisecond
	// queueReportInterval is how often the queue lengths are reported to the metrics.
	queueReportInterval = time.Second
)

// runKey identifies a run of a task.
type runKey struct {
	task work.TaskID
	run  int64
}

// Owner runs one pool for one epoch.
type Owner struct {
	deps         Deps
	log          *zap.Logger
	pool         string
	epoch        int64
	epochVersion int64
	startedAt    time.Duration // when the epoch was claimed
	// firstHoldAt is when this owner began to send holds to the workers. Until then
	// a previous owner may go on for as long as the store is unavailable.
	firstHoldAt time.Duration

	planner      *planner.Planner
	sessions     map[string]*session
	workerCount  atomic.Int64                  // the number of sessions
	cancelStarts map[runKey]context.CancelFunc // cancel starts that wait for an answer
	events       chan event
	cancel       context.CancelFunc
	heartbeatAt  atomic.Int64 // when the last confirmed heartbeat was sent, on Now's clock
	settled      atomic.Bool  // no previous owner can act any more
	// quorumAt is the latest time since which more than half of the workers have answered
	// a call, on Now's clock.
	quorumAt        atomic.Int64
	lapsedAt        atomic.Int64 // when this owner was last seen to have lost the right to act
	quorumCheckedAt time.Duration
	acted           bool // mayAct at the last check
	writer          recordWriter
	policy          policyCalls
	held            []heldStart
	deferred        map[string]bool // jobs with a row that may be in an unread partition
	planSequence    int64           // number of the last plan with orders; matches held starts with stored records
	pacer           planPacer
	forecaster      forecaster
	tryer           tryer
	plannedAt       time.Duration // when the last planning pass began, 0 for none
	nextPlan        *time.Timer   // fires when a delayed planning pass may run
	lastActiveAt    time.Duration
	confirmAfter    time.Duration // a heartbeat sent at or after this must be confirmed before starts are sent
	config          *work.Config
	evacuated       map[string]int64 // the evacuated failure domains as the planner has them
	evacuationKnown bool             // at the last check
	done            chan struct{}
	previous        previousOwner
	unknown         unknownJobs
	speeds          speedStore
	announcement    earlyStartAnnouncement
	earlyStarts     unrecordedStarts
	// placementsKnown is set once this owner knows every placement of previous owners.
	placementsKnown bool
	recorded        atomic.Bool // all placements are stored, those of previous owners included
	// unlisted holds the stored workers of the previous owner that the registry
	// hasn't listed yet. Those whose targets are stored have sessions.
	unlisted map[string]bool
	// left holds the workers that have left and whose sessions haven't ended yet.
	left map[string]bool
	// registryComplete is set from registryCompleteAt on, when the registry lists
	// every worker that reaches the store.
	registryComplete   bool
	registryCompleteAt time.Duration
	leasesChanged      bool           // the stored list of workers doesn't tell what is known of their leases
	yielded            bool           // the owner ended to hand the pool over, though its process keeps running
	logLoss            sync.Once      // limits the log to one loss of ownership
	wg                 sync.WaitGroup // goroutines that end with the owner
}

func newOwner(deps Deps, pool string, epoch, version int64) *Owner {
	o := &Owner{
		deps: deps, pool: pool, epoch: epoch, epochVersion: version,
		log:          deps.Log.With(zap.String("pool", pool), zap.Int64("epoch", epoch)),
		planner:      planner.New(deps.Settings, epoch),
		sessions:     map[string]*session{},
		cancelStarts: map[runKey]context.CancelFunc{},
		deferred:     map[string]bool{},
		unlisted:     map[string]bool{},
		left:         map[string]bool{},
		events:       make(chan event, eventQueueSize),
		startedAt:    deps.Now(),
		done:         make(chan struct{}),
		nextPlan:     time.NewTimer(planInterval),
	}
	o.heartbeatAt.Store(int64(o.startedAt))
	o.acted, o.evacuationKnown = true, true
	if o.deps.Evacuation == nil {
		o.deps.Evacuation = func() work.Evacuation { return work.Evacuation{} }
	}
	o.writer.init()
	o.policy.init()
	return o
}

func (o *Owner) now() time.Duration { return o.deps.Now() }

// send queues an event for the loop, waiting for space until ctx ends.
func (o *Owner) send(ctx context.Context, ev event) {
	select {
	case o.events <- ev:
	case <-ctx.Done():
	}
}

// post is send without a context. It gives up when the owner ends.
func (o *Owner) post(ev event) {
	select {
	case o.events <- ev:
	case <-o.done:
	}
}

// resign ends the ownership.
func (o *Owner) resign(why string) {
	o.logLoss.Do(func() { o.log.Warn("ownership lost", zap.String("reason", why)) })
	o.cancel()
}

// run takes the pool over and runs it until ctx ends, ownership is lost or
// shouldYield reports true. It fails if the jobs or the workers can't be read.
func (o *Owner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer o.wg.Wait()
	defer cancel()
	defer close(o.done)
	o.cancel = cancel
	sub := o.deps.Replica.Subscribe(o.pool, o.epoch)
	defer sub.Close()
	o.wg.Go(func() { o.heartbeat(ctx) })
	if err := o.recover(ctx); err != nil {
		return err
	}
	o.wg.Go(func() { o.watchWorkers(ctx) })
	o.wg.Go(func() { o.removeEndedJobs(ctx) })
	o.loop(ctx, sub)
	o.log.Info("ownership ended", zap.Any("core_seconds_thrown_away", o.planner.DiscardedWork()))
	return nil
}

// shouldYield reports whether another instance should own the pool because this
// one reaches the store only through peers.
func (o *Owner) shouldYield() bool {
	failingFor := o.deps.StoreHealth.DirectFailingFor()
	now := o.now()
	if failingFor < yieldAfter || now-o.startedAt < minYieldInterval || now-o.confirmedAt() > heartbeatTimeout {
		return false
	}
	if len(o.deps.Replica.Instances(o.deps.Name)) == 0 {
		return false
	}
	o.log.Info("handing over, the store is reached through peers only", zap.Duration("for", failingFor))
	return true
}

// wallClock returns the wall clock agreed by the instances, as the time since the
// Unix epoch. It reports false while the store's clock, on which it is based, isn't
// known.
func (o *Owner) wallClock() (time.Duration, bool) {
	store, ok := o.deps.Store.Now()
	if !ok {
		return 0, false
	}
	return store + o.deps.Replica.WallOffset(o.deps.Name, o.deps.WallClock()-store), true
}

func (o *Owner) applyConfig() {
	if c := o.deps.Config(); c != nil && c != o.config {
		o.config = c
		o.planner.SetGuarantees(c.Workspaces)
	}
}

func (o *Owner) loop(ctx context.Context, sub *replica.Subscription) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	report := time.NewTicker(queueReportInterval)
	defer report.Stop()
	defer o.deps.Observer.ReportOwnership(o.pool, false, 0, 0)
	defer o.deps.Observer.ReportSpeedSpread(o.pool, 0)
	o.lastActiveAt = o.now()
	for {
		select {
		case ev := <-o.events:
			o.apply(ctx, ev)
			o.applyQueued(ctx)
		case <-sub.C():
		case <-tick.C:
		case <-o.nextPlan.C:
		case <-report.C:
			o.reportMetrics()
			o.planner.ReportWaiting(o.now())
			o.recordLeases(o.now())
			o.storeSpeeds(ctx, o.now())
			continue
		case <-ctx.Done():
			return
		}
		if o.shouldYield() {
			o.yielded = true
			return
		}
		o.addChangedJobs(ctx, sub)
		o.step(ctx)
	}
}

func (o *Owner) reportMetrics() {
	waiting, running := o.planner.Counts()
	o.deps.Observer.ReportOwnership(o.pool, true, waiting, running)
	o.deps.Observer.ReportSpeedSpread(o.pool, o.planner.SpeedSpread())
}

// applyQueued applies the queued events, so that one plan covers them all.
func (o *Owner) applyQueued(ctx context.Context) {
	for range eventQueueSize {
		select {
		case ev := <-o.events:
			o.apply(ctx, ev)
		default:
			return
		}
	}
}

// step plans, sends the orders and stores the changes.
func (o *Owner) step(ctx context.Context) {
	now := o.now()
	o.detectSuspension(now)
	o.applyConfig()
	o.applyEvacuation(now)
	o.updateQuorum(now)
	o.checkFenced(ctx, now)
	if wall, ok := o.wallClock(); ok {
		o.planner.SetWallClock(now, wall)
	}
	o.mergePrevious(ctx, now)
	o.expireWorkers(now)
	o.giveUpUnlisted(now)
	if pause := o.pacer.pause(now); pause > 0 {
		o.nextPlan.Reset(pause)
	} else if o.mayStart() {
		o.plannedAt = now
		o.handleOrders(ctx, o.planner.Plan(now))
		o.queryPolicy(ctx, now)
		o.pacer.passed(now, o.now())
	}
	o.updateForecast(now)
	o.writeLogEntries()
	o.updateRecorded(ctx, now)
	o.writeChanged(ctx)
	o.releaseReady(ctx)
	o.releaseOverdue(ctx, now)
	o.planner.DropEndedJobs()
}

// detectSuspension makes starts wait for a confirmed heartbeat after this process
// was suspended. Another instance may own the pool by then, and a worker that
// restarted in the meantime has not received the higher fencing token.
func (o *Owner) detectSuspension(now time.Duration) {
	if now-o.lastActiveAt > suspensionThreshold {
		o.log.Warn("suspended, confirming ownership first", zap.Duration("gap", now-o.lastActiveAt))
		o.confirmAfter = now
	}
	o.lastActiveAt = now
}

// mayStart reports whether starts may be sent.
func (o *Owner) mayStart() bool {
	return o.confirmedAt() >= o.confirmAfter && o.mayAct() && o.knowsEvacuation(o.now())
}

func (o *Owner) dispatch(ctx context.Context, order planner.Order) {
	s := o.sessions[order.Worker]
	if s == nil {
		return // the worker has been removed, and its runs with it
	}
	verb := "start"
	key := runKey{order.Task, order.Run}
	if order.Kind == planner.OrderStop {
		verb = "stop"
		o.cancelStart(key)
		o.wg.Go(func() { s.stop(ctx, order) })
	} else {
		startCtx, cancel := context.WithCancel(ctx)
		o.cancelStarts[key] = cancel
		decidedAt := o.now()
		incarnation := s.appliedIncarnation
		o.wg.Go(func() { s.start(startCtx, order, incarnation, decidedAt) })
	}
	o.log.Info(verb, zap.String("job", order.Task.Job), zap.Int("step", order.Task.Step), zap.Int("index", order.Task.Index),
		zap.Int64("run", order.Run), zap.String("worker", order.Worker), zap.String("why", order.Why))
}

// cancelStart prevents a start from being resent: after its run is given up, a new
// incarnation of the worker would accept it as new.
func (o *Owner) cancelStart(key runKey) {
	if cancel := o.cancelStarts[key]; cancel != nil {
		cancel()
		delete(o.cancelStarts, key)
	}
}

// cancelReportedStarts prevents the starts of reported runs from being resent: a new
// incarnation of the worker would accept them although the runs may have ended. Their
// last copies may still be under way.
func (o *Owner) cancelReportedStarts(worker string, reply *port.HoldReply) {
	for i := range reply.Running {
		run := &reply.Running[i]
		if key := (runKey{run.Task, run.Run}); o.cancelStarts[key] != nil {
			o.cancelStart(key)
			o.planner.StartResent(worker, run.Task, run.Run)
		}
	}
	for i := range reply.Results {
		o.cancelStart(runKey{reply.Results[i].Task, reply.Results[i].Run})
	}
}

// applyIncarnation applies a restart of a worker, once, before any of its answers:
// the new incarnation numbers its results from 1, and a start that it confirmed
// does not belong to the previous one. The new one is told to stop the runs whose
// starts may still arrive: it knows nothing of their stops and results.
func (o *Owner) applyIncarnation(ctx context.Context, now time.Duration, s *session, incarnation int) {
	if incarnation <= s.appliedIncarnation {
		return
	}
	s.appliedIncarnation = incarnation
	o.planner.WorkerRestarted(now, s.target.ID)
	for _, key := range s.uncertainStarts(now) {
		o.dispatch(ctx, planner.Order{Kind: planner.OrderStop, Worker: s.target.ID, Task: key.task, Run: key.run, Why: "start may arrive after the restart"})
	}
}

func (o *Owner) apply(ctx context.Context, ev event) {
	now := o.now()
	o.detectSuspension(now)
	id := ""
	if ev.session != nil {
		id = ev.session.target.ID
		o.applyIncarnation(ctx, now, ev.session, ev.incarnation)
		o.updateLease(ev.session)
	}
	switch ev.kind {
	case evReport:
		if ev.incarnation < ev.session.appliedIncarnation {
			return // an overdue report of a previous incarnation
		}
		ev.session.reported = true
		o.restoreSpeed(ev.session)
		o.cancelReportedStarts(id, &ev.reply)
		results := o.planner.HandleReport(now, ev.sentAt, id, ev.reply)
		ev.session.acknowledge(ev.incarnation, o.planner.AcknowledgeableResult(id))
		o.logResults(id, results)
		o.updateLeft(id)
	case evRestarted: // already applied above
	case evFirstFailure:
		o.planner.ContactFailed(id)
	case evContactBroken:
		o.planner.ContactBroken(id)
	case evUnreachable:
		o.planner.SetReachable(id, false)
		o.updateLeft(id)
	case evStartAnswered:
		o.cancelStart(runKey{ev.order.Task, ev.order.Run})
		if ev.resent {
			o.planner.StartResent(id, ev.order.Task, ev.order.Run)
		}
		o.planner.StartAnswered(now, id, ev.order.Task, ev.order.Run, ev.rejected)
	case evStartUnanswered:
		o.cancelStart(runKey{ev.order.Task, ev.order.Run})
		o.planner.StartUnanswered(now, id, ev.order.Task, ev.order.Run)
	case evStartWithdrawn:
		o.withdrawUnsent(now, &ev.order)
	case evStopConfirmed:
		if ev.incarnation < ev.session.appliedIncarnation {
			return // the new incarnation doesn't know of the stop
		}
		o.planner.StopConfirmed(now, id, ev.order.Task, ev.order.Run)
	case evWorkersListed:
		o.applyWorkers(ctx, ev)
	case evJobRemoved:
		o.dropJob(ev.job)
	case evEarlyStartsAnnounced:
		o.earlyStartsAnnounced(ev)
	case evCaughtUp:
		o.catchUpDone(ev.err)
	case evRecordsRead:
		o.recordsRead(ctx, ev.commit)
	case evJobsRead:
		o.jobsRead(ev)
	case evPolicyAnswered:
		o.policyAnswered(now, ev.policy)
	case evTry:
		o.answerTry(ev.try)
	case evCommitDone:
		o.commitDone(ctx, ev.commit)
	}
}
