package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/claims"
	"github.com/lentilwinch/lentilwinch/internal/duty/jobs"
	"github.com/lentilwinch/lentilwinch/internal/duty/ownership"
	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	fastInterval = 10 * time.Millisecond
	// countedHeartbeats is the number of renewals or polls counted for each
	// instance.
	countedHeartbeats = 20
	// outageTimeout bounds a commit while the table is down.
	outageTimeout = 50 * time.Millisecond
	// watchBackoffTime is the time until a watcher's interval between reads of an
	// unchanged job has grown to its maximum, which is watchWindow.
	watchBackoffTime = 1900 * time.Millisecond
	watchWindow      = 2 * time.Second
)

var errClaimFailed = fault.New(fault.Internal, "a claim failed")

func storeExperiments() []Experiment {
	return []Experiment{
		{
			Per:   "instance that shares the table",
			Sizes: []int{2, 4, 8, 16, 32},
			Outputs: []Output{
				{"session.rows.read", "rows read by one instance at each heartbeat", "rows"},
			},
			Run: runSessions,
		},
		{
			Per:     "failure domain",
			Sizes:   []int{2, 4, 8},
			Outputs: []Output{{"owner.rows.read", "rows read at each poll of the owner rows", "rows"}},
			Run:     runOwnership,
		},
		{
			Per:   "request that may not be repeated",
			Sizes: []int{64, 256, 1024},
			Outputs: []Output{
				{"claim.rows.written", "claim and outcome: rows written", "rows"},
				{"claim.commits", "claim and outcome, all at once: commits", "calls"},
				{"claim.cpu", "claim and outcome", "ns"},
				{"claim.bytes", "rows kept", "B"},
			},
			Run: runClaims,
		},
		{
			Per:   "request that may not be repeated, in an outage of the table",
			Sizes: []int{50, 100, 200},
			Outputs: []Output{
				{"settle.rows.written", "once the table is back: rows written", "rows"},
				{"settle.rows.read", "once the table is back: rows read", "rows"},
				{"settle.commits", "once the table is back: commits", "calls"},
			},
			Run: runResolve,
		},
		{
			Per:     "caller that watches a job",
			Sizes:   []int{10, 20, 40},
			Outputs: []Output{{"watch.rows.read", "rows read", "rows/s"}},
			Run:     runWatch,
		},
	}
}

// runSessions measures session heartbeats. An instance commits once and scans
// once per heartbeat.
func runSessions(ctx context.Context, n int) ([]float64, error) {
	table := fake.NewTable()
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	all := make([]*session.Session, n)
	for i := range all {
		name := fmt.Sprintf("instance-%d", i)
		self := session.Self{Instance: name, Domain: domainName, Address: "10.0.0.1:9000"}
		all[i] = session.New(session.Config{HeartbeatInterval: fastInterval, TTL: disabledInterval}, store.New(table, name), self)
		running.Go(func() { _ = all[i].Run(ctx) })
	}
	err := await(ctx, "wait for sessions", func() bool {
		live, _ := all[0].Live()
		return len(live) == n
	})
	if err != nil {
		return nil, err
	}
	before := table.Counts()
	err = await(ctx, "wait for heartbeats", func() bool { return table.Counts().Commits-before.Commits >= int64(n*countedHeartbeats) })
	c := table.Counts()
	return []float64{float64(c.RowsRead-before.RowsRead) / float64(c.Commits-before.Commits)}, err
}

func runOwnership(ctx context.Context, n int) ([]float64, error) {
	table := fake.NewTable()
	st := store.New(table, "i")
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	self := session.Self{Instance: "i", Domain: domainName, Address: "10.0.0.1:9000"}
	s := session.New(session.Config{HeartbeatInterval: awaitTimeout, TTL: disabledInterval}, st, self)
	names := domainNames(n)
	o := ownership.New(ownership.Config{Domains: func() []string { return names }, PollInterval: fastInterval}, st, s, self)
	running.Go(func() { _ = s.Run(ctx) })
	running.Go(func() { _ = o.Run(ctx) })
	if err := await(ctx, "wait for ownership", func() bool { return len(o.Owned()) == n }); err != nil {
		return nil, err
	}
	before := table.Counts()
	err := await(ctx, "wait for polls", func() bool { return table.Counts().Reads-before.Reads >= countedHeartbeats })
	c := table.Counts()
	return []float64{float64(c.RowsRead-before.RowsRead) / float64(c.Reads-before.Reads)}, err
}

