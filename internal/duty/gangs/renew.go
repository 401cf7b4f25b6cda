package gangs

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// leaseTable holds the leases to renew, by worker. It is safe for concurrent
// use.
type leaseTable struct {
	mu       sync.Mutex
	byWorker map[string]map[structs.LeaseID]struct{}
}

func newLeaseTable() *leaseTable {
	return &leaseTable{byWorker: make(map[string]map[structs.LeaseID]struct{})}
}

func (t *leaseTable) add(members []structs.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if t.byWorker[m.Worker] == nil {
			t.byWorker[m.Worker] = make(map[structs.LeaseID]struct{})
		}
		t.byWorker[m.Worker][m.Lease] = struct{}{}
	}
}

func (t *leaseTable) remove(members []structs.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		delete(t.byWorker[m.Worker], m.Lease)
		if len(t.byWorker[m.Worker]) == 0 {
			delete(t.byWorker, m.Worker)
		}
	}
}

func (t *leaseTable) snapshot() map[string][]structs.LeaseID {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]structs.LeaseID, len(t.byWorker))
	for worker, leases := range t.byWorker {
		for id := range leases {
			out[worker] = append(out[worker], id)
		}
	}
	return out
}

// renewLoop renews every lease once per LeaseRenewInterval. It continues while
// the table is unavailable, because nobody can take over then. After a pause of
// this process it renews nothing until ownership was verified again.
func (r *Runner) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(r.settings.LeaseRenewInterval)
	defer ticker.Stop()
	lastContact := make(map[string]time.Time)
	for {
		if r.deps.SessionUsable() {
			r.renewRound(ctx, lastContact)
		} else {
			// Time without contact during a pause of this process must not count
			// against the workers.
			clear(lastContact)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renewRound makes one call to each worker that holds leases. lastContact holds
// the time of each worker's last reply, or of its first failed renewal if it has
// never replied.
func (r *Runner) renewRound(ctx context.Context, lastContact map[string]time.Time) {
	leases := r.leases.snapshot()
	for worker := range lastContact {
		if _, ok := leases[worker]; !ok {
			delete(lastContact, worker)
		}
	}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentRenewals)
	for worker, ids := range leases {
		g.Go(func() error {
			statuses, ok := r.renewWorker(ctx, worker, ids)
			mu.Lock()
			defer mu.Unlock()
			r.recordRenewal(ctx, lastContact, worker, ids, statuses, ok)
			return nil
		})
	}
	// The functions return no errors. recordRenewal handles failed renewals.
	_ = g.Wait()
}

func (r *Runner) renewWorker(ctx context.Context, worker string, ids []structs.LeaseID) ([]structs.LeaseStatus, bool) {
	w, ok := r.deps.Fleet.Worker(worker)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	statuses, err := r.deps.Workers.Renew(ctx, w, ids, r.settings.LeaseTTL)
	if err != nil {
		r.deps.Observer.LeaseRenewalFailed()
		r.log.Warn("lease_renewal_failed", zap.String("worker", worker), zap.Error(err))
		return nil, false
	}
	return statuses, true
}

// recordRenewal reports the lease states that a worker returned. The leases of a
// worker without contact for longer than LeaseTTL are reported as lost.
func (r *Runner) recordRenewal(ctx context.Context, lastContact map[string]time.Time, worker string, ids []structs.LeaseID, statuses []structs.LeaseStatus, ok bool) {
	now := time.Now()
	if ok {
		lastContact[worker] = now
		r.health.renewed(worker)
		r.sendReport(ctx, statuses)
		return
	}
	r.health.missedRenewal(worker)
	since, contacted := lastContact[worker]
	if !contacted {
		lastContact[worker] = now
		return
	}
	if now.Sub(since) > r.settings.LeaseTTL {
		r.sendReport(ctx, lostLeases(ids))
	}
}

func lostLeases(ids []structs.LeaseID) []structs.LeaseStatus {
	out := make([]structs.LeaseStatus, len(ids))
	for i, id := range ids {
		out[i] = structs.LeaseStatus{Lease: id, State: structs.TaskNotFound}
	}
	return out
}

func (r *Runner) sendReport(ctx context.Context, statuses []structs.LeaseStatus) {
	// The only error is ctx's, which also stops the runner.
	_ = r.events.PushWait(ctx, event{leases: &leaseReport{statuses: statuses}})
}
