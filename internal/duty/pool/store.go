package pool

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// heartbeatInterval is the delay between an owner's heartbeats.
	heartbeatInterval = 200 * time.Millisecond
	// ownerStateInterval is the delay between heartbeats with an unchanged owner's state.
	// All instances read each of them.
	ownerStateInterval = 600 * time.Millisecond
	// commitTimeout allows for a store that is a hundred times slower than usual.
	commitTimeout = 2500 * time.Millisecond
	// entriesPerRow is the number of entries that a job row takes in a transaction: its
	// expected version and its value.
	entriesPerRow = 2
	// storeRetryDelay is the delay between commits while the store fails.
	storeRetryDelay = 200 * time.Millisecond
)

// recordWriter is the state of writing job records. Each partition has at most
// one transaction in flight; later changes go into the next one.
type recordWriter struct {
	added    map[string]bool // jobs added to the planner
	versions map[jobRowKey]int64
	sequence int64            // of the last record
	latest   map[string]int64 // sequence of each job's last record
	pending  map[string]work.Record
	inFlight map[string]bool // partitions with a transaction in flight
	// maxRows limits the rows of a transaction in partitions that rejected a larger one.
	maxRows map[string]int
	// workersChanged is set while the stored list of workers is out of date.
	workersChanged bool
	workers        workerList
}

// jobRowKey identifies the row of a job in a partition.
type jobRowKey struct{ partition, job string }

type commitResult struct {
	partition string
	records   []work.Record
	plan      int64 // number of the last plan that records include
	version   int64
	err       error
}

func (w *recordWriter) init() {
	w.added = map[string]bool{}
	w.versions = map[jobRowKey]int64{}
	w.latest = map[string]int64{}
	w.pending = map[string]work.Record{}
	w.inFlight = map[string]bool{}
	w.maxRows = map[string]int{}
}

func (o *Owner) writeChanged(ctx context.Context) {
	w := &o.writer
	storeNow, ok := o.deps.Store.Now()
	if !ok {
		return // nothing can be stored, and EndedAt isn't known
	}
	for _, rec := range o.planner.TakeChanged() {
		if rec.State.Ended() {
			rec.EndedAt = storeNow
		}
		w.sequence++
		rec.Sequence = o.epoch<<32 | w.sequence
		w.latest[rec.Job.ID] = rec.Sequence
		w.pending[rec.Job.ID] = rec
	}
	batches := map[string]*batch{}
	for id, rec := range w.pending {
		partition := o.partitionFor(id)
		if w.inFlight[partition] {
			continue
		}
		if batches[partition] == nil {
			batches[partition] = o.newBatch(partition)
		}
		b := batches[partition]
		if b.full() {
			continue
		}
		value, err := o.encodeWithinLimits(ctx, &rec)
		switch {
		case err != nil:
			o.log.Error("record can't be stored", zap.String("job", id), zap.Error(err))
			delete(w.pending, id) // the job's next change tries again
		case value != nil && b.add(rec, o.writer.versions[jobRowKey{partition, id}], value):
			delete(w.pending, id)
		}
	}
	for partition, b := range batches {
		if len(b.records) > 0 {
			o.startCommit(ctx, partition, b.records, b.txn)
		}
	}
	if w.workersChanged && !w.inFlight[o.pool] {
		o.writeWorkers(ctx)
	}
}

func (o *Owner) startCommit(ctx context.Context, partition string, records []work.Record, txn port.RowTxn) {
	o.writer.inFlight[partition] = true
	plan := o.planSequence
	o.wg.Go(func() { o.commit(ctx, commitResult{partition: partition, records: records, plan: plan}, txn) })
}

// partitionFor returns the partition for a job's record: its first choice, unless
// that is unavailable.
func (o *Owner) partitionFor(id string) string {
	return replica.ChooseKey(replica.JobKeys(o.pool, id), 0, o.deps.StoreHealth.PartitionDown).Partition
}

