package pool

import (
	"context"
	"fmt"
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

// poolRowsHang leaves commits of the pool's own rows without effect and answer while set.
type poolRowsHang struct {
	port.RowStore
	set atomic.Bool
}

func (s *poolRowsHang) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	if s.set.Load() && !touchesJobs(txn) {
		<-ctx.Done()
		return 0, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	return s.RowStore.Commit(ctx, txn)
}

// lateJobs takes a while for commits of jobs. It performs the first claim of the pool
// without an answer if loseClaim is set.
type lateJobs struct {
	port.RowStore
	loseClaim bool
}

func (s *lateJobs) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	if touchesJobs(txn) {
		time.Sleep(400 * time.Millisecond)
	}
	version, err := s.RowStore.Commit(ctx, txn)
	if _, claims := txn.Puts[replica.PoolKey(testPool, replica.EpochKey)]; err == nil && claims && s.loseClaim {
		s.loseClaim = false
		return 0, fault.New(fault.Uncertain, "no answer")
	}
	return version, err
}

// hangingRegistry doesn't answer.
type hangingRegistry struct{ port.WorkerRegistry }

func (hangingRegistry) Workers(ctx context.Context) ([]work.Worker, int64, error) {
	<-ctx.Done()
	return nil, 0, fault.Wrap(fault.Unavailable, "workers", ctx.Err())
}

// launchLate launches an instance whose calls to the only worker and commits of jobs take
// a while.
func (c *cluster) launchLate(name string, loseClaim bool) {
	c.launchWith(func(in *instance) {
		in.name, in.slowAt, in.slowHold = name, "w00", 250*time.Millisecond
		in.wrapStore = func(s port.RowStore) port.RowStore { return &lateJobs{RowStore: s, loseClaim: loseClaim} }
	})
}

// launchUnfinished launches an instance that claims the pool and doesn't call a worker.
func (c *cluster) launchUnfinished(name string) *instance {
	c.registry = hangingRegistry{}
	defer func() { c.registry = c.pool }()
	in := c.launchWith(func(in *instance) { in.name = name })
	for c.owner() != name {
		time.Sleep(10 * time.Millisecond)
	}
	return in
}

// Guards against tasks that are started after a success which the owner before the
// previous one has stored and acknowledged: the previous epoch ended before its owner
// called a worker, so nothing has stopped the owner before it.
func TestOwnerBeforeAnUnfinishedTakeoverIsNotTakenForStopped(t *testing.T) {
	for name, takeOver := range map[string]func(c *cluster){
		"claim without an answer": func(c *cluster) { c.launchLate("next", true) },
		"killed before its first hold": func(c *cluster) {
			c.launchUnfinished("next").kill()
			c.launchLate("next", false)
		},
		"handed over before its first hold": func(c *cluster) {
			c.launchUnfinished("unfinished").stop()
			c.launchLate("next", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				hang := &poolRowsHang{}
				c.launchWith(func(in *instance) {
					in.wrapStore = func(s port.RowStore) port.RowStore { hang.RowStore = s; return hang }
				})
				time.Sleep(time.Second)
				for k := range 200 {
					id := fmt.Sprintf("job-%03d", k)
					c.setDuration(id, 0.2, 0)
					c.submit(id, single(1, 0.2))
				}
				time.Sleep(100 * time.Millisecond)
				hang.set.Store(true)
				takeOver(c)
				c.await(60 * time.Second)
				must.EqOp(t, "next", c.owner())
				c.checkInvariants()
			})
		})
	}
}
