package pool

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/speed"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// announcementValidEpochs is the number of epochs for which an announcement of
// early starts stays valid. It exceeds 1 because an owner may stop before its
// recovery ends and before it has repeated the announcement for later owners.
const announcementValidEpochs = 3

// previousOwner is the state of the previous owner as far as it is known.
type previousOwner struct {
	stopped bool // it and all owners before it had stopped before this owner's claim
	settled bool // all owners before it had stopped
	// state is what it stored with the last heartbeat that was seen before the claim.
	state replica.OwnerState
	// workers is the stored list of workers at this owner's claim, and byID what is stored
	// of them.
	workers []string
	byID    map[string]*inheritedWorker
	// Its last heartbeat was stored between silentAfter and heardBy.
	silentAfter, heardBy time.Duration
	// fenced is set once so many workers have received this owner's fencing token that
	// the previous owner stops within authorityTime of fencedAt.
	fenced   bool
	fencedAt time.Duration
	// catchUp guards the read of the store's current version.
	catchUp retryGate
	// caughtUp is set once the previous owner can no longer act and the replica
	// holds everything it stored.
	caughtUp bool
	// allReportedAt is when every worker had received this owner's fencing token or lost
	// its leases, 0 before. From then on the previous owner can't acknowledge results.
	allReportedAt time.Duration
	// merged is set once its records, if any, are merged into the planner.
	merged bool
}

// recover reads the jobs and the workers. Inherited jobs wait until each worker
// has reported or its leases must have expired.
func (o *Owner) recover(ctx context.Context) error {
	// Once the replica holds this epoch, it holds every job accepted before it.
	if err := o.deps.Replica.Await(ctx, o.epochVersion); err != nil {
		return err
	}
	jobs := o.deps.Replica.Jobs(o.pool)
	workers, _, err := o.deps.Registry.Workers(ctx)
	if err != nil {
		return err
	}
	o.useDelegates(ctx, workers)
	o.firstHoldAt = o.now()
	view := o.deps.Replica.Pool(o.pool)
	o.writer.workers.reset(view.WorkersVersion, view.Workers)
	o.announcement.version = view.EarlyStartsVersion
	o.placementsKnown = o.epoch == 1
	o.speeds.restorer = speed.NewRestorer(view.Speeds)
	o.previous.workers, o.previous.byID = view.Workers, inheritedWorkersOf(&view)
	for i := range workers {
		if w := workers[i]; w.Pool == o.pool {
			o.putWorker(ctx, w, o.firstHoldAt)
		}
	}
	if o.epoch > 1 {
		o.inheritWorkers(ctx)
		o.beginRecovery(ctx)
	}
	o.applyConfig()
	o.applyEvacuation(o.now())
	for i := range jobs {
		o.addJob(&jobs[i], o.epoch > 1)
	}
	waiting, running := o.planner.Counts()
	o.log.Info("pool taken over", zap.Int("jobs", len(jobs)), zap.Int("waiting", waiting), zap.Int("running", running),
		zap.Int("workers", len(o.sessions)))
	return nil
}

// useDelegates lets other instances carry out the calls to the pool's workers for as
// long as this instance owns it.
func (o *Owner) useDelegates(ctx context.Context, workers []work.Worker) {
	for i := range workers {
		if workers[i].Pool == o.pool {
			o.workerCount.Add(1)
		}
	}
	if o.deps.Delegates != nil {
		o.wg.Go(o.deps.Delegates.Begin(ctx, func() int { return int(o.workerCount.Load()) }))
	}
}

// inheritWorkers calls the workers of the previous owner that the registry doesn't
// list. They may go on running tasks: an entry expires while its worker can't reach
// the store.
func (o *Owner) inheritWorkers(ctx context.Context) {
	view := o.deps.Replica.Pool(o.pool)
	stored := make(map[string]*replica.StoredWorker, len(view.Capacity.Workers))
	for i := range view.Capacity.Workers {
		stored[view.Capacity.Workers[i].ID] = &view.Capacity.Workers[i]
	}
	for _, id := range view.Workers {
		if o.sessions[id] != nil {
			continue
		}
		o.unlisted[id] = true
		o.registryCompleteAt = o.firstHoldAt + registryRecoveryTime
		w := stored[id]
		o.log.Info("previous owner's worker not listed", zap.String("worker", id), zap.Bool("called", w != nil))
		if w != nil {
			o.planner.InheritWorker(work.Worker{ID: id, Pool: o.pool, Address: w.Address, Zone: w.Domain, Rack: w.Rack, Capacity: w.Capacity})
			o.startSession(ctx, port.WorkerTarget{ID: id, Address: w.Address, Domain: w.Domain})
		}
	}
}

