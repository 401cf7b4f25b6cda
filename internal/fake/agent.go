package fake

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// WorkerFaults configures the faults of one worker. The zero value is healthy.
type WorkerFaults struct {
	Faults
	// Frozen pauses the worker and its tasks, but not the TTL of its leases. Calls
	// block until it is cleared or their context ends.
	Frozen bool
	// Crashed ends all leases immediately and fails every call with
	// fault.Unavailable.
	Crashed bool
	// Leaving rejects new leases and lists the worker as leaving.
	Leaving bool
	// FailStarts fails every task as it starts.
	FailStarts bool
	// UsageFactor multiplies the reported usage; 0 means 1.
	UsageFactor float64
	// CheckpointFails rejects checkpoints.
	CheckpointFails bool
	// CheckpointHangs blocks checkpoints until their context ends.
	CheckpointHangs bool
}

// agent is one worker with its leases. Workers.mu guards it.
type agent struct {
	worker structs.Worker
	leases map[structs.LeaseID]*lease
	// ended contains the leases that were released or have lapsed.
	ended    map[structs.LeaseID]struct{}
	faults   WorkerFaults
	frozenAt time.Time
	// thawed is closed when the freeze ends.
	thawed chan struct{}
	log    *eventLog
}

type lease struct {
	id           structs.LeaseID
	accelerators int
	expires      time.Time
	task         *task
}

func newAgent(w structs.Worker, log *eventLog) *agent {
	return &agent{
		worker: w,
		leases: make(map[structs.LeaseID]*lease),
		ended:  make(map[structs.LeaseID]struct{}),
		log:    log,
	}
}

func (a *agent) free() int {
	free := a.worker.Accelerators
	for _, l := range a.leases {
		free -= l.accelerators
	}
	return free
}

// setFaults replaces the faults and applies a freeze, a thaw or a crash.
func (a *agent) setFaults(now time.Time, f WorkerFaults) {
	a.advance(now)
	wasFrozen := a.faults.Frozen
	a.faults = f
	switch {
	case f.Frozen && !wasFrozen:
		a.frozenAt = now
		a.thawed = make(chan struct{})
	case !f.Frozen && wasFrozen:
		a.thaw(now)
	}
	if f.Crashed {
		a.endAllLeases(now)
	}
}

// thaw ends a freeze. Leases that expired during the freeze end; the other
// tasks resume at the progress that they had when it began.
func (a *agent) thaw(now time.Time) {
	for _, l := range a.leases {
		if l.task != nil {
			l.task.updated = now
		}
	}
	close(a.thawed)
	a.advance(now)
}

// endAllLeases ends every lease, expired or not, as in a crash.
func (a *agent) endAllLeases(now time.Time) {
	for _, id := range a.leaseIDs() {
		a.end(a.leases[id], now, EventLeaseLapsed)
	}
}

// leaseIDs returns the lease IDs sorted, which makes the order of events
// deterministic.
func (a *agent) leaseIDs() []structs.LeaseID {
	return slices.Sorted(maps.Keys(a.leases))
}

// advance updates all leases and tasks to now. It has no effect on a frozen
// worker.
func (a *agent) advance(now time.Time) {
	if a.faults.Frozen {
		return
	}
	for _, id := range a.leaseIDs() {
		a.advanceLease(a.leases[id], now)
	}
}

func (a *agent) advanceLease(l *lease, now time.Time) {
	until := now
	if l.expires.Before(now) {
		until = l.expires
	}
	if l.task != nil {
		if at, ended := l.task.advance(until); ended {
			a.recordResult(l, at)
		}
	}
	if !l.expires.After(now) {
		a.end(l, l.expires, EventLeaseLapsed)
	}
}

func (a *agent) recordResult(l *lease, at time.Time) {
	kind := EventTaskSucceeded
	if l.task.state == structs.TaskFailed {
		kind = EventTaskFailed
	}
	a.record(l, at, kind)
}

