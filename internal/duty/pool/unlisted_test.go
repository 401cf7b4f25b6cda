package pool

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// editableRegistry is the registry of a fake pool from which entries can be removed,
// as if they had expired.
type editableRegistry struct {
	pool *fake.Pool

	mu       sync.Mutex
	removed  map[string]bool
	draining map[string]bool
	changes  []port.WorkerChange
}

func newEditableRegistry(pool *fake.Pool) *editableRegistry {
	return &editableRegistry{pool: pool, removed: map[string]bool{}, draining: map[string]bool{}}
}

func (r *editableRegistry) remove(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.removed[id] = true
		r.changes = append(r.changes, port.WorkerChange{ID: id})
	}
}

func (r *editableRegistry) restore(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		delete(r.removed, id)
		r.changes = append(r.changes, port.WorkerChange{ID: id, Worker: r.entry(id)})
	}
}

func (r *editableRegistry) drain(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining[id] = true
	r.changes = append(r.changes, port.WorkerChange{ID: id, Worker: r.entry(id)})
}

// entry returns the entry of a worker. The lock must be held.
func (r *editableRegistry) entry(id string) *work.Worker {
	all, _, _ := r.pool.Workers(context.Background()) // never fails
	for i := range all {
		if all[i].ID == id {
			all[i].Draining = r.draining[id]
			return &all[i]
		}
	}
	return nil
}

func (r *editableRegistry) Workers(context.Context) ([]work.Worker, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, _, _ := r.pool.Workers(context.Background())
	var out []work.Worker
	for i := range all {
		if !r.removed[all[i].ID] {
			out = append(out, *r.entry(all[i].ID))
		}
	}
	return out, int64(len(r.changes)), nil
}

func (r *editableRegistry) WatchWorkers(ctx context.Context, after int64, wait time.Duration) ([]port.WorkerChange, int64, error) {
	for deadline := time.Now().Add(wait); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		changes := slices.Clone(r.changes[after:])
		r.mu.Unlock()
		if len(changes) > 0 {
			return changes, after + int64(len(changes)), nil
		}
	}
	return nil, after, nil
}

// storedList reads the stored list of workers with its version.
func (c *cluster) storedList() ([]string, int64) {
	c.t.Helper()
	rows, _, err := c.store.Scan(context.Background(), replica.Table, testPool, replica.WorkersKey, replica.WorkersKey+"\x00")
	must.NoError(c.t, err)
	must.Len(c.t, 1, rows)
	var ids []string
	must.NoError(c.t, work.Decode(rows[0].Value, &ids))
	return ids, rows[0].Version
}

// awaitListAfter waits until an owner has stored a list of workers newer than version.
func (c *cluster) awaitListAfter(version int64) {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		must.True(c.t, time.Now().Before(deadline), must.Sprint("no list of workers is stored"))
		if _, newest := c.storedList(); newest > version {
			return
		}
	}
}

// runLongJob returns a cluster of two instances, of which owner owns the pool, and four
// workers on which 24 tasks run for the given time, in seconds.
func runLongJob(t *testing.T, seconds float64) (c *cluster, registry *editableRegistry, owner *instance) {
	t.Helper()
	c = newCluster(t, 4)
	registry = newEditableRegistry(c.pool)
	c.registry = registry
	owner = c.launch()
	time.Sleep(time.Second)
	c.launch()
	time.Sleep(time.Second)
	c.setDuration("long", seconds, 0)
	c.submit("long", single(24, seconds))
	time.Sleep(2 * time.Second)
	must.EqOp(t, 24, c.pool.Running())
	return c, registry, owner
}

