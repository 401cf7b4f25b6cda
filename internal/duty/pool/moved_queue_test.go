package pool

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const otherPool = "imagery"

// newClusterOfTwoPools returns a cluster with workers in testPool and as many in otherPool.
func newClusterOfTwoPools(t *testing.T, workers int) *cluster {
	c := newCluster(t, workers)
	for i := range workers {
		c.pool.Add(work.Worker{
			ID: fmt.Sprintf("v%02d", i), Address: fmt.Sprintf("10.0.1.%d:1", i), Pool: otherPool, Rack: "r",
			Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8},
		})
	}
	return c
}

func (c *cluster) launchFor(pool string) *instance {
	return c.launchWith(func(in *instance) { in.pool = pool })
}

// storeIn stores a job's submission in the k-th partition of a pool.
func (c *cluster) storeIn(pool string, k int, id string, steps ...work.Step) {
	c.t.Helper()
	c.putRow(pool, k, work.Record{Job: work.Job{ID: id, Pool: pool, Queue: "q", Spec: id, Steps: steps, MaxAttempts: 4, Stretch: 3, SubmittedAt: c.storeNow()}, State: work.Queued})
}

// putRow stores the first row that a job has in the k-th partition of a pool.
func (c *cluster) putRow(pool string, k int, rec work.Record) {
	c.t.Helper()
	value, err := work.Encode(rec)
	must.NoError(c.t, err)
	key := replica.JobKeys(pool, rec.Job.ID)[k]
	_, err = c.store.Commit(c.t.Context(), port.RowTxn{ExpectedVersions: map[port.RowKey]int64{key: 0}, Puts: map[port.RowKey][]byte{key: value}})
	must.NoError(c.t, err)
}

// rowsIn returns how many rows a job has in a pool.
func (c *cluster) rowsIn(pool, id string) int {
	c.t.Helper()
	n := 0
	for _, key := range replica.JobKeys(pool, id) {
		rows, _, err := c.store.Scan(c.t.Context(), key.Table, key.Partition, key.Key, key.Key+"\x00")
		must.NoError(c.t, err)
		n += len(rows)
	}
	return n
}

// Guards against a job that runs in two pools: it was submitted again after its queue had
// moved, and an owner or the whole replica begins anew.
func TestJobOfMovedQueueRunsOnlyWhereItWasAccepted(t *testing.T) {
	for name, trouble := range map[string]func(c *cluster, first, second *instance){
		"nothing else": func(*cluster, *instance, *instance) {},
		"history lost": func(c *cluster, _, _ *instance) { c.store.CompactUnseen() },
		"accepting pool's owner restarts": func(_ *cluster, first, _ *instance) {
			first.kill()
			first.restart()
		},
		"other pool's owner restarts": func(_ *cluster, _, second *instance) {
			second.kill()
			second.restart()
		},
		"both restart": func(_ *cluster, first, second *instance) {
			first.kill()
			second.kill()
			first.restart()
			second.restart()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOfTwoPools(t, 2)
				first, second := c.launchFor(testPool), c.launchFor(otherPool)
				time.Sleep(time.Second)
				for i := range 12 {
					id := fmt.Sprintf("job%d", i)
					c.setDuration(id, 14, 0)
					c.submit(id, single(1, 14))
				}
				time.Sleep(time.Second)
				must.EqOp(t, 12, c.pool.StartCount())
				for _, id := range c.jobIDs {
					c.storeIn(otherPool, 0, id, single(1, 14))
				}
				time.Sleep(time.Second)
				trouble(c, first, second)
				c.await(25 * time.Second)
				time.Sleep(5 * time.Second)
				must.EqOp(t, 12, c.pool.StartCount())
				c.checkInvariants()
			})
		})
	}
}

// Guards against a job that no pool runs, or both do, as each owner goes by the order in
// which it reads the rows.
func TestWaitingJobOfMovedQueueRunsInOnePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOfTwoPools(t, 2)
		for i := range 24 {
			id := fmt.Sprintf("job%d", i)
			c.setDuration(id, 3, 0)
			pools := []string{testPool, otherPool}
			c.storeIn(pools[i%2], i%3, id, single(1, 3))
			c.storeIn(pools[1-i%2], (i+1)%3, id, single(1, 3))
		}
		c.launchFor(testPool)
		c.launchFor(otherPool)
		for range 10 {
			time.Sleep(500 * time.Millisecond)
			c.store.CompactUnseen()
		}
		time.Sleep(20 * time.Second)
		must.EqOp(t, 24, c.pool.StartCount())
		for i := range 24 {
			must.True(t, c.pool.Succeeded(work.TaskID{Job: fmt.Sprintf("job%d", i)}))
		}
		c.checkInvariants()
	})
}

