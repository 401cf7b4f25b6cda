package pool

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// undeletableStore fails the deletions in a partition while set.
type undeletableStore struct {
	port.RowStore
	partition string
	set       atomic.Bool
}

func (s *undeletableStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	for _, key := range txn.Deletes {
		if key.Partition == s.partition && s.set.Load() {
			return 0, fault.New(fault.Unavailable, "the partition is unavailable")
		}
	}
	return s.RowStore.Commit(ctx, txn)
}

// storeTwoRows stores a job that has ended, and an older row of it in another partition.
func storeTwoRows(c *cluster, id string, ended, older int) {
	c.t.Helper()
	rec := work.Record{
		Job:   work.Job{ID: id, Pool: testPool, Queue: "q", Spec: id, Steps: []work.Step{single(4, 1)}, SubmittedAt: c.storeNow()},
		State: work.Running, Sequence: 1<<32 | 1,
	}
	for _, key := range []int{older, ended} {
		value, err := work.Encode(rec)
		must.NoError(c.t, err)
		_, err = c.store.Commit(context.Background(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys(testPool, id)[key]: value}})
		must.NoError(c.t, err)
		rec.State, rec.Sequence, rec.EndedAt, rec.Steps = work.Completed, 1<<32|2, c.storeNow(), []work.StepProgress{{Done: []int{0, 1, 2, 3}}}
	}
}

// Guards against a job that runs again: its older row in another partition outlived the
// row that says that it has completed.
func TestRemovalOfAnEndedJobLeavesNoOlderRow(t *testing.T) {
	for _, rows := range [][2]int{{0, 1}, {1, 0}, {2, 1}} {
		ended, older := rows[0], rows[1]
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1)
			time.Sleep(time.Second)
			storeTwoRows(c, "job", ended, older)
			store := &undeletableStore{partition: replica.JobKeys(testPool, "job")[older].Partition}
			store.set.Store(true)
			first := c.launchWith(func(in *instance) {
				in.wrapStore = func(direct port.RowStore) port.RowStore { store.RowStore = direct; return store }
			})
			time.Sleep(2*time.Minute + retentionSlack + 2*retentionInterval)
			first.kill()
			c.launch()
			time.Sleep(5 * time.Second)
			must.EqOp(t, 0, c.pool.StartCount())
			must.EqOp(t, work.Completed, c.state("job"))
			time.Sleep(2 * retentionInterval)
			must.EqOp(t, "", c.state("job"))
		})
	}
}

// Guards against a row that changed since it was read, and outlives the one that says that
// the job has completed.
func TestRemovalOfAnEndedJobStopsAtAChangedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		time.Sleep(time.Second)
		storeTwoRows(c, "job", 0, 1)
		in := c.launch()
		time.Sleep(2 * time.Second)
		v, ok := in.replica.Job("job")
		must.True(t, ok)
		key := replica.JobKeys(testPool, "job")[1]
		value, err := work.Encode(v.Rows[slices.IndexFunc(v.Rows, func(row replica.JobRow) bool { return row.Partition == key.Partition })].Record)
		must.NoError(t, err)
		_, err = c.store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{key: value}})
		must.NoError(t, err)
		o := newOwner(Deps{Store: c.store, Log: testLog(), Now: c.now}, testPool, 1, 1)
		o.removeJob(t.Context(), &v)
		must.EqOp(t, work.Completed, c.state("job"))
		must.EqOp(t, 0, len(o.events))
	})
}