// storedWorkers returns the IDs of the workers that may run tasks, in ascending
// order. It contains those that the registry doesn't list yet, so that the next owner
// waits for them too. Workers that have left are not in it, and the next owner doesn't
// wait for them.
func (o *Owner) storedWorkers() []string {
	ids := slices.AppendSeq(slices.Collect(maps.Keys(o.sessions)), maps.Keys(o.unlisted))
	ids = slices.DeleteFunc(ids, func(id string) bool { return o.left[id] })
	slices.Sort(ids)
	return slices.Compact(ids)
}

// storedTargets returns how the workers with the given IDs are called, leaving out
// those for which this isn't known.
func (o *Owner) storedTargets(ids []string) []replica.StoredWorker {
	out := make([]replica.StoredWorker, 0, len(ids))
	for _, id := range ids {
		w, ok := o.planner.Worker(id)
		if !ok {
			continue
		}
		stored := replica.StoredWorker{ID: id, Address: w.Address, Domain: w.Zone, Rack: w.Rack, Capacity: w.Capacity}
		if s := o.sessions[id]; s != nil {
			stored.Incarnation = s.listed.incarnation
			stored.LongLeaseUntil = o.storeTime(s.listed.longUntil)
		}
		out = append(out, stored)
	}
	return out
}

// storeTime returns the store's clock at a time on this process's clock, or 0 if that is
// past. It is forever while the store's clock isn't known.
func (o *Owner) storeTime(at time.Duration) time.Duration {
	now, known := o.deps.Store.Now()
	left := at - o.now()
	switch {
	case left <= 0:
		return 0
	case !known:
		return math.MaxInt64
	}
	return now + left
}

// largestCapacity returns the largest capacity of any worker. While workers are
// unlisted and the registry may be incomplete, it isn't lower than the stored one, as
// one of them may be the largest.
func (o *Owner) largestCapacity() work.Resources {
	largest := o.planner.MaxCapacity()
	if len(o.unlisted) > 0 && !o.registryComplete {
		largest = largest.Max(o.deps.Replica.Pool(o.pool).Capacity.MaxCapacity)
	}
	return largest
}

// writeWorkers stores the list of workers in use for the next owner, and the
// largest worker capacity for admission checks.
func (o *Owner) writeWorkers(ctx context.Context) {
	ids := o.storedWorkers()
	value, err := work.Encode(ids)
	if err != nil {
		o.log.Error("workers can't be encoded", zap.Error(err))
		return
	}
	published := replica.PoolCapacity{MaxCapacity: o.largestCapacity(), Workers: o.storedTargets(ids)}
	capacity, err := work.Encode(published)
	if err == nil && len(capacity) > o.deps.Store.Limits().ValueBytes {
		published.Workers = nil // the next owner waits for those that it can't call
		capacity, err = work.Encode(published)
	}
	if err != nil {
		o.log.Error("capacity can't be encoded", zap.Error(err))
		return
	}
	o.writer.workersChanged = false
	o.writer.workers.write(ids)
	txn := o.epochTxn(map[port.RowKey][]byte{o.workersKey(): value, replica.PoolKey(o.pool, replica.CapacityKey): capacity})
	txn.ExpectedVersions[o.workersKey()] = o.writer.workers.version // an earlier write may be performed late
	o.startCommit(ctx, o.pool, nil, txn)
}

// epochTxn returns a transaction on the pool's own rows that fails once another
// owner has claimed the pool.
func (o *Owner) epochTxn(puts map[port.RowKey][]byte) port.RowTxn {
	return port.RowTxn{ExpectedVersions: map[port.RowKey]int64{o.epochKey(): o.epochVersion}, Puts: puts}
}

func (o *Owner) epochKey() port.RowKey { return replica.PoolKey(o.pool, replica.EpochKey) }

