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

// fastSettings renews often, so that ends are seen soon.
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
		runErr = o.finishAll(ctx, n, members)
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

// finishAll submits jobs and waits until all have succeeded.
func (o *ownedDomain) finishAll(ctx context.Context, n, members int) error {
	for i := range n {
		if _, _, err := o.jobs.Submit(ctx, jobSpec(i, members)); err != nil {
			return err
		}
	}
	return await(ctx, "jobs to succeed", func() bool { return o.ended.Load() == int64(n) })
}

// watchEnds counts the jobs whose index row is deleted.
func (o *ownedDomain) watchEnds() {
	o.table.OnCommit(func(txn port.Txn) {
		for _, w := range txn.Writes {
			if w.Delete && strings.HasPrefix(w.Key, store.QueuePrefix) {
				o.ended.Add(1)
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
	if err := await(ctx, "gang to start", func() bool { return o.workers.starts.Load() >= int64(members) }); err != nil {
		return nil, err
	}
	rows, err := o.table.Get(ctx, store.JobKey(spec.Key))
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	o.workers.succeed.Store(true)
	if err := await(ctx, "gang to end", func() bool { return o.ended.Load() == 1 }); err != nil {
		return nil, err
	}
	calls := o.workers.reserves.Load() + o.workers.starts.Load() + o.workers.frees.Load()
	return []float64{float64(calls), float64(len(rows[0].Value))}, nil
}

// runLost takes all workers away from running gangs until every gang waits.
func runLost(ctx context.Context, n int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, n*gangMembers, 1)
	if err != nil {
		return nil, err
	}
	for i := range n {
		if err := o.putRunning(ctx, i, gangMembers, i*gangMembers); err != nil {
			return nil, err
		}
	}
	s := o.fastSettings()
	s.LeaseTTL = 60 * time.Millisecond
	s.CallTimeout = 20 * time.Millisecond
	o.start(ctx, s)
	defer o.stop()
	if err := await(ctx, "takeover", func() bool { return o.workers.renews.Load() >= int64(n*gangMembers) }); err != nil {
		return nil, err
	}
	before := o.table.Counts()
	o.workers.lost.Store(true)
	if err := await(ctx, "gangs to wait", func() bool { return o.inState(structs.JobQueued) == n }); err != nil {
		return nil, err
	}
	c := o.table.Counts()
	return []float64{float64(c.RowsWritten - before.RowsWritten), float64(c.Commits - before.Commits)}, nil
}

// runWaiting submits jobs that find no room and polls the inbox as a daemon
// does.
func runWaiting(ctx context.Context, n int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, 1, 1)
	if err != nil {
		return nil, err
	}
	if err := o.putRunning(ctx, n, 1, 0); err != nil {
		return nil, err
	}
	s := o.settings()
	s.InboxPollInterval = inboxPoll
	o.start(ctx, s)
	defer o.stop()
	for i := range n {
		if _, _, err := o.jobs.Submit(ctx, jobSpec(i, 1)); err != nil {
			return nil, err
		}
	}
	if err := await(ctx, "jobs to wait", func() bool { return o.inState(structs.JobQueued) == n }); err != nil {
		return nil, err
	}
	before := o.table.Counts()
	var pollErr error
	cpu := cpuOf(func() {
		pollErr = await(ctx, "polls", func() bool { return o.table.Counts().Reads-before.Reads >= readsPerPoll*polls })
	})
	c := o.table.Counts()
	made := float64(c.Reads-before.Reads) / readsPerPoll
	return []float64{float64(c.RowsRead-before.RowsRead) / made, cpu / made}, pollErr
}

// runMoved queues gangs that are larger than the failure domain.
func runMoved(ctx context.Context, n int) ([]float64, error) {
	o, err := newOwnedDomain(ctx, gangMembers-1, 1)
	if err != nil {
		return nil, err
	}
	s := o.fastSettings()
	s.Domains = domainNames(2)
	for i := range n {
		if err := o.putQueued(ctx, i); err != nil {
			return nil, err
		}
	}
	before := o.table.Counts()
	o.start(ctx, s)
	defer o.stop()
	if err := await(ctx, "gangs to move", func() bool { return o.ended.Load() == int64(n) }); err != nil {
		return nil, err
	}
	return []float64{float64(o.table.Counts().RowsWritten - before.RowsWritten)}, nil
}

// putQueued records a gang that waits, as one whose workers were lost does.
func (o *ownedDomain) putQueued(ctx context.Context, i int) error {
	j := structs.Job{Spec: jobSpec(i, gangMembers), State: structs.JobQueued, Domain: domainName, Submitted: time.Now()}
	txn := new(store.Txn).Create(store.JobKey(j.Spec.Key), j)
	txn.Put(store.QueueKey(domainName, j.Spec.Key), gangs.QueueRecord{Key: j.Spec.Key})
	_, err := o.store.Commit(ctx, txn)
	return err
}