// end stops the lease's task and ends the lease permanently: its ID can't be
// reserved again.
func (a *agent) end(l *lease, at time.Time, kind EventKind) {
	if l.task != nil && l.task.state == structs.TaskRunning {
		a.record(l, at, EventTaskStopped)
	}
	a.record(l, at, kind)
	a.ended[l.id] = struct{}{}
	delete(a.leases, l.id)
}

func (a *agent) record(l *lease, at time.Time, kind EventKind) {
	a.log.add(Event{At: at, Kind: kind, Worker: a.worker.ID, Lease: l.id, Accelerators: l.accelerators})
}

func (a *agent) reserve(now time.Time, id structs.LeaseID, accelerators int, ttl time.Duration) error {
	if _, ok := a.ended[id]; ok {
		return fault.New(fault.Refused, "lease has ended")
	}
	if existing, ok := a.leases[id]; ok {
		if existing.accelerators != accelerators {
			return fault.New(fault.Refused, "lease exists with another size")
		}
		return nil
	}
	if a.faults.Leaving || a.worker.State == structs.StateLeaving {
		return fault.New(fault.Refused, "worker is leaving")
	}
	if accelerators < 1 || accelerators > a.free() {
		return fault.New(fault.Refused, "not enough free accelerators")
	}
	l := &lease{id: id, accelerators: accelerators, expires: now.Add(ttl)}
	a.leases[id] = l
	a.record(l, now, EventLeaseGranted)
	return nil
}

func (a *agent) start(now time.Time, id structs.LeaseID, payload []byte, resumed time.Duration) error {
	l, err := a.activeLease(id)
	if err != nil {
		return err
	}
	if l.task != nil {
		return nil
	}
	l.task = newTask(payload, resumed, now)
	a.record(l, now, EventTaskStarted)
	if a.faults.FailStarts {
		l.task.state = structs.TaskFailed
		a.recordResult(l, now)
	}
	return nil
}

func (a *agent) release(now time.Time, id structs.LeaseID) {
	l, ok := a.leases[id]
	if !ok {
		// A reservation that is still in flight must be rejected on arrival.
		a.ended[id] = struct{}{}
		return
	}
	a.end(l, now, EventLeaseReleased)
}

func (a *agent) status(now time.Time, id structs.LeaseID, lag time.Duration) structs.LeaseStatus {
	l, ok := a.leases[id]
	if !ok {
		return structs.LeaseStatus{Lease: id, State: structs.TaskNotFound}
	}
	if l.task == nil {
		return structs.LeaseStatus{Lease: id, State: structs.TaskReserved}
	}
	usage := l.task.usage(now, lag, l.accelerators)
	if factor := a.faults.UsageFactor; factor != 0 {
		usage = time.Duration(float64(usage) * factor)
	}
	return structs.LeaseStatus{Lease: id, State: l.task.state, Usage: usage}
}

// activeLease returns a lease that is neither released nor lapsed. It fails with
// fault.Fenced if there is no such lease.
func (a *agent) activeLease(id structs.LeaseID) (*lease, error) {
	l, ok := a.leases[id]
	if !ok {
		return nil, fault.New(fault.Fenced, "lease isn't active")
	}
	return l, nil
}

// runningLease returns a lease whose task is running. It fails with fault.Fenced
// if the lease isn't active, and with fault.Refused if its task isn't running.
func (a *agent) runningLease(id structs.LeaseID) (*lease, error) {
	l, err := a.activeLease(id)
	if err != nil {
		return nil, err
	}
	if l.task == nil || l.task.state != structs.TaskRunning {
		return nil, fault.New(fault.Refused, "task isn't running")
	}
	return l, nil
}

// awaitThaw blocks until thawed is closed. It fails with fault.Uncertain when
// ctx ends first.
func awaitThaw(ctx context.Context, thawed <-chan struct{}) error {
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Uncertain, "worker is frozen", ctx.Err())
	}
}