// commit retries a transaction until its outcome is known, the store rejects it for good
// or its partition is unavailable.
func (o *Owner) commit(ctx context.Context, result commitResult, txn port.RowTxn) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		version, err := o.deps.Store.Commit(call, txn)
		cancel()
		var conflict *port.RowConflictError
		// The store rejects an invalid transaction each time.
		resolved := err == nil || errors.As(err, &conflict) || fault.Is(err, fault.Invalid)
		if !resolved {
			if ctx.Err() == nil {
				o.log.Warn("jobs not stored, retrying", zap.String("part", result.partition), zap.Int("jobs", len(result.records)), zap.Error(err))
			}
			_ = wait.For(ctx, storeRetryDelay) // ends early only with ctx, which the loop checks
		}
		if resolved || o.deps.StoreHealth.PartitionDown(result.partition) {
			result.version, result.err = version, err
			o.send(ctx, event{kind: evCommitDone, commit: result})
			return
		}
	}
}

func (o *Owner) commitDone(ctx context.Context, r commitResult) {
	w := &o.writer
	delete(w.inFlight, r.partition)
	var conflict *port.RowConflictError
	switch {
	case errors.As(r.err, &conflict) && r.partition == o.pool:
		o.workersConflict(conflict)
		return
	case errors.As(r.err, &conflict):
		o.mergeConflict(r, conflict)
		return
	case fault.Is(r.err, fault.Invalid):
		o.commitRejected(r)
		return
	case r.err != nil:
		o.retryElsewhere(r)
		return
	}
	if r.partition == o.pool {
		w.workers.written(r.version)
		o.releaseReady(ctx)
	}
	delete(w.maxRows, r.partition)
	for i := range r.records {
		rec := &r.records[i]
		o.earlyStarts.stored(rec.Job.ID, r.plan)
		w.versions[jobRowKey{r.partition, rec.Job.ID}] = r.version
		if rec.Sequence == w.latest[rec.Job.ID] {
			o.planner.RecordStored(rec.Job.ID)
		}
		o.log.Info("job stored", zap.String("job", rec.Job.ID), zap.String("state", string(rec.State)), zap.Int64("version", r.version))
	}
	if o.previous.merged {
		o.releaseStored(ctx, r.records, r.plan)
	} else {
		o.awaitRecords(ctx, r)
	}
	o.acknowledgeResults()
}

// acknowledgeResults lets the workers drop the results that may be acknowledged.
func (o *Owner) acknowledgeResults() {
	for id, s := range o.sessions {
		s.acknowledge(s.appliedIncarnation, o.planner.AcknowledgeableResult(id))
	}
}

// commitRejected requeues the records of a transaction that the store will never accept,
// for smaller ones. A record that is rejected alone is given up until the job's next
// change, so that the partition's other jobs are stored.
func (o *Owner) commitRejected(r commitResult) {
	o.log.Error("transaction rejected by the store", zap.String("part", r.partition), zap.Int("jobs", len(r.records)), zap.Error(r.err))
	if len(r.records) < 2 {
		return
	}
	o.writer.maxRows[r.partition] = len(r.records) / 2
	for i := range r.records {
		o.writer.requeue(&r.records[i])
	}
}

// retryElsewhere requeues the records of an unavailable partition. Their next
// transaction goes to another of their partitions.
func (o *Owner) retryElsewhere(r commitResult) {
	o.log.Warn("partition unavailable, storing elsewhere", zap.String("part", r.partition), zap.Int("jobs", len(r.records)), zap.Error(r.err))
	if r.partition == o.pool {
		o.writer.workersChanged = true
	}
	for i := range r.records {
		o.writer.requeue(&r.records[i])
	}
}

// requeue makes a record pending again unless a newer one exists.
func (w *recordWriter) requeue(rec *work.Record) {
	if w.latest[rec.Job.ID] == rec.Sequence {
		w.pending[rec.Job.ID] = *rec
	}
}

