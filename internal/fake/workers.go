package fake

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// Workers is a set of workers with their agents. The payload of a task is a
// TaskPayload in JSON. Tasks progress with time.Now, so that they also run in
// virtual time. It is safe for concurrent use.
type Workers struct {
	injector      faultInjector
	objects       port.Objects
	usageInterval time.Duration

	mu        sync.Mutex
	workerIDs []string
	agents    map[string]*agent
	log       *eventLog
}

// NewWorkers returns healthy workers that store checkpoints in objects and refresh
// the reported usage of a task at most once per usageInterval.
func NewWorkers(objects port.Objects, usageInterval time.Duration, workers ...structs.Worker) *Workers {
	w := &Workers{
		objects:       objects,
		usageInterval: usageInterval,
		agents:        make(map[string]*agent),
		log:           &eventLog{},
	}
	for _, worker := range workers {
		w.workerIDs = append(w.workerIDs, worker.ID)
		w.agents[worker.ID] = newAgent(worker, w.log)
	}
	return w
}

// SetListFaults replaces the faults of the worker list.
func (w *Workers) SetListFaults(f Faults) {
	w.injector.set(f)
}

// SetFaults replaces the faults of the workers with the given IDs, or of all
// workers if none is given. Unknown IDs have no effect.
func (w *Workers) SetFaults(f WorkerFaults, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(ids) == 0 {
		ids = w.workerIDs
	}
	now := time.Now()
	for _, id := range ids {
		if a, ok := w.agents[id]; ok {
			a.setFaults(now, f)
		}
	}
}

// Events returns the events of all workers ordered by time, and the number of
// events beyond maxEvents that were dropped.
func (w *Workers) Events() ([]Event, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, id := range w.workerIDs {
		w.agents[id].advance(now)
	}
	return w.log.sorted(), w.log.dropped
}

// List implements port.Workers.
func (w *Workers) List(ctx context.Context) ([]structs.Worker, error) {
	if _, err := w.injector.beforeRead(ctx, "worker list"); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]structs.Worker, 0, len(w.workerIDs))
	for _, id := range w.workerIDs {
		a := w.agents[id]
		worker := a.worker
		if a.faults.Leaving {
			worker.State = structs.StateLeaving
		}
		out = append(out, worker)
	}
	return out, nil
}

// Reserve implements port.Workers.
func (w *Workers) Reserve(
	ctx context.Context, worker structs.Worker, id structs.LeaseID, accelerators int, ttl time.Duration,
) error {
	return w.call(ctx, worker.ID, func(a *agent, now time.Time) error {
		return a.reserve(now, id, accelerators, ttl)
	})
}

