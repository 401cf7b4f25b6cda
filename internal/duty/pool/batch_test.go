package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// idsOfOnePartition returns IDs of jobs whose rows belong to one partition.
func idsOfOnePartition(n int) []string {
	var ids []string
	want := replica.JobKeys(testPool, "0")[0].Partition
	for i := 0; len(ids) < n; i++ {
		if id := fmt.Sprint(i); replica.JobKeys(testPool, id)[0].Partition == want {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against transactions beyond the store's limits, which were repeated for ever: the
// ends of a partition's jobs were never stored after many of them changed at once.
func TestManyChangedJobsOfOnePartitionAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.launch()
		time.Sleep(time.Second)
		c.setDuration("batch", 2, 0)
		for i, id := range idsOfOnePartition(150) {
			if i == 0 {
				c.setDuration(id, 3, 0)
			}
			c.submit(id, work.Step{Count: 1, Need: work.Resources{CPU: 10}, Estimate: 3 * time.Second})
		}
		c.await(15 * time.Second)
		c.checkInvariants()
	})
}

// rejectingStore rejects transactions of job rows beyond a limit that it doesn't state, and
// each one with a certain job.
type rejectingStore struct {
	port.RowStore
	maxRows int
	bad     string
}

func (s *rejectingStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	if touchesJobs(txn) && len(txn.Puts) > s.maxRows {
		return 0, fault.New(fault.Invalid, "too large")
	}
	for key := range txn.Puts {
		if key.Key == "job/"+s.bad {
			return 0, fault.New(fault.Invalid, "rejected")
		}
	}
	return s.RowStore.Commit(ctx, txn)
}

// A job whose record the store rejects must not keep the other jobs of its partition from
// being stored.
func TestRejectedRecordDoesNotBlockItsPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		ids := idsOfOnePartition(40)
		in := c.launchWith(func(in *instance) {
			in.wrapStore = func(store port.RowStore) port.RowStore { return &rejectingStore{store, 7, ids[20]} }
		})
		time.Sleep(time.Second)
		for _, id := range ids {
			c.submit(id, work.Step{Count: 1, Need: work.Resources{CPU: 10}, Estimate: time.Second})
		}
		c.jobIDs = append(append([]string(nil), ids[:20]...), ids[21:]...)
		c.await(15 * time.Second)
		time.Sleep(time.Second)
		must.EqOp(t, in.name, c.owner())
		must.EqOp(t, work.Queued, c.state(ids[20]))
		must.EqOp(t, len(ids), c.pool.StartCount())
	})
}

// A record that doesn't fit into a row is stored without what the next owner can do
// without, and placements are left out only once later owners are told.
func TestOversizeRecordIsStoredWithoutPlacements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.launch()
		time.Sleep(time.Second)
		rng := rand.New(rand.NewPCG(1, 1))
		progress := work.StepProgress{Done: []int{1, 2, 3}, Checkpoints: map[int]string{}, Placed: map[int][]string{}}
		for i := range 5000 {
			progress.Checkpoints[i] = fmt.Sprintf("%016x", rng.Uint64())
			progress.Placed[i] = []string{fmt.Sprintf("%016x", rng.Uint64())}
		}
		rec := work.Record{Job: work.Job{ID: "j", Steps: []work.Step{{Count: 5000}}}, State: work.Running, Steps: []work.StepProgress{progress}}
		deps := Deps{Store: c.store, Log: testLog(), Now: c.now, Observer: NoObserver{}}
		o := newOwner(deps, testPool, 2, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer o.wg.Wait()
		defer cancel()
		value, err := o.encodeWithinLimits(ctx, &rec)
		must.NoError(t, err)
		must.Nil(t, value)
		must.True(t, o.announcement.inFlight)
		o.announcement.stored = true
		value, err = o.encodeWithinLimits(ctx, &rec)
		must.NoError(t, err)
		must.LessEq(t, c.store.Limits().ValueBytes, len(value))
		var stored work.Record
		must.NoError(t, work.Decode(value, &stored))
		must.Eq(t, []int{1, 2, 3}, stored.Steps[0].Done)
		must.MapEmpty(t, stored.Steps[0].Placed)
		must.MapLen(t, 5000, rec.Steps[0].Placed)
	})
}
