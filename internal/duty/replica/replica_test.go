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
		sub := r.Subscribe(testPool)
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
		time.Sleep(200 * time.Millisecond)
		must.EqOp(t, 2, r.Waiting("q"))
		cancelJob(t, store, "b")
		time.Sleep(200 * time.Millisecond)
		must.EqOp(t, 1, r.Waiting("q"))
	})
}