// Renew implements port.Workers.
func (w *Workers) Renew(
	ctx context.Context, worker structs.Worker, ids []structs.LeaseID, ttl time.Duration,
) ([]structs.LeaseStatus, error) {
	var out []structs.LeaseStatus
	err := w.call(ctx, worker.ID, func(a *agent, now time.Time) error {
		for _, id := range ids {
			if l, ok := a.leases[id]; ok {
				l.expires = now.Add(ttl)
			}
			out = append(out, a.status(now, id, w.usageInterval))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Start implements port.Workers.
func (w *Workers) Start(
	ctx context.Context, worker structs.Worker, id structs.LeaseID, payload []byte, checkpoint string,
) error {
	resumed, err := w.loadCheckpoint(ctx, checkpoint)
	if err != nil {
		return err
	}
	return w.call(ctx, worker.ID, func(a *agent, now time.Time) error {
		return a.start(now, id, payload, resumed)
	})
}

// Throttle implements port.Workers.
func (w *Workers) Throttle(
	ctx context.Context, worker structs.Worker, id structs.LeaseID, percent int,
) error {
	return w.call(ctx, worker.ID, func(a *agent, now time.Time) error {
		l, err := a.runningLease(id)
		if err != nil {
			return err
		}
		l.task.speedPercent = min(max(percent, 0), fullSpeedPercent)
		a.record(l, now, EventThrottled)
		return nil
	})
}

// Release implements port.Workers.
func (w *Workers) Release(ctx context.Context, worker structs.Worker, ids []structs.LeaseID) error {
	return w.call(ctx, worker.ID, func(a *agent, now time.Time) error {
		for _, id := range ids {
			a.release(now, id)
		}
		return nil
	})
}

// Checkpoint implements port.Workers. The task keeps running while its state is
// saved. A call for an object that the task has stored before has no effect.
func (w *Workers) Checkpoint(
	ctx context.Context, worker structs.Worker, id structs.LeaseID, object string,
) error {
	var save checkpointSave
	err := w.call(ctx, worker.ID, func(a *agent, _ time.Time) error {
		var err error
		save, err = a.beginCheckpoint(id, object)
		return err
	})
	if err != nil || save.done {
		return err
	}
	if save.hangs {
		<-ctx.Done()
		return fault.Wrap(fault.Uncertain, "checkpoint", ctx.Err())
	}
	if err := wait.For(ctx, save.duration); err != nil {
		return fault.Wrap(fault.Uncertain, "checkpoint", err)
	}
	if err := w.objects.Put(ctx, object, save.data); err != nil {
		return err
	}
	return w.call(ctx, worker.ID, func(a *agent, now time.Time) error {
		return a.endCheckpoint(now, id, object)
	})
}

// checkpointSave describes a checkpoint in progress.
type checkpointSave struct {
	data     []byte
	duration time.Duration
	hangs    bool
	// done is set if the task has stored the object before.
	done bool
}

func (a *agent) beginCheckpoint(id structs.LeaseID, object string) (checkpointSave, error) {
	l, err := a.runningLease(id)
	if err != nil {
		return checkpointSave{}, err
	}
	if _, ok := l.task.saved[object]; ok {
		return checkpointSave{done: true}, nil
	}
	if a.faults.CheckpointFails {
		return checkpointSave{}, fault.New(fault.Refused, "checkpoint failed")
	}
	data, err := json.Marshal(taskCheckpoint{ProgressMillis: l.task.progress.Milliseconds()})
	if err != nil {
		return checkpointSave{}, fault.Wrap(fault.Internal, "checkpoint", err)
	}
	duration := time.Duration(l.task.payload.StateMillis) * time.Millisecond
	return checkpointSave{data: data, duration: duration, hangs: a.faults.CheckpointHangs}, nil
}

func (a *agent) endCheckpoint(now time.Time, id structs.LeaseID, object string) error {
	l, err := a.activeLease(id)
	if err != nil {
		return err
	}
	l.task.saved[object] = struct{}{}
	a.record(l, now, EventCheckpointed)
	return nil
}

// loadCheckpoint returns the progress in a checkpoint, or 0 if object is empty. It
// fails with fault.Refused if the object doesn't exist or is invalid, and with
// fault.Unavailable if the object store fails.
func (w *Workers) loadCheckpoint(ctx context.Context, object string) (time.Duration, error) {
	if object == "" {
		return 0, nil
	}
	data, err := w.objects.Get(ctx, object)
	if fault.Is(err, fault.NotFound) {
		return 0, fault.Wrap(fault.Refused, "checkpoint doesn't exist", err)
	}
	if err != nil {
		return 0, err
	}
	var saved taskCheckpoint
	if err := json.Unmarshal(data, &saved); err != nil {
		return 0, fault.Wrap(fault.Refused, "checkpoint is invalid", err)
	}
	return time.Duration(saved.ProgressMillis) * time.Millisecond, nil
}

// call applies a worker's faults and runs f on its agent. It fails with
// fault.Unavailable if the worker is unknown or down, with fault.Uncertain if ctx
// ends first or the reply is lost, and otherwise with the error of f.
func (w *Workers) call(ctx context.Context, id string, f func(*agent, time.Time) error) error {
	faults, err := w.faults(id)
	if err != nil {
		return err
	}
	if err := faults.inject(ctx, "worker call", fault.Uncertain); err != nil {
		return err
	}
	if err := w.lockWhenThawed(ctx, id); err != nil {
		return err
	}
	defer w.mu.Unlock()
	a := w.agents[id]
	if a.faults.Crashed {
		return fault.New(fault.Unavailable, "worker is down")
	}
	now := time.Now()
	a.advance(now)
	return faults.mutationResult(f(a, now))
}

func (w *Workers) faults(id string) (Faults, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.agents[id]
	if !ok {
		return Faults{}, fault.New(fault.Unavailable, "unknown worker")
	}
	return a.faults.Faults, nil
}

// lockWhenThawed locks w.mu once the worker isn't frozen. If ctx ends first, it
// fails with fault.Uncertain and w.mu isn't locked.
func (w *Workers) lockWhenThawed(ctx context.Context, id string) error {
	for {
		w.mu.Lock()
		a := w.agents[id]
		if !a.faults.Frozen {
			return nil
		}
		thawed := a.thawed
		w.mu.Unlock()
		if err := awaitThaw(ctx, thawed); err != nil {
			return err
		}
	}
}
