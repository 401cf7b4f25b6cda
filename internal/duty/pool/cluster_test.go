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
	// showLogs prints the instances' logs.
	showLogs = flag.Bool("show-logs", false, "print the instances' logs")
	// seeds is the number of seeds of the fault tests, starting at firstSeed.
	seeds     = flag.Uint64("seeds", 16, "number of seeds of the fault tests")
	firstSeed = flag.Uint64("first-seed", 0, "first seed of the fault tests")
)

func testLog() *zap.Logger {
	if *showLogs {
		return zap.Must(zap.NewDevelopment())
	}
	return zap.NewNop()
}

// cluster is a store, a pool of workers and the instances that may own it.
type cluster struct {
	t        *testing.T
	store    *fake.Rows
	pool     *fake.Pool
	registry port.WorkerRegistry
	workers  port.WorkerClient
	policy   *fakePolicy // nil if there is no policy service
	// evacuation returns the evacuated failure domains as its instances know them; nil for none.
	evacuation func() work.Evacuation
	// drops, if set, reports whether a call from an instance to a worker is dropped.
	drops     func(*instance, port.WorkerTarget) bool
	began     time.Time
	instances []*instance
	jobIDs    []string
	size      int // number of workers
}

// instance is one process. Its access to the store and the workers can be cut
// off, as by a kill.
type instance struct {
	cluster        *cluster
	name           string
	pool           string // that it may own
	incarnation    string
	killed         atomic.Bool
	dropCommits    atomic.Bool  // its commits are dropped and not answered
	dropJobCommits atomic.Bool  // its commits of job rows are dropped and not answered
	storeRejects   atomic.Bool  // the store rejects its calls, its peers do not
	holdsToLose    atomic.Int64 // its next holds that wait for a result are lost
	// slowHold delays its holds at the worker slowAt.
	slowHold time.Duration
	slowAt   string
	// wallAhead is how far its wall clock is ahead.
	wallAhead time.Duration
	// wrapStore, if set, changes its direct route to the store.
	wrapStore func(port.RowStore) port.RowStore
	// evacuation, if set, replaces that of the cluster. evacuateWithin is that of Deps.
	evacuation     func() work.Evacuation
	evacuateWithin time.Duration
	replica        *replica.Replica
	election       *Election
	cancel         context.CancelFunc
	done           sync.WaitGroup
}

func newCluster(t *testing.T, workers int) *cluster {
	c := &cluster{t: t, store: fake.NewRows(), pool: fake.NewPool(), began: time.Now(), size: workers}
	c.registry, c.workers = c.pool, c.pool
	for i := range workers {
		c.pool.Add(work.Worker{
			ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Pool: testPool, Rack: fmt.Sprintf("r%d", i/4),
			Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8},
		})
	}
	t.Cleanup(func() {
		for _, in := range c.instances {
			in.stop()
		}
	})
	return c
}

// slowClocks makes the clock of every other worker 2% slow.
func (c *cluster) slowClocks() {
	for i := 0; i < c.size; i += 2 {
		c.pool.SetClockRate(address(i), 1-maxClockSlowness)
	}
}

func address(worker int) string { return fmt.Sprintf("10.0.0.%d:1", worker) }

func (c *cluster) now() time.Duration { return time.Since(c.began) }

func (c *cluster) storeNow() time.Duration {
	now, ok := c.store.Now()
	must.True(c.t, ok)
	return now
}

func (c *cluster) launch() *instance { return c.launchWith(func(*instance) {}) }

