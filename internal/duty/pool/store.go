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

// storing is the owner's state of writing job records. One transaction is
// under way at a time; what changes meanwhile goes into the next.
type storing struct {
	versions map[string]int64 // of job rows, by job
	pending  map[string]work.Record
	busy     bool
	// workersChanged is set while the stored list of workers is out of date.
	workersChanged bool
	waiting        map[*session]int64 // ends to acknowledge after what is pending
	inFlight       map[*session]int64 // ends to acknowledge after what is under way
}

type storedResult struct {
	records []work.Record
	version int64
	err     error
}

func (st *storing) init() {
	st.versions = map[string]int64{}
	st.pending = map[string]work.Record{}
	st.waiting = map[*session]int64{}
}

func (st *storing) hold(s *session, sequence int64) { st.waiting[s] = sequence }

func (o *Owner) storeChanged(ctx context.Context) {
	st := &o.storing
	for _, rec := range o.planner.TakeChanged() {
		if rec.State.Ended() {
			rec.EndedAt = o.deps.Store.Now()
		}
		st.pending[rec.Job.ID] = rec
	}
	if st.busy {
		return
	}
	if len(st.pending) == 0 && !st.workersChanged {
		// Whatever the held ends wait for is stored already.
		for s, sequence := range st.waiting {
			s.acknowledge(sequence)
			delete(st.waiting, s)
		}
		return
	}
	var records []work.Record
	for id, rec := range st.pending {
		if len(records) == rowsPerCommit {
			break
		}
		records = append(records, rec)
		delete(st.pending, id)
	}
	if len(st.pending) == 0 {
		st.inFlight, st.waiting = st.waiting, map[*session]int64{}
	}
	st.busy = true
	txn, err := o.transaction(records)
	st.workersChanged = false
	if err != nil {
		o.log.Error("records can't be encoded", zap.Error(err))
		st.busy = false
		return
	}
	o.tasks.Go(func() { o.commit(ctx, records, txn) })
}

func (o *Owner) epochKey() port.RowKey {
	return port.RowKey{Table: replica.Table, Part: o.pool, Key: replica.EpochKey}
}

func (o *Owner) transaction(records []work.Record) (port.RowTxn, error) {
	txn := port.RowTxn{Expect: map[port.RowKey]int64{o.epochKey(): o.epochVersion}, Puts: map[port.RowKey][]byte{}}
	for i := range records {
		id := records[i].Job.ID
		value, err := work.Encode(&records[i])
		if err != nil {
			return txn, err
		}
		key := replica.JobKey(o.pool, id)
		txn.Expect[key] = o.storing.versions[id]
		txn.Puts[key] = value
	}
	if o.storing.workersChanged {
		value, err := work.Encode(o.workerIDs())
		if err != nil {
			return txn, err
		}
		txn.Puts[replica.WorkersKeyOf(o.pool)] = value
	}
	return txn, nil
}

func (o *Owner) workerIDs() []string {
	return slices.Sorted(maps.Keys(o.sessions))
}

// commit sends a transaction until its outcome is known.
func (o *Owner) commit(ctx context.Context, records []work.Record, txn port.RowTxn) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		version, err := o.deps.Store.Commit(call, txn)
		cancel()
		var conflict *port.RowConflict
		if err == nil || errors.As(err, &conflict) {
			o.send(ctx, event{kind: evStored, stored: storedResult{records, version, err}})
			return
		}
		if ctx.Err() == nil {
			o.log.Warn("jobs not stored yet", zap.Int("jobs", len(records)), zap.Error(err))
		}
		_ = wait.For(ctx, storePause) // ends early only with ctx, which the loop checks
	}
}

func (o *Owner) storedDone(r storedResult) {
	st := &o.storing
	st.busy = false
	if r.err != nil {
		// Only owners write job rows: another one has taken over.
		o.depose(r.err.Error())
		return
	}
	for i := range r.records {
		rec := &r.records[i]
		st.versions[rec.Job.ID] = r.version
		if _, newer := st.pending[rec.Job.ID]; !newer {
			o.planner.Stored(rec.Job.ID)
		}
		o.log.Info("job stored", zap.String("job", rec.Job.ID), zap.String("state", string(rec.State)), zap.Int64("version", r.version))
	}
	for s, sequence := range st.inFlight {
		s.acknowledge(sequence)
	}
	st.inFlight = nil
}

// beat shows the others that this owner lives, until ctx ends.
func (o *Owner) beat(ctx context.Context) {
	key := port.RowKey{Table: replica.Table, Part: o.pool, Key: replica.BeatKey}
	value := []byte(o.deps.Name)
	for ctx.Err() == nil {
		sentAt := o.now()
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := o.deps.Store.Commit(call, port.RowTxn{
			Expect: map[port.RowKey]int64{o.epochKey(): o.epochVersion},
			Puts:   map[port.RowKey][]byte{key: value},
		})
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
