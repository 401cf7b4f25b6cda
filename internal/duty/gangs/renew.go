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

// renewLoop renews every lease each LeaseRenew. It goes on through an outage
// of the table, when nobody can take over, but not after a pause of this
// process until the ownership was verified again.
func (d *Domain) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(d.settings.LeaseRenew)
	defer ticker.Stop()
	heard := make(map[string]time.Time)
	for {
		if d.deps.Usable() {
			d.renewRound(ctx, heard)
		} else {
			// Silence that this process slept through says nothing of a worker.
			clear(heard)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renewRound makes one call to each worker that holds leases. Heard is when
// each worker last answered.
func (d *Domain) renewRound(ctx context.Context, heard map[string]time.Time) {
	leases := d.leases.snapshot()
	for worker := range heard {
		if _, ok := leases[worker]; !ok {
			delete(heard, worker)
		}
	}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxRenewCalls)
	for worker, ids := range leases {
		g.Go(func() error {
			statuses, ok := d.renewWorker(ctx, worker, ids)
			mu.Lock()
			defer mu.Unlock()
			d.note(ctx, heard, worker, ids, statuses, ok)
			return nil
		})
	}
	// No renewal returns an error: a failure shows in heard.
	_ = g.Wait()
}

func (d *Domain) renewWorker(ctx context.Context, worker string, ids []structs.LeaseID) ([]structs.LeaseStatus, bool) {
	w, ok := d.deps.Fleet.Worker(worker)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.CallTimeout)
	defer cancel()
	statuses, err := d.deps.Workers.Renew(ctx, w, ids, d.settings.LeaseTTL)
	if err != nil {
		d.deps.Observer.LeaseRenewalFailed()
		d.log.Warn("lease_renewal_failed", zap.String("worker", worker), zap.Error(err))
		return nil, false
	}
	return statuses, true
}

// note passes on what a worker said; one that has been silent for a whole TTL
// has lost its leases.
func (d *Domain) note(ctx context.Context, heard map[string]time.Time, worker string, ids []structs.LeaseID, statuses []structs.LeaseStatus, ok bool) {
	now := time.Now()
	if ok {
		heard[worker] = now
		d.health.reached(worker)
		d.report(ctx, statuses)
		return
	}
	d.health.missed(worker)
	since, known := heard[worker]
	if !known {
		heard[worker] = now
		return
	}
	if now.Sub(since) > d.settings.LeaseTTL {
		d.report(ctx, gone(ids))
	}
}

func gone(ids []structs.LeaseID) []structs.LeaseStatus {
	out := make([]structs.LeaseStatus, len(ids))
	for i, id := range ids {
		out[i] = structs.LeaseStatus{Lease: id, State: structs.TaskGone}
	}
	return out
}

func (d *Domain) report(ctx context.Context, statuses []structs.LeaseStatus) {
	// The error is ctx's, which ends the runner.
	_ = d.events.PushWait(ctx, event{leases: &leaseReport{statuses: statuses}})
}
