package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// stuckFeedStore leaves its watches without an answer while stuck is set.
type stuckFeedStore struct {
	port.RowStore
	stuck atomic.Bool
}

func (s *stuckFeedStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	rows, version, err := s.RowStore.Watch(ctx, table, after, wait)
	for s.stuck.Load() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, 0, fault.Wrap(fault.Unavailable, "feed", ctx.Err())
		}
	}
	return rows, version, err
}

// unconfirmedStore leaves its commits of heartbeats without an answer while set.
type unconfirmedStore struct {
	port.RowStore
	set atomic.Bool
}

func (s *unconfirmedStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	if _, ok := txn.Puts[replica.PoolKey(testPool, replica.HeartbeatKey)]; ok && s.set.Load() {
		<-ctx.Done()
		return 0, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	return s.RowStore.Commit(ctx, txn)
}

// cutClient is a connection to the workers that is cut, for one of them, after its first
// hold was answered, until it is mended.
type cutClient struct {
	port.WorkerClient
	address   string
	cut, held atomic.Bool
}

func (c *cutClient) Hold(ctx context.Context, t port.WorkerTarget, req port.HoldRequest) (port.HoldReply, error) {
	if err := c.call(ctx, t); err != nil {
		return port.HoldReply{}, err
	}
	reply, err := c.WorkerClient.Hold(ctx, t, req)
	if t.Address == c.address && err == nil && c.held.CompareAndSwap(false, true) {
		c.cut.Store(true)
	}
	return reply, err
}

func (c *cutClient) Start(ctx context.Context, t port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	if err := c.call(ctx, t); err != nil {
		return port.WorkerClock{}, port.NotRejected, err
	}
	return c.WorkerClient.Start(ctx, t, o)
}

func (c *cutClient) Stop(ctx context.Context, t port.WorkerTarget, task work.TaskID, run, fencingToken int64) (port.WorkerClock, error) {
	if err := c.call(ctx, t); err != nil {
		return port.WorkerClock{}, err
	}
	return c.WorkerClient.Stop(ctx, t, task, run, fencingToken)
}

func (c *cutClient) call(ctx context.Context, t port.WorkerTarget) error {
	if t.Address != c.address || !c.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
}

// startLateJob has a job stored and started by an owner that doesn't notice that another
// instance has claimed the pool, after the claim and before that instance's first hold
// at a worker. The new owner's feed is stuck until resume is called.
// beforeSecond is called before the new owner's instance is launched.
func startLateJob(c *cluster, seconds float64, beforeSecond func()) (resume func()) {
	c.t.Helper()
	unconfirmed, feed := &unconfirmedStore{}, &stuckFeedStore{}
	c.launchWith(func(in *instance) {
		in.wrapStore = func(direct port.RowStore) port.RowStore { unconfirmed.RowStore = direct; return unconfirmed }
	})
	time.Sleep(time.Second)
	beforeSecond()
	c.registry = &slowRegistry{c.pool, time.Second}
	second := c.launchWith(func(in *instance) {
		in.wrapStore = func(direct port.RowStore) port.RowStore { feed.RowStore = direct; return feed }
	})
	time.Sleep(storeStableAfter + 2*time.Second)
	unconfirmed.set.Store(true)
	for c.owner() != second.name || second.replica.Pool(testPool).Epoch.Owner != second.name {
		time.Sleep(time.Millisecond)
	}
	feed.stuck.Store(true)
	c.setDuration("job", seconds, 0)
	c.submit("job", single(8, seconds))
	time.Sleep(500 * time.Millisecond)
	must.EqOp(c.t, 8, c.pool.Running())
	return func() { feed.stuck.Store(false) }
}

// Guards against successes that are acknowledged and run again: the new owner's replica
// lacked a job that the former owner had started after the claim.
func TestTakeoverKeepsResultsOfJobsThatItsReplicaLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		resume := startLateJob(c, 1, func() {})
		time.Sleep(2 * time.Second)
		resume()
		c.await(20 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 8, c.pool.StartCount())
	})
}

// Guards against a second run beside one that the new owner stopped as a run of a job that
// doesn't exist.
func TestTakeoverKeepsRunsOfJobsThatItsReplicaLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		resume := startLateJob(c, 6, func() {})
		time.Sleep(600 * time.Millisecond)
		resume()
		c.await(20 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 8, c.pool.StartCount())
	})
}

