package pool

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/relay"
	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const testPool = "triage"

var (
	// trace prints what the instances log.
	trace = flag.Bool("show-logs", false, "print the instances' logs")
	// seeds is how many seeds the fault tests run, from firstSeed.
	seeds     = flag.Uint64("seeds", 16, "seeds of the fault tests")
	firstSeed = flag.Uint64("first-seed", 0, "first seed of the fault tests")
)

func testLog() *zap.Logger {
	if *trace {
		return zap.Must(zap.NewDevelopment())
	}
	return zap.NewNop()
}

// world is a store, a pool of workers and instances that may own it.
type world struct {
	t         *testing.T
	store     *fake.Rows
	pool      *fake.Pool
	registry  port.WorkerRegistry
	workers   port.WorkerCaller
	advisor   *policy // nil where there is none
	began     time.Time
	instances []*instance
	ids       []string
}

// instance is one process: its store and workers can be taken away, as a kill
// does.
type instance struct {
	world    *world
	name     string
	gone     atomic.Bool
	mute     atomic.Bool // its commits get no answer
	muteJobs atomic.Bool // commits of job rows get no answer and no effect
	turned   atomic.Bool // the store turns it away, but not its peers
	// slowHold delays its holds at one worker.
	slowHold time.Duration
	slowAt   string
	// wallAhead is by how much its time of day is wrong.
	wallAhead time.Duration
	replica   *replica.Replica
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

func newWorld(t *testing.T, workers int) *world {
	w := &world{t: t, store: fake.NewRows(), pool: fake.NewPool(), began: time.Now()}
	w.registry, w.workers = w.pool, w.pool
	for i := range workers {
		w.pool.Add(work.Worker{
			ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Pool: testPool, Rack: fmt.Sprintf("r%d", i/4),
			Room: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8},
		})
	}
	t.Cleanup(func() {
		for _, in := range w.instances {
			in.stop()
		}
	})
	return w
}

func (w *world) now() time.Duration { return time.Since(w.began) }

func (w *world) launch() *instance { return w.launchWith(func(*instance) {}) }

func (w *world) launchWith(change func(*instance)) *instance {
	in := &instance{world: w, name: fmt.Sprintf("instance-%d", len(w.instances))}
	change(in)
	w.instances = append(w.instances, in)
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	store := relay.New(&gatedStore{in, w.store}, in.peers)
	rep := replica.New(store, zap.NewNop(), w.now)
	deps := Deps{
		Store: store, Workers: &gatedWorkers{in, w.workers}, Registry: w.registry, Replica: rep,
		Log: testLog().With(zap.String("in", in.name)), Now: w.now, Observer: NoObserver{}, Wall: in.wall, Config: func() *work.Config { return nil }, Name: in.name, Incarnation: in.name,
		Settings: planner.Settings{ReclaimWithin: 3 * time.Second}, LongestLease: 10 * time.Second, RetainFor: 2 * time.Minute, Health: store,
	}
	in.replica = rep
	in.done.Go(func() { rep.Run(ctx) })
	if w.advisor != nil {
		deps.Advisor = w.advisor
	}
	in.done.Go(func() { NewElection(deps, testPool).Run(ctx) })
	return in
}

// kill takes the instance away without a handover.
func (in *instance) kill() {
	in.gone.Store(true)
	in.stop()
}

func (in *instance) stop() {
	in.cancel()
	in.done.Wait()
}

func (w *world) submit(id string, steps ...work.Step) { w.submitAt(id, 0, steps...) }

func (w *world) submitAt(id string, priority int, steps ...work.Step) {
	w.t.Helper()
	w.submitJob(id, priority, work.Schedule{}, steps)
}

func (w *world) submitJob(id string, priority int, schedule work.Schedule, steps []work.Step) {
	w.t.Helper()
	job := work.Job{Schedule: schedule, ID: id, Pool: testPool, Priority: priority, Queue: "q", Spec: id, Steps: steps, MaxAttempts: 4, Stretch: 3, SubmittedAt: w.store.Now()}
	value, err := work.Encode(work.Record{Job: job, State: work.Queued})
	must.NoError(w.t, err)
	_, err = w.store.Commit(context.Background(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys(testPool, id)[0]: value}})
	must.NoError(w.t, err)
	w.ids = append(w.ids, id)
}

func (w *world) cancelJob(id string) {
	w.t.Helper()
	_, err := w.store.Commit(context.Background(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.CancelKeys(testPool, id)[0]: {1}}})
	must.NoError(w.t, err)
}