func (c *cluster) launchWith(change func(*instance)) *instance {
	in := &instance{cluster: c, pool: testPool, name: fmt.Sprintf("instance-%d", len(c.instances)), incarnation: fmt.Sprint(len(c.instances))}
	change(in)
	c.instances = append(c.instances, in)
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	var direct port.RowStore = &faultyStore{in, c.store}
	if in.wrapStore != nil {
		direct = in.wrapStore(direct)
	}
	store := relay.New(direct, in.peers, c.now, zap.NewNop())
	rep := replica.New(store, zap.NewNop(), c.now)
	deps := Deps{
		Store: store, Workers: &faultyWorkerClient{in, c.workers}, Registry: c.registry, Replica: rep,
		Log: testLog().With(zap.String("in", in.name)), Now: c.now, Observer: NoObserver{}, WallClock: in.wallClock, Config: func() *work.Config { return nil }, Name: in.name, Incarnation: in.incarnation,
		Settings: planner.Settings{ReclaimWithin: 3 * time.Second}, MaxLease: 10 * time.Second, Retention: 2 * time.Minute, StoreHealth: store,
	}
	deps.Evacuation, deps.EvacuateWithin = c.evacuation, in.evacuateWithin
	if in.evacuation != nil {
		deps.Evacuation = in.evacuation
	}
	in.replica = rep
	in.done.Go(func() { rep.Run(ctx) })
	if c.policy != nil {
		deps.PolicyClient = c.policy
	}
	in.election = NewElection(deps, in.pool)
	in.done.Go(func() { in.election.Run(ctx) })
	return in
}

// kill stops the instance without a handover.
func (in *instance) kill() {
	in.killed.Store(true)
	in.stop()
}

// restart starts the next incarnation of a killed instance.
func (in *instance) restart() *instance {
	return in.cluster.launchWith(func(next *instance) { next.name, next.pool = in.name, in.pool })
}

func (in *instance) stop() {
	in.cancel()
	in.done.Wait()
}

func (c *cluster) submit(id string, steps ...work.Step) { c.submitAt(id, 0, steps...) }

func (c *cluster) submitAt(id string, priority int, steps ...work.Step) {
	c.t.Helper()
	c.submitJob(id, priority, work.Schedule{}, steps)
}

func (c *cluster) submitJob(id string, priority int, schedule work.Schedule, steps []work.Step) {
	c.t.Helper()
	job := work.Job{Schedule: schedule, ID: id, Pool: testPool, Priority: priority, Queue: "q", Spec: id, Steps: steps, MaxAttempts: 4, Stretch: 3, SubmittedAt: c.storeNow()}
	value, err := work.Encode(work.Record{Job: job, State: work.Queued})
	must.NoError(c.t, err)
	_, err = c.store.Commit(context.Background(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys(testPool, id)[0]: value}})
	must.NoError(c.t, err)
	c.jobIDs = append(c.jobIDs, id)
}

func (c *cluster) cancelJob(id string) {
	c.t.Helper()
	_, err := c.store.Commit(context.Background(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.CancelKeys(testPool, id)[0]: {1}}})
	must.NoError(c.t, err)
}

// state reads a job's state from the store.
func (c *cluster) state(id string) work.State {
	c.t.Helper()
	var newest work.Record
	for i, key := range replica.JobKeys(testPool, id) {
		rows, _, err := c.store.Scan(context.Background(), key.Table, key.Partition, key.Key, key.Key+"\x00")
		must.NoError(c.t, err)
		if len(rows) == 0 {
			continue
		}
		var rec work.Record
		must.NoError(c.t, work.Decode(rows[0].Value, &rec))
		if i == 0 || rec.Supersedes(&newest) {
			newest = rec
		}
	}
	return newest.State
}

