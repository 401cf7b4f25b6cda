package pool

import (
	"context"
	"errors"
	"maps"
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
	// beatEvery is how often an owner shows that it lives.
	beatEvery = 200 * time.Millisecond
	// commitTimeout covers a store that is a hundred times slower than usual.
	commitTimeout = 2500 * time.Millisecond
	// rowsPerCommit is how many job rows go into one transaction; the platform
	// allows 100 entries.
	rowsPerCommit = 80
	// storePause spaces commits while the store fails.
	storePause = 200 * time.Millisecond
)

// storing is the owner's state of writing job records. A part has one
// transaction under way at a time; what changes meanwhile goes into the next.
type storing struct {
	seen     map[string]bool // jobs taken in
	versions map[rowOf]int64
	sequence int64            // of the last record
	latest   map[string]int64 // sequence of each job's last record
	pending  map[string]work.Record
	busy     map[string]bool // parts with a transaction under way
	// workersChanged is set while the stored list of workers is out of date.
	workersChanged bool
}

// rowOf names a job's row in a part.
type rowOf struct{ part, job string }

type storedResult struct {
	part    string
	records []work.Record
	plan    int64
	version int64
	err     error
}

func (st *storing) init() {
	st.seen = map[string]bool{}
	st.versions = map[rowOf]int64{}
	st.latest = map[string]int64{}
	st.pending = map[string]work.Record{}
	st.busy = map[string]bool{}
}

func (o *Owner) storeChanged(ctx context.Context) {
	st := &o.storing
	for _, rec := range o.planner.TakeChanged() {
		if rec.State.Ended() {
			rec.EndedAt = o.deps.Store.Now()
		}
		st.sequence++
		rec.Sequence = o.epoch<<32 | st.sequence
		st.latest[rec.Job.ID] = rec.Sequence
		st.pending[rec.Job.ID] = rec
	}
	byPart := map[string][]work.Record{}
	for id, rec := range st.pending {
		part := o.placeOf(id)
		if !st.busy[part] && len(byPart[part]) < rowsPerCommit {
			byPart[part] = append(byPart[part], rec)
			delete(st.pending, id)
		}
	}
	for part, records := range byPart {
		txn, err := o.transaction(part, records)
		if err != nil {
			o.log.Error("records can't be encoded", zap.Error(err))
			continue
		}
		o.begin(ctx, part, records, txn)
	}
	if st.workersChanged && !st.busy[o.pool] {
		o.storeWorkers(ctx)
	}
}

func (o *Owner) begin(ctx context.Context, part string, records []work.Record, txn port.RowTxn) {
	o.storing.busy[part] = true
	plan := o.plans
	o.tasks.Go(func() { o.commit(ctx, storedResult{part: part, records: records, plan: plan}, txn) })
}

// placeOf chooses the part that a job's record goes to: the usual one, unless it
// is away.
func (o *Owner) placeOf(id string) string {
	return replica.Place(replica.JobKeys(o.pool, id), 0, o.deps.Health.PartDown).Part
}

func (o *Owner) transaction(part string, records []work.Record) (port.RowTxn, error) {
	txn := port.RowTxn{Expect: map[port.RowKey]int64{}, Puts: map[port.RowKey][]byte{}}
	for i := range records {
		id := records[i].Job.ID
		value, err := work.Encode(&records[i])
		if err != nil {
			return txn, err
		}
		key := replica.JobKeyIn(part, id)
		txn.Expect[key] = o.storing.versions[rowOf{part, id}]
		txn.Puts[key] = value
	}
	return txn, nil
}

// storeWorkers writes which workers this owner uses, for the next one.
func (o *Owner) storeWorkers(ctx context.Context) {
	ids := slices.Sorted(maps.Keys(o.sessions))
	// A draining worker that is no longer listed has left.
	ids = slices.DeleteFunc(ids, o.planner.Draining)
	value, err := work.Encode(ids)
	if err != nil {
		o.log.Error("workers can't be encoded", zap.Error(err))
		return
	}
	room, err := work.Encode(replica.Load{Largest: o.planner.LargestRoom()})
	if err != nil {
		o.log.Error("room can't be encoded", zap.Error(err))
		return
	}
	o.storing.workersChanged = false
	o.begin(ctx, o.pool, nil, o.underEpoch(map[port.RowKey][]byte{
		replica.PoolKey(o.pool,
			replica.WorkersKey): value,
		replica.PoolKey(o.pool, replica.LoadKey): room,
	}))
}

// underEpoch returns a transaction on the pool's own rows that fails once another
// owner holds the pool.
func (o *Owner) underEpoch(puts map[port.RowKey][]byte) port.RowTxn {
	return port.RowTxn{Expect: map[port.RowKey]int64{o.epochKey(): o.epochVersion}, Puts: puts}
}

