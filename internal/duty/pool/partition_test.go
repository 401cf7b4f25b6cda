package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/relay"
	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// unreadableStore fails the reads and commits of some partitions while down is set.
type unreadableStore struct {
	port.RowStore
	partitions map[string]bool
	down       *atomic.Bool
}

func (s *unreadableStore) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	if s.down.Load() && s.partitions[partition] {
		return nil, 0, fault.New(fault.Unavailable, "the partition is unavailable")
	}
	return s.RowStore.Scan(ctx, table, partition, from, to)
}

func (s *unreadableStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	for key := range txn.Puts {
		if s.down.Load() && s.partitions[key.Partition] {
			return 0, fault.New(fault.Unavailable, "the partition is unavailable")
		}
	}
	return s.RowStore.Commit(ctx, txn)
}

// Guards against successes that are acknowledged without being counted, and run again: the
// first reports of the workers were handled before the planner was told that jobs are
// missing, as some partitions couldn't be read.
func TestTakeoverKeepsResultsOfJobsInUnreadPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		first := c.launch()
		time.Sleep(time.Second)
		unreadable := map[string]bool{}
		for _, key := range replica.JobKeys(testPool, "job") {
			unreadable[key.Partition] = true
		}
		c.setDuration("job", 1, 0)
		c.submit("job", single(1, 1))
		time.Sleep(900 * time.Millisecond)
		must.EqOp(t, 1, c.pool.Running())
		first.kill()
		time.Sleep(time.Second)

		ctx, cancel := context.WithCancel(t.Context())
		var down atomic.Bool
		down.Store(true)
		store := relay.New(&unreadableStore{c.store, unreadable, &down}, func() []port.RowStore { return nil }, c.now, zap.NewNop())
		rep := replica.New(store, testLog(), c.now)
		election := NewElection(Deps{
			Store: store, Workers: c.workers, Registry: c.registry, Replica: rep, Log: testLog(), Now: c.now, Observer: NoObserver{},
			Config: func() *work.Config { return nil }, Name: "next", Incarnation: "1", MaxLease: 10 * time.Second, StoreHealth: store,
		}, testPool)
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		group.Go(func() { rep.Run(ctx) })
		time.Sleep(time.Second)
		version, err := election.writeEpoch(ctx, rep.Pool(testPool).EpochVersion, replica.Epoch{Number: 2, Owner: "next", Incarnation: "1"})
		must.NoError(t, err)
		o := newOwner(election.deps, testPool, 2, version)
		o.cancel = cancel
		defer o.wg.Wait()
		defer cancel()
		must.NoError(t, o.recover(ctx))
		report := <-o.events
		for report.kind != evReport {
			report = <-o.events
		}
		must.SliceLen(t, 1, report.reply.Results)
		o.apply(ctx, report)
		must.EqOp(t, 0, o.planner.AcknowledgeableResult("w00"), must.Sprint("the success of a job that isn't read yet may be acknowledged"))
	})
}
