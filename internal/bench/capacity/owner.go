package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/fleet"
	"github.com/lentilwinch/lentilwinch/internal/duty/gangs"
	"github.com/lentilwinch/lentilwinch/internal/duty/jobs"
	"github.com/lentilwinch/lentilwinch/internal/duty/ownership"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	domainName = "domain-0"
	// tasksPerWorker is the number of tasks of a fully used worker, and of its
	// accelerators. The planned deployment has about ten tasks per worker.
	tasksPerWorker = 10
	gangMembers    = 25
	// slowCall is the duration of a slow call to a worker. It is long enough for all
	// concurrent calls to begin.
	slowCall      = 100 * time.Millisecond
	measureWindow = 500 * time.Millisecond
	// publishWait is longer than the interval at which a domain publishes its
	// state.
	publishWait       = 600 * time.Millisecond
	disabledInterval  = time.Hour
	inboxPollInterval = 25 * time.Millisecond
	// polls is the number of inbox polls counted, readsPerPoll the number of reads
	// that each makes.
	polls        = 40
	readsPerPoll = 1
	// gcWait lets garbage collection finish before a measurement window.
	gcWait = 50 * time.Millisecond
)

// ownedDomain is a failure domain's runner with a fake table and stub workers.
type ownedDomain struct {
	table     *fake.Table
	store     *store.Store
	workers   *stubWorkers
	fleet     *fleet.Fleet
	config    *structs.Config
	grant     ownership.Grant
	runner    *gangs.Runner
	jobs      *jobs.Jobs
	completed atomic.Int64
	cancel    context.CancelFunc
	done      chan struct{}
}

// newOwnedDomain returns a failure domain whose runner isn't started. accelerators
// is the number per worker.
func newOwnedDomain(ctx context.Context, workers, accelerators int) (*ownedDomain, error) {
	o := &ownedDomain{table: fake.NewTable(), workers: newStubWorkers(domainName, workers, accelerators), done: make(chan struct{})}
	o.store = store.New(o.table, "capacity")
	o.config = newConfig(workspaces(1, domainName, 0))
	owner := ownership.Owner{Incarnation: "i", Instance: "i", Epoch: 1}
	revision, err := o.store.Commit(ctx, new(store.Txn).Create(store.OwnerKey(domainName), owner))
	if err != nil {
		return nil, err
	}
	o.countCompletions()
	o.grant = ownership.Grant{Domain: domainName, Incarnation: "i", Epoch: 1, Revision: revision}
	o.fleet, err = loadedFleet(ctx, o.workers)
	return o, err
}