// Guards against a second run beside one whose worker became unreachable after it had
// reported the run to a new owner, whose replica lacked the job.
func TestTakeoverWaitsForRunsOfJobsThatItsReplicaLacked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		cut := &cutClient{WorkerClient: c.pool, address: "10.0.0.0:1"}
		resume := startLateJob(c, 8, func() { c.workers = cut })
		time.Sleep(700 * time.Millisecond)
		must.True(t, cut.cut.Load())
		resume()
		time.Sleep(3 * time.Second)
		c.checkInvariants()
		cut.cut.Store(false)
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// Runs of a job that doesn't exist are stopped within the time of a planned stop.
func TestRunsOfJobsThatDoNotExistAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.pool.SetProfile("gone", fake.Profile{RunTime: time.Minute})
		_, rejected, err := c.pool.Start(t.Context(), port.WorkerTarget{Address: "10.0.0.0:1"}, port.StartOrder{
			Task: work.TaskID{Job: "gone"}, Run: 1, Spec: "gone", LeaseEnd: 10 * time.Second,
		})
		must.NoError(t, err)
		must.EqOp(t, port.NotRejected, rejected)
		c.launch()
		time.Sleep(1200 * time.Millisecond)
		must.EqOp(t, 0, c.pool.Running())
		c.checkInvariants()
	})
}

// Guards against a start after a success that the former owner stored in another partition
// than the one in which the new owner stores the placement.
func TestTakeoverFindsResultsThatAreStoredInAnotherPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		unconfirmed, feed := &unconfirmedStore{}, &stuckFeedStore{}
		var rejected atomic.Bool
		c.launchWith(func(in *instance) {
			in.wrapStore = func(direct port.RowStore) port.RowStore {
				unconfirmed.RowStore = &unreadableStore{direct, map[string]bool{replica.JobKeys(testPool, "job")[0].Partition: true}, &rejected}
				return unconfirmed
			}
		})
		time.Sleep(time.Second)
		c.registry = &slowRegistry{c.pool, 2 * time.Second}
		second := c.launchWith(func(in *instance) {
			in.wrapStore = func(direct port.RowStore) port.RowStore { feed.RowStore = direct; return feed }
		})
		time.Sleep(storeStableAfter + 2*time.Second)
		c.setDuration("job", 3, 0)
		c.submit("job", single(8, 3))
		time.Sleep(time.Second)
		must.EqOp(t, 8, c.pool.Running())
		rejected.Store(true)
		unconfirmed.set.Store(true)
		for c.owner() != second.name || second.replica.Pool(testPool).Epoch.Owner != second.name {
			time.Sleep(time.Millisecond)
		}
		must.EqOp(t, 8, c.pool.Running())
		feed.stuck.Store(true)
		time.Sleep(3 * time.Second)
		c.checkInvariants()
		feed.stuck.Store(false)
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// Guards against starts of a job that callers see as completed: the store carried out a
// previous owner's unanswered write in another partition, after its records were merged.
func TestLateWriteOfAPreviousOwnerIsMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		first := c.launch()
		time.Sleep(time.Second)
		second := c.launch()
		time.Sleep(time.Second)
		c.setDuration("other", 6, 0)
		c.submit("other", single(8, 6))
		time.Sleep(time.Second)
		c.setDuration("job", 1, 0)
		c.submit("job", single(2, 1))
		time.Sleep(500 * time.Millisecond)
		first.kill()
		time.Sleep(3 * time.Second)
		must.EqOp(t, second.name, c.owner())
		v, ok := second.replica.Job("job")
		must.True(t, ok)
		late := v.Record
		late.State, late.Sequence, late.Steps = work.Completed, 1<<32|9, []work.StepProgress{{Done: []int{0, 1}}}
		value, err := work.Encode(late)
		must.NoError(t, err)
		_, err = c.store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys(testPool, "job")[1]: value}})
		must.NoError(t, err)
		time.Sleep(6 * time.Second)
		must.False(t, c.pool.HasStarted("job"))
		c.checkInvariants()
	})
}

// Guards against a second run beside one that the former owner started after the claim, on
// a worker that the new owner can't reach: its placement is in the row that the new owner's
// write conflicts with.
func TestTakeoverHeedsPlacementsThatAreStoredAfterTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		unconfirmed := &unconfirmedStore{}
		c.launchWith(func(in *instance) {
			in.wrapStore = func(direct port.RowStore) port.RowStore { unconfirmed.RowStore = direct; return unconfirmed }
		})
		time.Sleep(time.Second)
		c.registry = &slowRegistry{c.pool, time.Second}
		second := c.launchWith(func(in *instance) { in.slowAt, in.slowHold = "w00", 20*time.Second })
		time.Sleep(storeStableAfter + 2*time.Second)
		c.setDuration("full", 2.2, 0)
		c.submit("full", single(16, 2.2))
		time.Sleep(500 * time.Millisecond)
		c.setDuration("job", 4, 0)
		c.submit("job", single(4, 4))
		unconfirmed.set.Store(true)
		for c.owner() != second.name || second.replica.Pool(testPool).Epoch.Owner != second.name {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		c.checkInvariants()
	})
}