// Guards against an owner that takes a job because the partition with the earlier row of
// another pool can't be read.
func TestJobOfMovedQueueWaitsForUnreadPartitionOfOtherPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOfTwoPools(t, 2)
		c.launchFor(testPool)
		time.Sleep(time.Second)
		c.setDuration("job", 20, 0)
		c.submit("job", single(4, 20))
		time.Sleep(time.Second)
		c.storeIn(otherPool, 0, "job", single(4, 20))
		var unreadable atomic.Bool
		unreadable.Store(true)
		c.launchWith(func(in *instance) {
			in.pool = otherPool
			in.wrapStore = func(next port.RowStore) port.RowStore {
				return &unreadPartStore{next, replica.JobKeys(testPool, "job")[0].Partition, &unreadable}
			}
		})
		time.Sleep(8 * time.Second)
		unreadable.Store(false)
		time.Sleep(20 * time.Second)
		must.EqOp(t, 4, c.pool.StartCount())
		c.checkInvariants()
	})
}

// Guards against a cancelled job that the other pool runs.
func TestCancelledJobOfMovedQueueRunsNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOfTwoPools(t, 2)
		c.storeIn(testPool, 0, "job", single(1, 3))
		c.storeIn(otherPool, 0, "job", single(1, 3))
		c.cancelJob("job")
		c.launchFor(testPool)
		second := c.launchFor(otherPool)
		time.Sleep(3 * time.Second)
		c.store.CompactUnseen()
		time.Sleep(3 * time.Second)
		second.kill()
		second.restart()
		time.Sleep(10 * time.Second)
		must.EqOp(t, 0, c.pool.StartCount())
	})
}

// Guards against a submission that is run once the rows that told the job's end have been
// removed.
func TestRemovedJobOfMovedQueueLeavesNoRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOfTwoPools(t, 2)
		c.launchFor(testPool)
		second := c.launchFor(otherPool)
		time.Sleep(time.Second)
		c.setDuration("job", 2, 0)
		c.submit("job", single(1, 2))
		time.Sleep(time.Second)
		c.storeIn(otherPool, 0, "job", single(1, 2))
		time.Sleep(4 * time.Minute)
		must.EqOp(t, 0, c.rowsIn(testPool, "job"))
		must.EqOp(t, 0, c.rowsIn(otherPool, "job"))
		second.kill()
		second.restart()
		time.Sleep(10 * time.Second)
		must.EqOp(t, 1, c.pool.StartCount())
		c.checkInvariants()
	})
}

// Guards against a job that goes on in two pools after an upgrade: owners of an earlier build
// have taken it in both.
func TestJobTakenInTwoPoolsByEarlierBuildEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOfTwoPools(t, 2)
		submitted := c.storeNow()
		for i, pool := range []string{testPool, otherPool} {
			job := work.Job{ID: "job", Pool: pool, Queue: "q", Spec: "job", Steps: []work.Step{single(1, 3)}, MaxAttempts: 4, Stretch: 3, SubmittedAt: submitted + time.Duration(i)*time.Second}
			c.putRow(pool, 0, work.Record{Job: job, State: work.Running, Sequence: 1<<32 | 7})
		}
		c.jobIDs = append(c.jobIDs, "job")
		c.setDuration("job", 3, 0)
		c.launchFor(testPool)
		c.launchFor(otherPool)
		c.await(20 * time.Second)
		time.Sleep(5 * time.Second)
		must.EqOp(t, 1, c.pool.StartCount())
		c.checkInvariants()
	})
}

// interleavedStore stores two rows between a full read of the first one's partition and that
// of the second one's, once it is armed.
type interleavedStore struct {
	port.RowStore
	first, second string // partitions
	armed         *atomic.Bool
	store         func()
	stored        chan struct{}
}

func (s *interleavedStore) Partitions(ctx context.Context, table string) ([]string, error) {
	partitions, err := s.RowStore.Partitions(ctx, table)
	for _, partition := range []string{s.first, s.second} {
		if !slices.Contains(partitions, partition) {
			partitions = append(partitions, partition)
		}
	}
	return partitions, err
}

func (s *interleavedStore) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	if s.armed.Load() && to == "" && partition == s.second {
		<-s.stored
	}
	rows, version, err := s.RowStore.Scan(ctx, table, partition, from, to)
	if s.armed.Load() && to == "" && partition == s.first {
		s.store()
		close(s.stored)
		s.armed.Store(false)
	}
	return rows, version, err
}

// Guards against an owner that takes a job by a full read whose partitions are of different
// moments: it has the later row of its pool and lacks the earlier one of another.
func TestJobOfMovedQueueIsNotTakenByHalfOfAFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOfTwoPools(t, 2)
		c.setDuration("job", 5, 0)
		c.launchFor(testPool)
		var armed atomic.Bool
		c.launchWith(func(in *instance) {
			in.pool = otherPool
			in.wrapStore = func(next port.RowStore) port.RowStore {
				return &interleavedStore{RowStore: next, armed: &armed, stored: make(chan struct{}),
					first: replica.JobKeys(testPool, "job")[0].Partition, second: replica.JobKeys(otherPool, "job")[0].Partition,
					store: func() {
						c.storeIn(testPool, 0, "job", single(1, 5))
						c.storeIn(otherPool, 0, "job", single(1, 5))
					}}
			}
		})
		time.Sleep(2 * time.Second)
		armed.Store(true)
		c.store.CompactUnseen()
		time.Sleep(2 * time.Second)
		must.False(t, armed.Load())
		must.EqOp(t, 1, c.pool.RunningOn(address(0))+c.pool.RunningOn(address(1)))
		must.EqOp(t, 1, c.pool.StartCount())
	})
}
