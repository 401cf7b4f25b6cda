package pool

import (
	"context"
	"sync"
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

// A start whose placement is stored may wait for a confirmed heartbeat. Nothing goes before
// its placement is stored then, and the next owner must not be told that it may have.
func TestStoredStartThatWaitsForHeartbeatIsNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		in := c.launch()
		time.Sleep(time.Second)
		c.setDuration("job", 20, 0)
		c.submit("job", single(32, 20))
		for range 8 {
			time.Sleep(2*time.Second + 30*time.Millisecond)
			c.pool.Restart(address(0))
		}
		must.EqOp(t, 0, in.replica.Pool(testPool).EarlyStartEpoch)
		c.await(90 * time.Second)
		c.checkInvariants()
	})
}

// An announcement is withdrawn once the placements are stored, so that later takeovers
// needn't wait for silent workers (issue 37).
func TestAnnouncementIsWithdrawnOncePlacementsAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		in := c.launch()
		time.Sleep(time.Second)
		c.setDuration("job", 20, 0)
		in.dropJobCommits.Store(true)
		c.submit("job", single(4, 20))
		time.Sleep(2 * time.Second)
		must.EqOp(t, 4, c.pool.Running())
		must.EqOp(t, 1, in.replica.Pool(testPool).EarlyStartEpoch)
		must.EqOp(t, 0, in.replica.Pool(testPool).Owner.RecordedAt)
		in.dropJobCommits.Store(false)
		time.Sleep(4 * time.Second)
		must.EqOp(t, 0, in.replica.Pool(testPool).EarlyStartEpoch)
		must.Positive(t, in.replica.Pool(testPool).Owner.RecordedAt)
	})
}

// lateWithdrawal leaves the first withdrawal of an announcement without an answer and
// performs it seconds later.
type lateWithdrawal struct {
	port.RowStore
	late sync.Once
}

func (s *lateWithdrawal) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	value, ok := txn.Puts[replica.PoolKey(testPool, replica.EarlyStartsKey)]
	var epoch int64
	if !ok || work.Decode(value, &epoch) != nil || epoch != 0 {
		return s.RowStore.Commit(ctx, txn)
	}
	var err error
	s.late.Do(func() {
		go func() {
			time.Sleep(5 * time.Second)
			_, _ = s.RowStore.Commit(context.Background(), txn) // the caller has given up
		}()
		<-ctx.Done()
		err = fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	})
	if err != nil {
		return 0, err
	}
	return s.RowStore.Commit(ctx, txn)
}

// A withdrawal that the store performs late doesn't undo a later announcement.
func TestLateWithdrawalDoesNotUndoAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		in := c.launchWith(func(in *instance) {
			in.wrapStore = func(s port.RowStore) port.RowStore { return &lateWithdrawal{RowStore: s} }
		})
		time.Sleep(time.Second)
		for _, id := range []string{"first", "second"} {
			c.setDuration(id, 60, 0)
			in.dropJobCommits.Store(true)
			c.submit(id, single(4, 60))
			time.Sleep(2 * time.Second)
			in.dropJobCommits.Store(id == "second")
			time.Sleep(4 * time.Second)
		}
		must.EqOp(t, 8, c.pool.Running())
		time.Sleep(8 * time.Second)
		must.EqOp(t, 1, in.replica.Pool(testPool).EarlyStartEpoch)
	})
}

// An instance that has just started knows nothing of how the store was before. What the
// previous owner stored tells it that the placements are complete, and jobs that weren't
// placed don't wait for a silent worker (issue 37).
func TestWaitingJobsDoNotAwaitSilentWorkersAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		in := c.launch()
		time.Sleep(time.Second)
		c.setDuration("running", 60, 0)
		c.setDuration("waiting", 60, 0)
		c.submit("running", single(32, 60))
		time.Sleep(3 * time.Second)
		c.submit("waiting", single(8, 60))
		time.Sleep(time.Second)
		must.EqOp(t, 32, c.pool.Running())
		c.pool.SetFaults(address(0), fake.PoolFaults{DropCalls: true})
		in.kill()
		c.pool.Add(c.extraWorker())
		in.restart()
		killedAt := c.now()
		for !c.pool.HasStarted("waiting") {
			time.Sleep(10 * time.Millisecond)
			must.Less(t, 3*time.Second, c.now()-killedAt)
		}
		time.Sleep(20 * time.Second)
		c.checkInvariants()
	})
}

// extraWorker returns a worker that isn't in the pool yet.
func (c *cluster) extraWorker() work.Worker {
	return work.Worker{ID: "extra", Address: "10.0.1.0:1", Pool: testPool, Rack: "extra", Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8}}
}

// The owner starts a task early and is killed, and the next one adopts the run. By the time
// that one tells that all placements are stored, this one has to be, too.
func TestAdoptedRunIsRecordedBeforePlacementsCountAsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		first := c.launch()
		time.Sleep(time.Second)
		second, third := c.launch(), c.launch()
		second.dropJobCommits.Store(true)
		third.dropJobCommits.Store(true)
		c.startUnstoredAndKill(first)
		time.Sleep(4 * time.Second)
		if second.name != c.owner() {
			second, third = third, second
		}
		must.EqOp(t, second.name, c.owner())
		must.Positive(t, third.replica.Pool(testPool).EarlyStartEpoch)
		must.EqOp(t, 0, third.replica.Pool(testPool).Owner.RecordedAt)
		second.dropJobCommits.Store(false)
		third.dropJobCommits.Store(false)
		time.Sleep(4 * time.Second)
		must.EqOp(t, 0, third.replica.Pool(testPool).EarlyStartEpoch)
		must.EqOp(t, 1, c.pool.StartCount())
		silent := address(0)
		if c.pool.RunningOn(silent) == 0 {
			silent = address(1)
		}
		c.pool.SetFaults(silent, fake.PoolFaults{DropCalls: true})
		second.kill()
		time.Sleep(4 * time.Second)
		must.EqOp(t, third.name, c.owner())
		c.checkInvariants()
		time.Sleep(20 * time.Second)
		c.checkInvariants()
	})
}
