package fake

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// WorkerFaults says how one worker misbehaves. The zero value is healthy.
type WorkerFaults struct {
	Faults
	// Frozen pauses the worker with its tasks; calls wait for its end.
	Frozen bool
	// Crashed ends all leases at once and refuses every call.
	Crashed bool
	// Leaving refuses new leases.
	Leaving bool
	// FailStarts fails every task as it starts.
	FailStarts bool
	// UsageFactor multiplies the usage reported; 0 means 1.
	UsageFactor float64
	// CheckpointFails refuses checkpoints.
	CheckpointFails bool
	// CheckpointHangs blocks checkpoints until their context ends.
	CheckpointHangs bool
}

// agent is one worker with its leases. It is guarded by Workers.mu.
type agent struct {
	worker structs.Worker
	leases map[structs.LeaseID]*lease
	// ended holds the leases that were released or lapsed.
	ended    map[structs.LeaseID]struct{}
	faults   WorkerFaults
	frozenAt time.Time
	// thawed is closed when the worker runs again.
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

// setFaults replaces the faults and acts out freezing, thawing and crashing.
func (a *agent) setFaults(now time.Time, f WorkerFaults) {
	a.advance(now)
	was := a.faults.Frozen
	a.faults = f
	switch {
	case f.Frozen && !was:
		a.frozenAt = now
		a.thawed = make(chan struct{})
	case !f.Frozen && was:
		a.thaw(now)
	}
	if f.Crashed {
		a.endAll(now)
	}
}

// thaw lets the leases that ran out meanwhile lapse and the other tasks go on
// from where they were.
func (a *agent) thaw(now time.Time) {
	for _, l := range a.leases {
		if l.task != nil {
			l.task.updated = now
		}
	}
	close(a.thawed)
	a.advance(now)
}

func (a *agent) endAll(now time.Time) {
	for _, id := range a.ids() {
		a.end(a.leases[id], now, EventLeaseLapsed)
	}
}

// ids returns the leases in a fixed order, so that events have one too.
func (a *agent) ids() []structs.LeaseID {
	return slices.Sorted(maps.Keys(a.leases))
}

// advance brings all leases and tasks to now. A frozen worker does nothing.
func (a *agent) advance(now time.Time) {
	if a.faults.Frozen {
		return
	}
	for _, id := range a.ids() {
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
			a.taskEnded(l, at)
		}
	}
	if !l.expires.After(now) {
		a.end(l, l.expires, EventLeaseLapsed)
	}
}

func (a *agent) taskEnded(l *lease, at time.Time) {
	kind := EventTaskSucceeded
	if l.task.state == structs.TaskFailed {
		kind = EventTaskFailed
	}
	a.record(l, at, kind)
}

// end stops the lease's task and bars the lease for ever.
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
	if held, ok := a.leases[id]; ok {
		if held.accelerators != accelerators {
			return fault.New(fault.Refused, "lease is held with another size")
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
	l, err := a.held(id)
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
		a.taskEnded(l, now)
	}
	return nil
}

func (a *agent) release(now time.Time, id structs.LeaseID) {
	l, ok := a.leases[id]
	if !ok {
		// A reservation that is still on its way must be refused later.
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

// held returns a lease that is neither released nor lapsed.
func (a *agent) held(id structs.LeaseID) (*lease, error) {
	l, ok := a.leases[id]
	if !ok {
		return nil, fault.New(fault.Fenced, "lease isn't held")
	}
	return l, nil
}

// running returns a lease whose task runs.
func (a *agent) running(id structs.LeaseID) (*lease, error) {
	l, err := a.held(id)
	if err != nil {
		return nil, err
	}
	if l.task == nil || l.task.state != structs.TaskRunning {
		return nil, fault.New(fault.Refused, "task isn't running")
	}
	return l, nil
}

// awaitThaw blocks while the worker is frozen.
func awaitThaw(ctx context.Context, thawed <-chan struct{}) error {
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Uncertain, "worker is frozen", ctx.Err())
	}
}