func claimSettings() claims.Settings {
	return claims.Settings{
		Flush:         4 * time.Millisecond,
		Batch:         64,
		Commits:       4,
		CommitTimeout: 2 * time.Second,
		ResolveRetry:  250 * time.Millisecond,
	}
}

// runClaims claims and finishes n concurrent requests.
func runClaims(ctx context.Context, n int) ([]float64, error) {
	table := fake.NewTable()
	st := store.New(table, "i")
	if _, err := st.Commit(ctx, new(store.Txn).Create(store.SessionKey("i"), 1)); err != nil {
		return nil, err
	}
	var kept atomic.Int64
	table.OnCommit(func(txn port.Txn) { kept.Add(bytesOf(txn)) })
	c := claims.New(claimSettings(), st, fake.NewObjects(), func() string { return "i" }, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	before := table.Counts()
	var failed atomic.Int64
	cpu := cpuOf(func() {
		var g sync.WaitGroup
		for i := range n {
			g.Go(func() { failed.Add(claimOne(ctx, c, i)) })
		}
		g.Wait()
	})
	if failed.Load() > 0 {
		return nil, errClaimFailed
	}
	after := table.Counts()
	return []float64{
		float64(after.RowsWritten - before.RowsWritten),
		float64(after.Commits - before.Commits),
		cpu,
		float64(kept.Load()) / 2,
	}, nil
}

// bytesOf returns the size of a transaction's rows. runClaims halves the sum
// because a claim is written twice. The second write adds the answer, so half the
// sum is the mean of the two sizes, less than the size of the row that is kept.
func bytesOf(txn port.Txn) int64 {
	n := 0
	for _, w := range txn.Writes {
		n += len(w.Key) + len(w.Value)
	}
	return int64(n)
}

// claimOne claims and finishes a request. It returns 1 if the claim fails and 0
// otherwise.
func claimOne(ctx context.Context, c *claims.Claims, i int) int64 {
	claim, err := c.Claim(ctx, newRequest(i))
	if err != nil {
		return 1
	}
	c.Finish(ctx, claim, structs.Result{Outcome: structs.OutcomeDone, Answer: make([]byte, payloadBytes)})
	return 0
}

// runResolve refuses n requests while the table is down, as the requests duty does
// after a failed claim, and measures how their outcomes are recorded once the table
// is up again.
func runResolve(ctx context.Context, n int) ([]float64, error) {
	table := fake.NewTable()
	settings := claimSettings()
	settings.CommitTimeout = outageTimeout
	settings.ResolveRetry = outageTimeout
	c := claims.New(settings, store.New(table, "i"), fake.NewObjects(), func() string { return "i" }, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	table.SetFaults(fake.TableFaults{Down: true})
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() { refuseOne(ctx, c, i) })
	}
	g.Wait()
	table.SetFaults(fake.TableFaults{})
	err := await(ctx, "wait for outcomes to be recorded", func() bool { return c.Unresolved() == 0 })
	counts := table.Counts()
	return []float64{float64(counts.RowsWritten), float64(counts.RowsRead), float64(counts.Commits)}, err
}

func refuseOne(ctx context.Context, c *claims.Claims, i int) {
	claimCtx, cancel := context.WithTimeout(ctx, outageTimeout/2)
	defer cancel()
	// The claim fails because of the outage.
	_, _ = c.Claim(claimCtx, newRequest(i))
	recordCtx, cancel := context.WithTimeout(ctx, outageTimeout/2)
	defer cancel()
	c.RecordNotRun(recordCtx, newRequest(i), "the request could not be claimed")
}

func runWatch(ctx context.Context, n int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, 1, 1)
	if err != nil {
		return nil, err
	}
	if err := o.storeRunning(ctx, 0, 1, 0); err != nil {
		return nil, err
	}
	w := jobs.New(o.store, noPeers{}, nil, func() *structs.Config { return o.config }, noSummaries, nil)
	ctx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	for range n {
		g.Go(func() {
			_ = w.Watch(ctx, jobSpec(0, 1).Key, func(structs.Job, int64) error { return nil })
		})
	}
	sleep(ctx, watchBackoffTime)
	before := o.table.Counts()
	sleep(ctx, watchWindow)
	return []float64{float64(o.table.Counts().RowsRead-before.RowsRead) / watchWindow.Seconds()}, nil
}
