package pool

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// A lease that an owner asked for by the clock of a worker's former incarnation lasts for
// as long as the worker grants any. The owner may have known of the restart or not. So the
// next owner counts the longest lease unless a previous one has confirmed that a lease is
// no longer than asked for: that of a run by the job's record, that of a worker by the list
// of workers.

// inheritedLeases tells when the leases that previous owners asked for must have expired
// at a worker that doesn't answer. Both times are 0 if there was no previous owner.
type inheritedLeases struct {
	confirmedUntil time.Duration // of the confirmed leases
	longestUntil   time.Duration // of any lease
}

func (o *Owner) inheritedLeases() inheritedLeases {
	if o.epoch == 1 {
		return inheritedLeases{}
	}
	actedUntil := o.previousOwnerActsUntil()
	return inheritedLeases{confirmedUntil: actedUntil + lasting(leaseDuration), longestUntil: actedUntil + lasting(o.deps.MaxLease)}
}

// inheritedWorker is a worker that a previous owner used.
type inheritedWorker struct {
	incarnation int64
	// longLeaseUntil is when a lease has expired that may exceed what that owner asked for,
	// on the store's clock.
	longLeaseUntil time.Duration
}

// confirms reports whether no previous owner can have left a lease that exceeds what it
// asked for at the worker's given incarnation.
func (w *inheritedWorker) confirms(incarnation int64, store port.RowStore) bool {
	if w == nil {
		return true
	}
	now, known := store.Now()
	return incarnation == w.incarnation && known && now >= w.longLeaseUntil
}

// inheritedWorkersOf returns the workers of a previous owner's list by ID. Those of which
// it stored no more than the ID confirm nothing.
func inheritedWorkersOf(view *replica.PoolView) map[string]*inheritedWorker {
	out := make(map[string]*inheritedWorker, len(view.Workers))
	for _, id := range view.Workers {
		out[id] = &inheritedWorker{}
	}
	for i := range view.Capacity.Workers {
		if w := &view.Capacity.Workers[i]; out[w.ID] != nil {
			*out[w.ID] = inheritedWorker{incarnation: w.Incarnation, longLeaseUntil: w.LongLeaseUntil}
		}
	}
	return out
}

// listedLease is what the stored list of workers tells of a worker's lease.
type listedLease struct {
	incarnation int64
	longUntil   time.Duration // on the owner's clock
}

// updateLease takes over what the session has learned of the worker's leases. The list of
// workers is stored again with the next report of the queue lengths, so that many workers
// make few writes. Until then a successor finds another incarnation than the stored one.
func (o *Owner) updateLease(s *session) {
	incarnation, longUntil := s.identity()
	if learned := (listedLease{incarnation, longUntil}); learned != s.listed {
		s.listed = learned
		o.leasesChanged = true
		o.planner.SetLongLease(s.target.ID, longUntil)
	}
}

// recordLeases has stored what was learned of the leases of runs and workers.
func (o *Owner) recordLeases(now time.Duration) {
	o.planner.RecordConfirmedLeases(now)
	if o.leasesChanged {
		o.leasesChanged = false
		o.writer.workersChanged = true
	}
}