// unknownLeases tells when no lease is left at workers that can't be called.
func (o *Owner) unknownLeases() inheritedLeases {
	for id := range o.unlisted {
		if o.sessions[id] == nil {
			return o.inheritedLeases()
		}
	}
	return inheritedLeases{confirmedUntil: o.firstHoldAt, longestUntil: o.firstHoldAt}
}

// setUnknownLeases tells the planner of unknownLeases.
func (o *Owner) setUnknownLeases() {
	leases := o.unknownLeases()
	o.planner.SetUnknownLeasesEndAt(leases.confirmedUntil, leases.longestUntil)
}

// beginRecovery delays inherited jobs until every worker has been contacted or its
// leases must have expired.
func (o *Owner) beginRecovery(ctx context.Context) {
	takeoverNoticedBy := o.firstHoldAt + previousOwnerStopTime
	if o.previous.stopped {
		takeoverNoticedBy = o.firstHoldAt
	}
	view := o.deps.Replica.Pool(o.pool)
	mayHaveEarlyStarts := view.EarlyStartEpoch > 0 && o.epoch-view.EarlyStartEpoch <= announcementValidEpochs
	recorded := o.recordedLately()
	if storeNow, known := o.deps.Store.Now(); recorded && known {
		o.previous.silentAfter = max(o.previous.silentAfter, o.now()-(storeNow-o.previous.state.RecordedAt))
	}
	stable := o.deps.Replica.StableFor() > storeStableAfter && o.deps.StoreHealth.Latency() < slowReadThreshold
	// Nothing has fenced an owner before one that hadn't settled.
	placementsComplete := !mayHaveEarlyStarts && (recorded || stable) && (o.previous.stopped || o.previous.settled)
	o.placementsKnown = placementsComplete
	o.log.Info("recovery begins", zap.Bool("placements_complete", placementsComplete), zap.Bool("bypassed", mayHaveEarlyStarts), zap.Bool("recorded", recorded), zap.Bool("settled", o.previous.settled), zap.Duration("store_quiet_for", o.deps.Replica.StableFor()))
	o.planner.Recover(takeoverNoticedBy, placementsComplete)
	o.setUnknownLeases()
	if o.previous.stopped {
		o.previousOwnerFenced(ctx, o.firstHoldAt)
	}
	if !placementsComplete {
		// If this owner stops before it knows all placements, the next owner must
		// not take the stored ones for complete either.
		o.announceEarlyStarts(ctx, o.now())
	}
}

func (o *Owner) addJob(v *replica.JobView, inherited bool) {
	id := v.Record.Job.ID
	if v.Record.State.Ended() || o.writer.added[id] {
		return
	}
	if o.deps.Replica.MayLackRow(id) {
		o.log.Info("job deferred, one of its rows may not have been read", zap.String("job", id))
		o.deferred[id] = true
		return
	}
	o.writer.added[id] = true
	now := o.now()
	for _, row := range v.Rows {
		o.writer.versions[jobRowKey{row.Partition, id}] = row.Version
	}
	age, ageKnown := time.Duration(0), false
	if storeNow, ok := o.deps.Store.Now(); ok {
		age, ageKnown = max(storeNow-v.Record.Job.SubmittedAt, 0), true
	}
	o.planner.AddJob(now, age, v.Record, inherited)
	o.log.Info("job queued", zap.String("job", id), zap.Duration("age", age), zap.Int64("sequence", v.Record.Sequence), zap.Bool("inherited", inherited))
	if !inherited && (v.Record.Sequence > 0 || !ageKnown || age > maxUnstartedAge) {
		o.planner.DelayPlacement(id, now)
	}
	for i := range v.Rows {
		if v.Rows[i].Record.Sequence != v.Record.Sequence {
			o.planner.Merge(now, v.Rows[i].Record)
		}
	}
	if v.Cancelled {
		o.planner.Cancel(id, now)
	}
}