// mergeConflict merges the records that another owner stored around a takeover,
// and requeues those of this owner. If this owner has been replaced, its next
// heartbeat fails.
func (o *Owner) mergeConflict(r commitResult, conflict *port.RowConflictError) {
	for i := range r.records {
		rec := &r.records[i]
		key := replica.JobKeyIn(r.partition, rec.Job.ID)
		o.writer.requeue(rec)
		row, found := conflict.Row(key)
		if !found { // the row was not written here yet, as expected, or was removed
			delete(o.writer.versions, jobRowKey{r.partition, rec.Job.ID})
			continue
		}
		if row.Version == o.writer.versions[jobRowKey{r.partition, rec.Job.ID}] {
			continue
		}
		o.writer.versions[jobRowKey{r.partition, rec.Job.ID}] = row.Version
		var other work.Record
		if err := work.Decode(row.Value, &other); err != nil {
			o.log.Error("job row can't be decoded", zap.String("job", rec.Job.ID), zap.Error(err))
			continue
		}
		o.mergeRecord(other, row.Version)
	}
}

// mergeRows merges the rows of an added job that other owners have stored since it was
// added. A row that a previous owner wrote may appear seconds after that owner stopped, as
// the store may carry out an unanswered transaction late.
func (o *Owner) mergeRows(v *replica.JobView) {
	for _, row := range v.Rows {
		key := jobRowKey{row.Partition, v.Record.Job.ID}
		if row.Version <= o.writer.versions[key] {
			continue
		}
		o.writer.versions[key] = row.Version
		if row.Record.Epoch() != o.epoch {
			o.mergeRecord(row.Record, row.Version)
		}
	}
}

// mergeRecord merges a record that another owner stored. The job's held starts are dropped,
// as their tasks may have completed.
func (o *Owner) mergeRecord(rec work.Record, version int64) {
	if rec.Epoch() > 0 {
		o.dropHeldStarts(rec.Job.ID)
	}
	o.log.Info("job row of another owner merged", zap.String("job", rec.Job.ID), zap.Int64("version", version))
	o.planner.Merge(o.now(), rec)
}

// heartbeat writes this owner's heartbeat until ctx ends. If another owner holds
// the pool, it resigns.
func (o *Owner) heartbeat(ctx context.Context) {
	var stored replica.OwnerState
	storedAt := o.now() - ownerStateInterval
	for ctx.Err() == nil {
		sentAt := o.now()
		state := replica.OwnerState{Epoch: o.epoch, Settled: o.settled.Load(), RecordedAt: o.recordedAt(), Forecast: o.forecaster.latest.Load()}
		changed := state.Settled != stored.Settled || (state.RecordedAt > 0) != (stored.RecordedAt > 0)
		withState := changed || sentAt-storedAt >= ownerStateInterval
		err := o.writeHeartbeat(ctx, state, withState)
		switch {
		case err == nil:
			o.heartbeatAt.Store(int64(sentAt))
			if withState {
				stored, storedAt = state, sentAt
			}
		case fault.Is(err, fault.Conflict):
			o.resign("another owner holds the pool")
			return
		case ctx.Err() == nil:
			o.log.Warn("beat not confirmed", zap.Error(err))
		}
		_ = wait.For(ctx, heartbeatInterval) // ends early only with ctx, which the loop checks
	}
}

// writeHeartbeat writes a heartbeat, with the owner's state if withState is set.
func (o *Owner) writeHeartbeat(ctx context.Context, state replica.OwnerState, withState bool) error {
	rows := map[port.RowKey][]byte{replica.PoolKey(o.pool, replica.HeartbeatKey): []byte(o.deps.Name)}
	if withState {
		value, err := work.Encode(state)
		if err != nil {
			return err
		}
		rows[replica.PoolKey(o.pool, replica.OwnerKey)] = value
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := o.deps.Store.Commit(ctx, o.epochTxn(rows))
	return err
}