// Guards against running tasks that are started again after two restarts of the owner
// at the return of the store: the incarnation between the two sees only some of the
// workers whose entries expired, and the last one must still wait for the others.
func TestSecondTakeoverAwaitsWorkersWhoseEntriesExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, registry, owner := runLongJob(t, 40)
		_, version := c.storedList()
		c.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(4500 * time.Millisecond)
		all := []string{"w00", "w01", "w02", "w03"}
		registry.remove(all...)
		time.Sleep(2 * time.Second)
		owner.kill()
		owner = owner.restart()
		c.store.SetFaults(fake.Faults{})
		registry.restore(all[1:]...)
		time.AfterFunc(1900*time.Millisecond, func() { registry.restore(all[0]) })
		c.awaitListAfter(version)
		owner.kill()
		owner.restart()
		time.Sleep(12 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 24, c.pool.StartCount())
	})
}

// Guards against running tasks that are started again because a draining worker, whose
// entry has expired though it goes on, is missing from the stored list.
func TestTakeoverAwaitsDrainingWorkerWhoseEntryExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, registry, owner := runLongJob(t, 30)
		registry.drain("w00")
		time.Sleep(2 * time.Second)
		c.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(4500 * time.Millisecond)
		registry.remove("w00")
		time.Sleep(time.Second)
		owner.kill()
		c.store.SetFaults(fake.Faults{})
		time.AfterFunc(1900*time.Millisecond, func() { registry.restore("w00") })
		time.Sleep(12 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 24, c.pool.StartCount())
	})
}

// A draining worker that no longer answers and isn't listed has left. The next owner
// doesn't wait for it.
func TestWorkerThatHasLeftIsNotInStoredList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		registry := newEditableRegistry(c.pool)
		c.registry = registry
		c.launch()
		time.Sleep(time.Second)
		registry.drain("w00")
		time.Sleep(time.Second)
		ids, _ := c.storedList()
		must.Eq(t, []string{"w00", "w01", "w02"}, ids)
		c.pool.SetFaults("10.0.0.0:1", fake.PoolFaults{DropCalls: true})
		registry.remove("w00")
		time.Sleep(3 * time.Second)
		ids, _ = c.storedList()
		must.Eq(t, []string{"w01", "w02"}, ids)
	})
}

// The largest worker is the one whose entry is missing after a takeover. Jobs that only
// it can run must still be accepted.
func TestTakeoverKeepsStoredCapacityWhileWorkersAreUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.pool.Add(work.Worker{ID: "w99", Address: "10.0.0.99:1", Pool: testPool, Rack: "r9", Capacity: work.Resources{CPU: 64000, MemMB: 64000, Accel: 16}})
		registry := newEditableRegistry(c.pool)
		c.registry = registry
		first := c.launch()
		time.Sleep(time.Second)
		second := c.launch()
		time.Sleep(time.Second)
		_, version := c.storedList()
		registry.remove("w99")
		first.kill()
		c.awaitListAfter(version)
		time.Sleep(time.Second)
		must.EqOp(t, second.name, c.owner())
		must.EqOp(t, 16, second.replica.Pool(testPool).Capacity.MaxCapacity.Accel)
		time.Sleep(3 * time.Second)
		must.EqOp(t, 8, second.replica.Pool(testPool).Capacity.MaxCapacity.Accel)
	})
}

// A worker that crashed without runs, as its owner knows, runs nothing for the next one
// either. Its leases delay no job, even if the stored placements may be incomplete.
func TestTakeoverDoesNotAwaitSilentWorkerWithoutRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		registry := newEditableRegistry(c.pool)
		c.registry = registry
		first := c.launch()
		time.Sleep(time.Second)
		c.launch()
		time.Sleep(2 * time.Second)
		c.pool.SetFaults("10.0.0.3:1", fake.PoolFaults{DropCalls: true})
		registry.remove("w03")
		time.Sleep(2 * time.Second)
		c.setDuration("next", 1, 0)
		c.submit("next", single(1, 1))
		first.kill()
		time.Sleep(2 * time.Second)
		must.EqOp(t, 1, c.pool.StartCount())
		c.checkInvariants()
	})
}