// addChangedJobs adds the jobs that changed in the replica since the last call. It
// first reads whether the replica is complete: if so, the changes include all jobs
// that were missing before.
func (o *Owner) addChangedJobs(ctx context.Context, sub *replica.Subscription) {
	complete := o.deps.Replica.Complete()
	for _, v := range sub.Take() {
		o.jobChanged(&v)
	}
	o.addDeferredJobs()
	o.resolveUnknownJobs(ctx, complete)
}

// addDeferredJobs adds the deferred jobs whose rows can be read by now. Their
// running tasks are reported by the next holds.
func (o *Owner) addDeferredJobs() {
	for id := range o.deferred {
		if o.deps.Replica.MayLackRow(id) {
			continue
		}
		delete(o.deferred, id)
		if v, ok := o.deps.Replica.Job(id); ok {
			o.jobChanged(&v)
		}
	}
}

// jobChanged adds a job that is new to this owner and belongs to its pool, or brings one
// that it has added up to date.
func (o *Owner) jobChanged(v *replica.JobView) {
	id := v.Record.Job.ID
	if v.Record.Job.Pool != o.pool {
		o.leaveJob(v)
		return
	}
	if o.writer.added[id] {
		o.mergeRows(v)
	}
	o.addJob(v, false)
	if v.Cancelled {
		o.planner.Cancel(id, o.now())
	}
}

// leaveJob leaves a job with a row for this pool to the pool to which it belongs. This owner
// has added it only if a build that didn't tell the pools of a job apart took it there.
func (o *Owner) leaveJob(v *replica.JobView) {
	id := v.Record.Job.ID
	if o.deps.Replica.MayLackRow(id) {
		o.deferred[id] = true
		return
	}
	o.log.Info("job left to another pool", zap.String("job", id), zap.String("job_pool", v.Record.Job.Pool), zap.Int64("sequence", v.Record.Sequence), zap.Bool("added", o.writer.added[id]))
	o.planner.Leave(id, o.now())
}

// mergePrevious merges, once, the records that the previous owner stored between
// the takeover and the time it stopped.
func (o *Owner) mergePrevious(ctx context.Context, now time.Duration) {
	if o.previous.merged {
		return
	}
	noPrevious := o.epoch == 1 || o.previous.stopped
	allReported := o.planner.AllWorkersReported(now)
	if allReported && o.previous.allReportedAt == 0 {
		o.previous.allReportedAt = now
	}
	previousStopped := allReported && now >= o.previous.allReportedAt+previousOwnerStopTime && o.deps.Replica.Age() <= freshReplicaAge
	if !noPrevious && !previousStopped && !o.previous.caughtUp {
		o.catchUp(ctx, now)
		return
	}
	merged := 0
	for _, v := range o.deps.Replica.Jobs(o.pool) {
		for i := range v.Rows {
			if rec := &v.Rows[i].Record; !noPrevious && rec.Epoch() > 0 && rec.Epoch() < o.epoch {
				o.planner.Merge(now, *rec)
				merged++
			}
		}
	}
	o.previous.merged = true
	o.settled.Store(true)
	o.planner.SetPreviousOwnerStopped()
	o.log.Info("former owner over", zap.Int("records", merged))
}

// catchUp reads the store's version once every worker has received this owner's
// fencing token or its leases must have expired, and waits until the replica holds
// that version. From then on the previous owner can't acknowledge a result or start
// anything, and all it stored before an acknowledgement is in the replica, so there
// is no need to wait for previousOwnerStopTime more.
func (o *Owner) catchUp(ctx context.Context, now time.Duration) {
	if !o.previous.catchUp.open(now) || !o.planner.AllWorkersReported(now) || !o.deps.Replica.Complete() {
		return
	}
	o.previous.catchUp.inFlight = true
	o.wg.Go(func() {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, version, err := o.deps.Store.Scan(call, replica.Table, o.pool, replica.EpochKey, replica.EpochKey+"\x00")
		if err == nil {
			err = o.deps.Replica.Await(call, version)
		}
		o.send(ctx, event{kind: evCaughtUp, err: err})
	})
}

func (o *Owner) catchUpDone(err error) {
	o.previous.catchUp.inFlight = false
	if err != nil {
		o.previous.catchUp.retryAt = o.now() + storeRetryDelay
		o.log.Info("the replica does not hold all records of the previous owner yet", zap.Error(err))
		return
	}
	o.previous.caughtUp = true
}