func (o *Owner) epochKey() port.RowKey { return replica.PoolKey(o.pool, replica.EpochKey) }

// commit sends a transaction until its outcome is known or its part is away.
func (o *Owner) commit(ctx context.Context, result storedResult, txn port.RowTxn) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		version, err := o.deps.Store.Commit(call, txn)
		cancel()
		var conflict *port.RowConflict
		known := err == nil || errors.As(err, &conflict)
		if !known {
			if ctx.Err() == nil {
				o.log.Warn("jobs not stored yet", zap.String("part", result.part), zap.Int("jobs", len(result.records)), zap.Error(err))
			}
			_ = wait.For(ctx, storePause) // ends early only with ctx, which the loop checks
		}
		if known || o.deps.Health.PartDown(result.part) {
			result.version, result.err = version, err
			o.send(ctx, event{kind: evStored, stored: result})
			return
		}
	}
}

func (o *Owner) storedDone(ctx context.Context, r storedResult) {
	st := &o.storing
	delete(st.busy, r.part)
	var conflict *port.RowConflict
	switch {
	case errors.As(r.err, &conflict) && r.part == o.pool:
		o.depose("another owner holds the pool")
		return
	case errors.As(r.err, &conflict):
		o.mergeConflict(r, conflict)
		return
	case r.err != nil:
		o.storeElsewhere(r)
		return
	}
	for i := range r.records {
		rec := &r.records[i]
		st.versions[rowOf{r.part, rec.Job.ID}] = r.version
		if rec.Sequence == st.latest[rec.Job.ID] {
			o.planner.Stored(rec.Job.ID)
		}
		o.log.Info("job stored", zap.String("job", rec.Job.ID), zap.String("state", string(rec.State)), zap.Int64("version", r.version))
	}
	o.release(ctx, r.records, r.plan)
	for id, s := range o.sessions {
		s.acknowledge(s.taken, o.planner.Acknowledgeable(id))
	}
}

// storeElsewhere puts records back whose part is away; their next transaction
// goes to another place of theirs.
func (o *Owner) storeElsewhere(r storedResult) {
	o.log.Warn("part away, storing elsewhere", zap.String("part", r.part), zap.Int("jobs", len(r.records)), zap.Error(r.err))
	if r.part == o.pool {
		o.storing.workersChanged = true
	}
	for i := range r.records {
		o.storing.putBack(&r.records[i])
	}
}

// putBack makes a record pending again unless a newer one is on its way.
func (st *storing) putBack(rec *work.Record) {
	if st.latest[rec.Job.ID] == rec.Sequence {
		st.pending[rec.Job.ID] = *rec
	}
}

// mergeConflict takes in what another owner stored, around a takeover, and
// stores the records anew. If this owner is the former one, its next beat says so.
func (o *Owner) mergeConflict(r storedResult, conflict *port.RowConflict) {
	for i := range r.records {
		rec := &r.records[i]
		key := replica.JobKeyIn(r.part, rec.Job.ID)
		o.storing.putBack(rec)
		row, found := conflict.Row(key)
		if !found { // as expected of a first row here, or removed
			delete(o.storing.versions, rowOf{r.part, rec.Job.ID})
			continue
		}
		if row.Version == o.storing.versions[rowOf{r.part, rec.Job.ID}] {
			continue
		}
		o.storing.versions[rowOf{r.part, rec.Job.ID}] = row.Version
		var other work.Record
		if err := work.Decode(row.Value, &other); err != nil {
			o.log.Error("job's row can't be read", zap.String("job", rec.Job.ID), zap.Error(err))
			continue
		}
		if other.Sequence > 0 {
			o.dropHeld(rec.Job.ID)
		}
		o.log.Info("job has another row too", zap.String("job", rec.Job.ID), zap.Int64("version", row.Version))
		o.planner.Merge(o.now(), other)
	}
}

// beat shows the others that this owner lives, until ctx ends.
func (o *Owner) beat(ctx context.Context) {
	txn := o.underEpoch(map[port.RowKey][]byte{replica.PoolKey(o.pool, replica.BeatKey): []byte(o.deps.Name)})
	for ctx.Err() == nil {
		sentAt := o.now()
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := o.deps.Store.Commit(call, txn)
		cancel()
		switch {
		case err == nil:
			o.beatAt.Store(int64(sentAt))
		case fault.Is(err, fault.Conflict):
			o.depose("another owner holds the pool")
			return
		case ctx.Err() == nil:
			o.log.Warn("beat not confirmed", zap.Error(err))
		}
		_ = wait.For(ctx, beatEvery) // ends early only with ctx, which the loop checks
	}
}