// await waits until all jobs have ended and fails the test after limit.
func (c *cluster) await(limit time.Duration) {
	c.t.Helper()
	until := time.Now().Add(limit)
	for {
		var open []string
		for _, id := range c.jobIDs {
			if !c.state(id).Ended() {
				open = append(open, id)
			}
		}
		if len(open) == 0 {
			return
		}
		if time.Now().After(until) {
			c.t.Fatalf("not ended after %v: %s", limit, strings.Join(open, " "))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// owner reads the pool's owner from the store.
func (c *cluster) owner() string {
	c.t.Helper()
	rows, _, err := c.store.Scan(context.Background(), replica.Table, testPool, replica.EpochKey, replica.EpochKey+"\x00")
	must.NoError(c.t, err)
	must.Len(c.t, 1, rows)
	var epoch replica.Epoch
	must.NoError(c.t, work.Decode(rows[0].Value, &epoch))
	return epoch.Owner
}

func (c *cluster) checkInvariants() {
	c.t.Helper()
	for _, violation := range c.pool.Violations() {
		c.t.Error(violation)
	}
}

func touchesJobs(txn port.RowTxn) bool {
	for key := range txn.Puts {
		if key.Partition != testPool {
			return true
		}
	}
	return false
}

var errStoreRejects = fault.New(fault.Overloaded, "too many calls")

// peers returns the routes to the store through other instances.
func (in *instance) peers() []port.RowStore {
	if in.storeRejects.Load() && !in.killed.Load() {
		return []port.RowStore{in.cluster.store}
	}
	return nil
}

var errKilled = fault.New(fault.Unavailable, "the process was killed")

// faultyStore is an instance's direct route to the store. Its watches and commits
// fail as the instance's fault fields say.
type faultyStore struct {
	in *instance
	port.RowStore
}

func (f *faultyStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	if f.in.storeRejects.Load() {
		return nil, 0, errStoreRejects
	}
	return f.RowStore.Watch(ctx, table, after, wait)
}

func (f *faultyStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	if f.in.storeRejects.Load() {
		return 0, errStoreRejects
	}
	if f.in.killed.Load() {
		return 0, errKilled
	}
	if f.in.dropCommits.Load() || f.in.dropJobCommits.Load() && touchesJobs(txn) {
		<-ctx.Done()
		return 0, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	return f.RowStore.Commit(ctx, txn)
}

// faultyWorkerClient is an instance's connection to the workers. Its starts and
// holds fail once the instance is killed. It delays the holds at the worker slowAt.
type faultyWorkerClient struct {
	in *instance
	port.WorkerClient
}

func (f *faultyWorkerClient) Start(ctx context.Context, t port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	if f.drops(t) {
		return port.WorkerClock{}, port.NotRejected, lost(ctx)
	}
	if f.in.killed.Load() {
		return port.WorkerClock{}, port.NotRejected, errKilled
	}
	return f.WorkerClient.Start(ctx, t, o)
}

func (f *faultyWorkerClient) Stop(ctx context.Context, t port.WorkerTarget, task work.TaskID, run, fencingToken int64) (port.WorkerClock, error) {
	if f.drops(t) {
		return port.WorkerClock{}, lost(ctx)
	}
	return f.WorkerClient.Stop(ctx, t, task, run, fencingToken)
}

func (f *faultyWorkerClient) drops(t port.WorkerTarget) bool {
	return f.in.cluster.drops != nil && f.in.cluster.drops(f.in, t)
}

func (f *faultyWorkerClient) Hold(ctx context.Context, t port.WorkerTarget, req port.HoldRequest) (port.HoldReply, error) {
	if f.drops(t) {
		return port.HoldReply{}, lost(ctx)
	}
	if f.in.killed.Load() {
		return port.HoldReply{}, errKilled
	}
	if req.Wait > 0 && f.in.holdsToLose.Add(-1) >= 0 {
		<-ctx.Done()
		return port.HoldReply{}, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	if t.ID == f.in.slowAt {
		select {
		case <-time.After(f.in.slowHold):
		case <-ctx.Done():
			return port.HoldReply{}, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
		}
	}
	return f.WorkerClient.Hold(ctx, t, req)
}

func single(count int, seconds float64) work.Step {
	return work.Step{Count: count, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 1}, Estimate: time.Duration(seconds * float64(time.Second))}
}

func gang(count int, accel int64, seconds float64) work.Step {
	s := single(count, seconds)
	s.Gang, s.Need.Accel = true, accel
	return s
}

// setDuration sets how long a job's tasks run, which may differ from their
// estimate. members is the size of the job's gang, 0 if it has none.
func (c *cluster) setDuration(id string, seconds float64, members int) {
	c.pool.SetProfile(id, fake.Profile{RunTime: time.Duration(seconds * float64(time.Second)), GangSize: members})
}

func (in *instance) wallClock() time.Duration {
	return time.Duration(time.Now().UnixNano()) + in.wallAhead
}

// register announces the instance to its peers, as its process does.
func (in *instance) register() {
	in.cluster.t.Helper()
	must.NoError(in.cluster.t, in.replica.Register(context.Background(), replica.Instance{
		Name: in.name, Address: in.name, WallOffset: in.wallClock() - in.cluster.storeNow(),
	}))
}