// loadedFleet returns an inventory that has been read once.
func loadedFleet(ctx context.Context, w *stubWorkers) (*fleet.Fleet, error) {
	f := fleet.New(w, disabledInterval, awaitTimeout, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	err := await(ctx, "wait for inventory", func() bool { return f.Len() == len(w.workers) })
	cancel()
	<-done
	return f, err
}

// storeRunning stores job i as a running gang with one member on each accelerator.
// from is the index of the first accelerator, counted over all workers.
func (o *ownedDomain) storeRunning(ctx context.Context, i, members, from int) error {
	j := structs.Job{Spec: jobSpec(i, members), State: structs.JobRunning, Domain: domainName, Attempt: 1, Borrowed: true, Submitted: time.Now(), Started: time.Now()}
	for m := range members {
		w := o.workers.workers[(from+m)/o.workers.workers[0].Accelerators]
		j.Members = append(j.Members, structs.Member{Worker: w.ID, Rack: w.Rack, Lease: structs.MemberLeaseID(j.Spec.Key, 1, m)})
	}
	txn := new(store.Txn).Create(store.JobKey(j.Spec.Key), j)
	txn.Put(store.QueueKey(domainName, j.Spec.Key), gangs.QueueRecord{Key: j.Spec.Key})
	_, err := o.store.Commit(ctx, txn)
	return err
}

func (o *ownedDomain) settings() gangs.Settings {
	return gangs.Settings{
		DecisionInterval:   100 * time.Millisecond,
		InboxPollInterval:  disabledInterval,
		LeaseTTL:           15 * time.Second,
		LeaseRenewInterval: disabledInterval,
		CallTimeout:        time.Second,
		CheckpointTimeout:  time.Second,
		MaxFailures:        3,
		Domains:            []string{domainName},
	}
}

func (o *ownedDomain) start(ctx context.Context, s gangs.Settings) {
	ctx, o.cancel = context.WithCancel(ctx)
	o.runner = gangs.NewRunner(s, gangs.Deps{
		Store:           o.store,
		Workers:         o.workers,
		Fleet:           o.fleet,
		Config:          func() *structs.Config { return o.config },
		SessionUsable:   func() bool { return true },
		ConfigFresh:     func() bool { return true },
		DomainSummaries: noSummaries,
		Observer:        noObserver{},
		Log:             zap.NewNop(),
	}, o.grant)
	wake := func(string) { o.runner.Wake() }
	o.jobs = jobs.New(o.store, noPeers{}, []string{domainName}, func() *structs.Config { return o.config }, noSummaries, wake)
	go func() {
		defer close(o.done)
		_ = o.runner.Run(ctx)
	}()
}

func (o *ownedDomain) stop() {
	o.cancel()
	<-o.done
}

// jobsInState returns the number of the runner's jobs in a state.
func (o *ownedDomain) jobsInState(state structs.JobState) int {
	return o.runner.State().ByState[string(state)]
}

func ownerExperiments() []Experiment {
	return []Experiment{
		{
			Per:   "worker with 10 tasks in gangs of 25",
			Sizes: []int{80, 160, 320},
			Outputs: []Output{
				{"domain.heap", "failure domain's runner, live heap", "B"},
				{"domain.load.cpu", "takeover: load and first renewal", "ns"},
				{"domain.load.rows", "takeover: rows read", "rows"},
				{"domain.load.calls", "takeover: calls to workers", "calls"},
				{"domain.idle.cpu", "runner, nothing waits", "ns/s"},
				{"domain.wait.cpu", "runner, one gang waits", "ns/s"},
			},
			Run: runDomain,
		},
		{
			Per:     "worker with 10 tasks in gangs of 25",
			Sizes:   []int{80, 160, 320},
			Outputs: []Output{{"domain.load.peak", "takeover: calls to workers at once", "calls"}},
			Run:     runTakeoverPeak,
		},
		{
			Per:     "task in 40 gangs",
			Sizes:   []int{160, 640, 2560},
			Outputs: []Output{{"task.heap", "runner's live heap for a task", "B"}},
			Run:     func(ctx context.Context, n int) ([]float64, error) { return heapOfGangs(ctx, 40, n/40) },
		},
		{
			Per:     "job of one task",
			Sizes:   []int{100, 400, 1600},
			Outputs: []Output{{"job.heap", "runner's live heap for a job with its task", "B"}},
			Run:     func(ctx context.Context, n int) ([]float64, error) { return heapOfGangs(ctx, n, 1) },
		},
		{
			Per:   "job of one task",
			Sizes: []int{25, 50, 100},
			Outputs: []Output{
				{"job.rows.written", "submit to succeeded: rows written", "rows"},
				{"job.commits", "submit to succeeded: commits", "calls"},
				{"job.rows.read", "submit to succeeded: rows read", "rows"},
				{"job.cpu", "submit to succeeded", "ns"},
			},
			Run: func(ctx context.Context, n int) ([]float64, error) { return runLifecycle(ctx, n, 1) },
		},
		{
			Per:   "task of one gang",
			Sizes: []int{16, 64, 256},
			Outputs: []Output{
				{"task.calls", "start and end of a gang: calls to workers", "calls"},
				{"task.row.bytes", "job row", "B"},
			},
			Run: runGang,
		},
		{
			Per:   "job that waits",
			Sizes: []int{25, 50, 100},
			Outputs: []Output{
				{"waiting.rows.read", "one poll of the inbox: rows read", "rows"},
				{"waiting.cpu", "one poll of the inbox, fake table included", "ns"},
			},
			Run: runInboxPolls,
		},
		{
			Per:   "gang of 25 that goes to another failure domain",
			Sizes: []int{10, 20, 40},
			Outputs: []Output{
				{"moved.rows.written", "until it is in the other's queue: rows written", "rows"},
			},
			Run: runMoveToOtherDomain,
		},
		{
			Per:   "gang of 25 whose workers are lost",
			Sizes: []int{10, 20, 40},
			Outputs: []Output{
				{"lost.rows.written", "until it waits again: rows written", "rows"},
				{"lost.commits", "until it waits again: commits", "calls"},
			},
			Run: runWorkerLoss,
		},
	}
}

func noSummaries() []port.DomainSummary { return nil }

// runDomain measures the runner of a fully used failure domain during takeover,
// while idle, and while a gang that doesn't fit waits.
func runDomain(ctx context.Context, workers int) ([]float64, error) {
	tasks := workers * tasksPerWorker
	o, err := newFullDomain(ctx, workers)
	if err != nil {
		return nil, err
	}
	heap, read := heapBytes(), o.table.Counts().RowsRead
	var loadErr error
	load := cpuOf(func() { loadErr = o.takeOver(ctx, workers) })
	defer o.stop()
	if loadErr != nil {
		return nil, loadErr
	}
	out := []float64{0, load, float64(o.table.Counts().RowsRead - read), float64(o.workers.calls())}
	sleep(ctx, publishWait)
	out[0] = heapBytes() - heap
	out = append(out, cpuPerSecond(ctx))
	if _, _, err := o.jobs.Submit(ctx, jobSpec(tasks, 1)); err != nil {
		return nil, err
	}
	if err := await(ctx, "wait for job to be queued", func() bool { return o.jobsInState(structs.JobQueued) == 1 }); err != nil {
		return nil, err
	}
	return append(out, cpuPerSecond(ctx)), nil
}

// newFullDomain returns a failure domain whose workers run ten tasks each.
func newFullDomain(ctx context.Context, workers int) (*ownedDomain, error) {
	o, err := newOwnedDomain(ctx, workers, tasksPerWorker)
	if err != nil {
		return nil, err
	}
	for i := range workers * tasksPerWorker / gangMembers {
		if err := o.storeRunning(ctx, i, gangMembers, i*gangMembers); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// runTakeoverPeak measures the largest number of concurrent calls to workers
// during a takeover. The workers respond slowly, so that the calls overlap.
func runTakeoverPeak(ctx context.Context, workers int) ([]float64, error) {
	o, err := newFullDomain(ctx, workers)
	if err != nil {
		return nil, err
	}
	o.workers.callDelay = slowCall
	err = o.takeOver(ctx, workers)
	defer o.stop()
	return []float64{float64(o.workers.peak.Load())}, err
}

// takeOver starts the runner and waits until it has renewed the leases of every
// worker.
func (o *ownedDomain) takeOver(ctx context.Context, workers int) error {
	o.start(ctx, o.settings())
	return await(ctx, "wait for takeover", func() bool { return o.workers.renews.Load() >= int64(workers) })
}

// cpuPerSecond returns the processor time per second, in nanoseconds, that this
// process uses during measureWindow.
func cpuPerSecond(ctx context.Context) float64 {
	runtime.GC()
	sleep(ctx, gcWait)
	before := cpuTime()
	sleep(ctx, measureWindow)
	return float64(cpuTime()-before) / measureWindow.Seconds()
}

// heapOfGangs returns the live heap in bytes that a runner with running gangs adds.
func heapOfGangs(ctx context.Context, gangCount, members int) ([]float64, error) {
	tasks := gangCount * members
	workers := (tasks + tasksPerWorker - 1) / tasksPerWorker
	o, err := newOwnedDomain(ctx, workers, tasksPerWorker)
	if err != nil {
		return nil, err
	}
	for i := range gangCount {
		if err := o.storeRunning(ctx, i, members, i*members); err != nil {
			return nil, err
		}
	}
	heap := heapBytes()
	err = o.takeOver(ctx, workers)
	defer o.stop()
	sleep(ctx, publishWait)
	return []float64{heapBytes() - heap}, err
}

func domainNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("domain-%d", i)
	}
	return slices.Clip(out)
}