// state reads a job's state from the store.
func (w *world) state(id string) work.State {
	w.t.Helper()
	var newest work.Record
	for i, key := range replica.JobKeys(testPool, id) {
		rows, _, err := w.store.Scan(context.Background(), key.Table, key.Part, key.Key, key.Key+"\x00")
		must.NoError(w.t, err)
		if len(rows) == 0 {
			continue
		}
		var rec work.Record
		must.NoError(w.t, work.Decode(rows[0].Value, &rec))
		if i == 0 || rec.Newer(&newest) {
			newest = rec
		}
	}
	return newest.State
}

// await waits until all jobs ended and fails after limit.
func (w *world) await(limit time.Duration) {
	w.t.Helper()
	until := time.Now().Add(limit)
	for {
		var open []string
		for _, id := range w.ids {
			if !w.state(id).Ended() {
				open = append(open, id)
			}
		}
		if len(open) == 0 {
			return
		}
		if time.Now().After(until) {
			w.t.Fatalf("not ended after %v: %s", limit, strings.Join(open, " "))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// owner reads which instance owns the pool from the store.
func (w *world) owner() string {
	w.t.Helper()
	rows, _, err := w.store.Scan(context.Background(), replica.Table, testPool, replica.EpochKey, replica.EpochKey+"\x00")
	must.NoError(w.t, err)
	must.Len(w.t, 1, rows)
	var epoch replica.Epoch
	must.NoError(w.t, work.Decode(rows[0].Value, &epoch))
	return epoch.Owner
}

func (w *world) intact() {
	w.t.Helper()
	for _, b := range w.pool.Broken() {
		w.t.Error(b)
	}
}

func touchesJobs(txn port.RowTxn) bool {
	for key := range txn.Puts {
		if key.Part != testPool {
			return true
		}
	}
	return false
}

var errTurnedAway = fault.New(fault.Overloaded, "too many calls")

// peers are the ways to the store through other instances.
func (in *instance) peers() []port.RowStore {
	if in.turned.Load() && !in.gone.Load() {
		return []port.RowStore{in.world.store}
	}
	return nil
}

var errGone = fault.New(fault.Unavailable, "the process is gone")

type gatedStore struct {
	in *instance
	port.RowStore
}

func (g *gatedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	if g.in.turned.Load() {
		return nil, 0, errTurnedAway
	}
	return g.RowStore.Feed(ctx, table, after, wait)
}

func (g *gatedStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	if g.in.turned.Load() {
		return 0, errTurnedAway
	}
	if g.in.gone.Load() {
		return 0, errGone
	}
	if g.in.mute.Load() || g.in.muteJobs.Load() && touchesJobs(txn) {
		<-ctx.Done()
		return 0, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	return g.RowStore.Commit(ctx, txn)
}

type gatedWorkers struct {
	in *instance
	port.WorkerCaller
}

func (g *gatedWorkers) Start(ctx context.Context, t port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.Rejection, error) {
	if g.in.gone.Load() {
		return port.WorkerClock{}, port.NotRejected, errGone
	}
	return g.WorkerCaller.Start(ctx, t, o)
}

func (g *gatedWorkers) Hold(ctx context.Context, t port.WorkerTarget, req port.HoldRequest) (port.HoldReply, error) {
	if g.in.gone.Load() {
		return port.HoldReply{}, errGone
	}
	if t.ID == g.in.slowAt {
		select {
		case <-time.After(g.in.slowHold):
		case <-ctx.Done():
			return port.HoldReply{}, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
		}
	}
	return g.WorkerCaller.Hold(ctx, t, req)
}

func single(count int, seconds float64) work.Step {
	return work.Step{Count: count, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 1}, Estimate: time.Duration(seconds * float64(time.Second))}
}

func gang(count int, accel int64, seconds float64) work.Step {
	s := single(count, seconds)
	s.Gang, s.Need.Accel = true, accel
	return s
}

// profile declares how long a job's tasks really take.
func (w *world) profile(id string, seconds float64, members int) {
	w.pool.Profile(id, fake.Profile{Work: time.Duration(seconds * float64(time.Second)), Gang: members})
}

func (in *instance) wall() time.Duration {
	return time.Duration(time.Now().UnixNano()) + in.wallAhead
}

// register tells the others of the instance, as its process does.
func (in *instance) register() {
	in.world.t.Helper()
	must.NoError(in.world.t, in.replica.Register(context.Background(), replica.Node{
		Name: in.name, Address: in.name, WallOffset: in.wall() - in.world.store.Now(),
	}))
}
