package capacity

import (
	"context"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/duty/gangs"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fastSettings returns settings with short intervals, so that renewals report
// completed tasks soon.
func (o *ownedDomain) fastSettings() gangs.Settings {
	s := o.settings()
	s.DecisionInterval = 5 * time.Millisecond
	s.LeaseRenewInterval = 20 * time.Millisecond
	s.InboxPollInterval = 20 * time.Millisecond
	return s
}

func runLifecycle(ctx context.Context, n, members int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, n*members, 1)
	if err != nil {
		return nil, err
	}
	o.workers.succeed.Store(true)
	before := o.table.Counts()
	var runErr error
	cpu := cpuOf(func() {
		o.start(ctx, o.fastSettings())
		runErr = o.completeJobs(ctx, n, members)
	})
	defer o.stop()
	c := o.table.Counts()
	return []float64{
		float64(c.RowsWritten - before.RowsWritten),
		float64(c.Commits - before.Commits),
		float64(c.RowsRead - before.RowsRead),
		cpu,
	}, runErr
}

// completeJobs submits n jobs and waits until all have succeeded.
func (o *ownedDomain) completeJobs(ctx context.Context, n, members int) error {
	for i := range n {
		if _, _, err := o.jobs.Submit(ctx, jobSpec(i, members)); err != nil {
			return err
		}
	}
	return await(ctx, "wait for jobs to succeed", func() bool { return o.completed.Load() == int64(n) })
}

// countCompletions counts the jobs whose index row is deleted, either because they
// have ended or because they have moved to another failure domain.
func (o *ownedDomain) countCompletions() {
	o.table.OnCommit(func(txn port.Txn) {
		for _, w := range txn.Writes {
			if w.Delete && strings.HasPrefix(w.Key, store.QueuePrefix) {
				o.completed.Add(1)
			}
		}
	})
}

func runGang(ctx context.Context, members int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, members, 1)
	if err != nil {
		return nil, err
	}
	o.start(ctx, o.fastSettings())
	defer o.stop()
	spec := jobSpec(0, members)
	if _, _, err := o.jobs.Submit(ctx, spec); err != nil {
		return nil, err
	}
	if err := await(ctx, "wait for gang to start", func() bool { return o.workers.starts.Load() >= int64(members) }); err != nil {
		return nil, err
	}
	rows, err := o.table.Get(ctx, store.JobKey(spec.Key))
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	o.workers.succeed.Store(true)
	if err := await(ctx, "wait for gang to end", func() bool { return o.completed.Load() == 1 }); err != nil {
		return nil, err
	}
	calls := o.workers.reserves.Load() + o.workers.starts.Load() + o.workers.releases.Load()
	return []float64{float64(calls), float64(len(rows[0].Value))}, nil
}

// runWorkerLoss makes all workers of running gangs unreachable and waits until
// every gang is queued.
func runWorkerLoss(ctx context.Context, n int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, n*gangMembers, 1)
	if err != nil {
		return nil, err
	}
	for i := range n {
		if err := o.storeRunning(ctx, i, gangMembers, i*gangMembers); err != nil {
			return nil, err
		}
	}
	s := o.fastSettings()
	s.LeaseTTL = 60 * time.Millisecond
	s.CallTimeout = 20 * time.Millisecond
	o.start(ctx, s)
	defer o.stop()
	if err := await(ctx, "wait for takeover", func() bool { return o.workers.renews.Load() >= int64(n*gangMembers) }); err != nil {
		return nil, err
	}
	before := o.table.Counts()
	o.workers.unreachable.Store(true)
	if err := await(ctx, "wait for gangs to be queued", func() bool { return o.jobsInState(structs.JobQueued) == n }); err != nil {
		return nil, err
	}
	c := o.table.Counts()
	return []float64{float64(c.RowsWritten - before.RowsWritten), float64(c.Commits - before.Commits)}, nil
}

// runInboxPolls submits jobs that find no free capacity and measures the runner's
// polls of the inbox. They run more often than in a daemon.
func runInboxPolls(ctx context.Context, n int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, 1, 1)
	if err != nil {
		return nil, err
	}
	if err := o.storeRunning(ctx, n, 1, 0); err != nil {
		return nil, err
	}
	s := o.settings()
	s.InboxPollInterval = inboxPollInterval
	o.start(ctx, s)
	defer o.stop()
	for i := range n {
		if _, _, err := o.jobs.Submit(ctx, jobSpec(i, 1)); err != nil {
			return nil, err
		}
	}
	if err := await(ctx, "wait for jobs to be queued", func() bool { return o.jobsInState(structs.JobQueued) == n }); err != nil {
		return nil, err
	}
	before := o.table.Counts()
	var pollErr error
	cpu := cpuOf(func() {
		pollErr = await(ctx, "wait for polls", func() bool { return o.table.Counts().Reads-before.Reads >= readsPerPoll*polls })
	})
	c := o.table.Counts()
	pollCount := float64(c.Reads-before.Reads) / readsPerPoll
	return []float64{float64(c.RowsRead-before.RowsRead) / pollCount, cpu / pollCount}, pollErr
}

// runMoveToOtherDomain queues gangs that are larger than the failure domain and
// measures their move to another one.
func runMoveToOtherDomain(ctx context.Context, n int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, gangMembers-1, 1)
	if err != nil {
		return nil, err
	}
	s := o.fastSettings()
	s.Domains = domainNames(2)
	for i := range n {
		if err := o.storeQueued(ctx, i); err != nil {
			return nil, err
		}
	}
	before := o.table.Counts()
	o.start(ctx, s)
	defer o.stop()
	if err := await(ctx, "wait for gangs to move", func() bool { return o.completed.Load() == int64(n) }); err != nil {
		return nil, err
	}
	return []float64{float64(o.table.Counts().RowsWritten - before.RowsWritten)}, nil
}

// storeQueued stores a queued gang in the state of a gang that lost its workers.
func (o *ownedDomain) storeQueued(ctx context.Context, i int) error {
	j := structs.Job{Spec: jobSpec(i, gangMembers), State: structs.JobQueued, Domain: domainName, Submitted: time.Now()}
	txn := new(store.Txn).Create(store.JobKey(j.Spec.Key), j)
	txn.Put(store.QueueKey(domainName, j.Spec.Key), gangs.QueueRecord{Key: j.Spec.Key})
	_, err := o.store.Commit(ctx, txn)
	return err
}
