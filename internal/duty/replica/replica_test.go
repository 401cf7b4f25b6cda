package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const testPool = "triage"

func putJob(t *testing.T, store *fake.Rows, id string) {
	t.Helper()
	value, err := work.Encode(work.Record{Job: work.Job{ID: id, Pool: testPool, Queue: "q"}, State: work.Queued})
	must.NoError(t, err)
	_, err = store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{JobKeys(testPool, id)[0]: value}})
	must.NoError(t, err)
}

func cancelJob(t *testing.T, store *fake.Rows, id string) {
	t.Helper()
	_, err := store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{CancelKeys(testPool, id)[0]: {1}}})
	must.NoError(t, err)
}

func startReplica(t *testing.T, store port.RowStore) *Replica {
	t.Helper()
	began := time.Now()
	r := New(store, zap.NewNop(), func() time.Duration { return time.Since(began) })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// A cancellation that was stored while the change history was lost is found by a
// full read, in which its row comes before the job's.
func TestCancellationSurvivesLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewRows()
		putJob(t, store, "a")
		r := startReplica(t, store)
		sub := r.Subscribe(testPool, 1)
		defer sub.Close()
		time.Sleep(time.Second)
		sub.Take()
		store.SetFaults(fake.Faults{Down: true})
		time.Sleep(2 * time.Second)
		store.SetFaults(fake.Faults{})
		cancelJob(t, store, "a")
		store.Compact()
		time.Sleep(3 * time.Second)
		v, ok := r.Job("a")
		must.True(t, ok)
		must.True(t, v.Cancelled)
		changed := sub.Take()
		must.SliceNotEmpty(t, changed)
		must.True(t, changed[len(changed)-1].Cancelled)
	})
}

// lateWriter stores a job in a new partition between the listing and the reading of
// the partitions.
type lateWriter struct {
	*fake.Rows
	t    *testing.T
	done bool
}

func (l *lateWriter) Partitions(ctx context.Context, table string) ([]string, error) {
	partitions, err := l.Rows.Partitions(ctx, table)
	if !l.done {
		l.done = true
		putJob(l.t, l.Rows, "a")
	}
	return partitions, err
}

func TestJobInPartitionCreatedDuringListingIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startReplica(t, &lateWriter{Rows: fake.NewRows(), t: t})
		time.Sleep(time.Second)
		_, ok := r.Job("a")
		must.True(t, ok)
	})
}

func TestWatchAppliesJobsAndCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewRows()
		r := startReplica(t, store)
		time.Sleep(time.Second)
		putJob(t, store, "a")
		putJob(t, store, "b")
		time.Sleep(followerMinWatchInterval + time.Millisecond)
		must.EqOp(t, 2, r.Waiting("q"))
		cancelJob(t, store, "b")
		time.Sleep(followerMinWatchInterval + time.Millisecond)
		must.EqOp(t, 1, r.Waiting("q"))
	})
}

// putRecord stores a running job with a placement, in the partition of its key with
// an index.
func putRecord(t *testing.T, store *fake.Rows, id string, key int, sequence int64) {
	t.Helper()
	record := work.Record{Job: work.Job{ID: id, Pool: testPool, Queue: "q", Steps: []work.Step{{Count: 1}}}, State: work.Running,
		Steps: []work.StepProgress{{Placed: map[int][]string{0: {"w"}}}}, Sequence: sequence}
	value, err := work.Encode(record)
	must.NoError(t, err)
	_, err = store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{JobKeys(testPool, id)[key]: value}})
	must.NoError(t, err)
}

// An instance that owns no pool knows the states only; from its subscription on it
// knows all that was stored before and after.
func TestRecordsAreCompleteFromTheSubscriptionOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewRows()
		r := startReplica(t, store)
		putRecord(t, store, "a", 0, 1)
		putRecord(t, store, "a", 1, 7)
		putRecord(t, store, "a", 2, 3)
		time.Sleep(time.Second)
		before, ok := r.Job("a")
		must.True(t, ok)
		must.EqOp(t, work.Running, before.Record.State)
		must.EqOp(t, 7, before.Record.Sequence)
		must.EqOp(t, "q", before.Record.Job.Queue)
		must.Len(t, 0, before.Record.Steps)

		sub := r.Subscribe(testPool, 1)
		defer sub.Close()
		putRecord(t, store, "b", 0, 1)
		time.Sleep(time.Second)
		for _, id := range []string{"a", "b"} {
			v, ok := r.Job(id)
			must.True(t, ok)
			must.Eq(t, map[int][]string{0: {"w"}}, v.Record.Steps[0].Placed)
			for _, row := range v.Rows {
				must.Len(t, 1, row.Record.Job.Steps)
			}
		}
		after, _ := r.Job("a")
		must.EqOp(t, 7, after.Record.Sequence)
		must.Len(t, 0, before.Rows[0].Record.Steps) // the view from before is unchanged
	})
}

// A row whose summary can be decoded and whose rest can't doesn't reach an owner.
func TestRowThatCantBeDecodedIsDroppedAtTheSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewRows()
		r := startReplica(t, store)
		value, err := work.Encode(map[int]any{1: map[int]any{1: "a", 2: testPool, 10: "no steps"}, 2: "running"})
		must.NoError(t, err)
		_, err = store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{JobKeys(testPool, "a")[0]: value}})
		must.NoError(t, err)
		putRecord(t, store, "b", 0, 1)
		time.Sleep(time.Second)
		sub := r.Subscribe(testPool, 1)
		defer sub.Close()
		jobs := r.Jobs(testPool)
		must.Len(t, 1, jobs)
		must.EqOp(t, "b", jobs[0].Record.Job.ID)
	})
}
