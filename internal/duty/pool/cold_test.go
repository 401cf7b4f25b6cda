package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// coldEnv is an owner of two workers, which places the same tasks on each as long as neither
// is cold, and the store of their registry entries.
type coldEnv struct {
	t     *testing.T
	owner *Owner
	store *fake.Rows
}

func newColdEnv(t *testing.T) *coldEnv {
	o, _ := ownerOfOneWorker()
	env := &coldEnv{t, o, fake.NewRows()}
	rep := replica.New(env.store, zap.NewNop(), o.now)
	o.deps.Replica = rep
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); rep.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	o.sessions["other"] = newSession(o, port.WorkerTarget{ID: "other"})
	env.apply(work.Worker{ID: "w"}, o.now())
	env.apply(work.Worker{ID: "other"}, o.now())
	time.Sleep(time.Second)
	return env
}

// checkIn writes the entry of a worker and returns it.
func (env *coldEnv) checkIn(id string, coldFor time.Duration) work.Worker {
	env.t.Helper()
	key := port.RowKey{Table: "registry", Key: id}
	version, err := env.store.Commit(env.t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{key: {1}}})
	must.NoError(env.t, err)
	return work.Worker{ID: id, ColdFor: coldFor, EntryVersion: version}
}

// apply applies an entry that was read at the given time.
func (env *coldEnv) apply(w work.Worker, readAt time.Duration) {
	w.Pool, w.Capacity = env.owner.pool, work.Resources{CPU: 1000}
	env.owner.applyWorkers(env.t.Context(), event{workers: []port.WorkerChange{{ID: w.ID, Worker: &w}}, readAt: readAt})
	env.owner.planner.HandleReport(env.owner.now(), env.owner.now(), w.ID, port.HoldReply{})
}

// usedLast reports whether a task for any worker isn't placed on the one that it is placed
// on if both are warm.
func (env *coldEnv) usedLast(id string) bool {
	now := env.owner.now()
	steps := []work.Step{{Count: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second}}
	env.owner.planner.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: "a", MaxAttempts: 4, Steps: steps}}, false)
	orders := env.owner.planner.Plan(now)
	must.Len(env.t, 1, orders)
	return orders[0].Worker != id
}

// preferred is the worker that a task is placed on if both are warm.
const preferred = "other"

// The entry says that the worker stays cold for 3 s more.
func TestWorkerIsUsedLastWhileCold(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		cold  bool
	}{"still cold": {2 * time.Second, true}, "warm": {3100 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newColdEnv(t)
				env.apply(env.checkIn(preferred, 3*time.Second), env.owner.now())
				time.Sleep(test.after)
				must.EqOp(t, test.cold, env.usedLast(preferred))
			})
		})
	}
}

// A new owner reads an entry whose worker has been cut off from the store for 4 s. Guards
// against a worker that counts as cold for 3 s more although it isn't.
func TestColdTimeOfAnOldEntryIsOverAtTheTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newColdEnv(t)
		entry := env.checkIn(preferred, 3*time.Second)
		time.Sleep(4200 * time.Millisecond)
		env.apply(entry, env.owner.now())
		must.False(t, env.usedLast(preferred))
	})
}

// The owner reads the same entry again after a gap of its watch, and later one of a restart
// during the gap. Guards against a cold time that begins anew with each reading, and against
// a restart that is overlooked.
func TestColdTimeAfterAnOutageOfTheStore(t *testing.T) {
	for name, restarted := range map[string]bool{"the same entry": false, "a new one": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newColdEnv(t)
				entry := env.checkIn(preferred, 3*time.Second)
				env.apply(entry, env.owner.now())
				time.Sleep(500 * time.Millisecond)
				env.store.SetFaults(fake.Faults{Down: true})
				time.Sleep(10 * time.Second)
				env.store.SetFaults(fake.Faults{})
				time.Sleep(time.Second)
				if restarted {
					entry = env.checkIn(preferred, 3*time.Second)
				}
				env.apply(entry, env.owner.now())
				must.EqOp(t, restarted, env.usedLast(preferred))
			})
		})
	}
}

// Guards against a reading that waits in the owner's queue, or whose process is suspended,
// and counts from the time at which it is applied.
func TestColdTimeCountsFromTheReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newColdEnv(t)
		env.owner.deps.Replica = replica.New(env.store, zap.NewNop(), env.owner.now) // which tells nothing of the entry's age
		entry, readAt := env.checkIn(preferred, 3*time.Second), env.owner.now()
		time.Sleep(3100 * time.Millisecond)
		env.apply(entry, readAt)
		must.False(t, env.usedLast(preferred))
	})
}
