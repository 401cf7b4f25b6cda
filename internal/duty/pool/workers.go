package pool

import (
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/follow"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/transfer"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// registryWatchWait bounds how long the draining of a worker goes unnoticed.
	// registryMinWatchInterval is the minimum delay between two watch calls. It
	// bounds how often a registry of many workers wakes the owner.
	registryWatchWait        = time.Second
	registryMinWatchInterval = 250 * time.Millisecond
	// registryTimeout is how long a full read may receive nothing.
	registryTimeout = 4 * time.Second
)

func (o *Owner) watchWorkers(ctx context.Context) {
	follow.Run(ctx, o.log, follow.Source{
		Name: "workers", MinWatchInterval: follow.ConstantInterval(registryMinWatchInterval),
		List: func(ctx context.Context) (int64, error) {
			ctx, _, cancel := transfer.WithStallTimeout(ctx, registryTimeout)
			defer cancel()
			list, version, err := o.deps.Registry.Workers(ctx)
			readAt := o.now()
			if err != nil {
				return 0, err
			}
			changes := make([]port.WorkerChange, len(list))
			for i := range list {
				changes[i] = port.WorkerChange{ID: list[i].ID, Worker: &list[i]}
			}
			o.send(ctx, event{kind: evWorkersListed, workers: changes, complete: true, readAt: readAt})
			return version, nil
		},
		Watch: func(ctx context.Context, after int64) (int64, error) {
			ctx, _, cancel := transfer.WithStallTimeout(ctx, registryWatchWait+registryTimeout/2)
			defer cancel()
			changes, next, err := o.deps.Registry.WatchWorkers(ctx, after, registryWatchWait)
			if err == nil && len(changes) > 0 {
				o.send(ctx, event{kind: evWorkersListed, workers: changes, readAt: o.now()})
			}
			return next, err
		},
	})
}

func (o *Owner) applyWorkers(ctx context.Context, ev event) {
	listed := map[string]bool{}
	for _, c := range ev.workers {
		listed[c.ID] = true
		if c.Worker != nil && c.Worker.Pool == o.pool {
			o.putWorker(ctx, *c.Worker, ev.readAt)
			continue
		}
		o.handleUnlisted(c.ID)
	}
	if !ev.complete {
		return
	}
	for id := range o.sessions {
		if !listed[id] {
			o.handleUnlisted(id)
		}
	}
}

func (o *Owner) handleUnlisted(id string) {
	if o.sessions[id] == nil {
		return
	}
	if o.planner.Listed(id) {
		o.planner.WorkerUnlisted(id)
		o.log.Info("worker no longer listed", zap.String("worker", id))
	}
	o.updateLeft(id)
}

// updateLeft has the list of workers stored again if the worker has left, or is back.
func (o *Owner) updateLeft(id string) {
	left := o.planner.HasLeft(id)
	switch {
	case left == o.left[id]:
		return
	case left:
		o.left[id] = true
	default:
		delete(o.left, id)
	}
	o.writer.workersChanged = true
}

// giveUpUnlisted has the capacity of unlisted workers no longer counted once the
// registry is complete. An outage of the store begins the wait for it anew, but at the
// latest the leases of these workers must have expired. Then those that can't be called
// are given up.
func (o *Owner) giveUpUnlisted(now time.Duration) {
	if len(o.unlisted) == 0 {
		return
	}
	leases := o.inheritedLeases()
	if o.deps.StoreHealth.UnavailableFor() > 0 {
		o.registryCompleteAt = max(o.registryCompleteAt, min(now+registryRecoveryTime, leases.confirmedUntil))
	}
	if complete := now >= o.registryCompleteAt; complete != o.registryComplete {
		o.registryComplete = complete
		o.writer.workersChanged = true
	}
	if now < leases.longestUntil {
		return
	}
	var givenUp []string
	for id := range o.unlisted {
		if o.sessions[id] == nil {
			givenUp = append(givenUp, id)
			delete(o.unlisted, id)
			o.writer.workersChanged = true
		}
	}
	if len(givenUp) > 0 {
		slices.Sort(givenUp)
		o.log.Info("previous owner's workers given up, their leases have expired", zap.Strings("workers", givenUp))
	}
}

// coldUntil returns when the worker of an entry that was read at readAt stops being slow, or
// a later time. ColdFor counts from the time at which the worker wrote the entry, which it
// rewrites every second or two. A new owner, or one whose watch had a gap, may read one that is
// older than that. The replica tells how old it is at least, by its version.
func (o *Owner) coldUntil(w *work.Worker, readAt time.Duration) time.Duration {
	if w.ColdFor <= 0 {
		return 0
	}
	if heldAt, ok := o.deps.Replica.HeldAt(w.EntryVersion); ok {
		readAt = min(readAt, heldAt)
	}
	return readAt + w.ColdFor
}

// putWorker takes over a registry entry that was read at readAt.
func (o *Owner) putWorker(ctx context.Context, w work.Worker, readAt time.Duration) {
	s := o.sessions[w.ID]
	if s != nil && s.target.Address != w.Address {
		o.endSession(s, "address changed")
		s = nil
	}
	if before, known := o.planner.Worker(w.ID); known && before.Incarnation != w.Incarnation {
		o.log.Info("worker described anew", zap.String("worker", w.ID), zap.Int64("born", w.Incarnation), zap.Int64("born_before", before.Incarnation),
			zap.Strings("labels", w.Labels), zap.String("rack", w.Rack), zap.Int64("version", w.EntryVersion))
	}
	if w.Draining && !o.planner.Draining(w.ID) {
		o.log.Info("worker draining", zap.String("worker", w.ID))
	}
	o.planner.PutWorker(w)
	o.planner.SetCold(w.ID, o.coldUntil(&w, readAt))
	if s != nil && !o.unlisted[w.ID] {
		o.updateLeft(w.ID)
		return
	}
	delete(o.unlisted, w.ID)
	o.writer.workersChanged = true
	o.log.Info("worker listed", zap.String("worker", w.ID), zap.String("rack", w.Rack), zap.Bool("draining", w.Draining))
	if s == nil {
		o.startSession(ctx, port.WorkerTarget{ID: w.ID, Address: w.Address, Domain: w.Zone})
	}
}

func (o *Owner) startSession(ctx context.Context, target port.WorkerTarget) {
	s := newSession(o, target)
	s.inherited = o.previous.byID[target.ID]
	ctx, s.cancel = context.WithCancel(ctx)
	o.sessions[target.ID] = s
	o.workerCount.Store(int64(len(o.sessions)))
	o.writer.workersChanged = true
	o.wg.Go(func() { s.run(ctx) })
}

func (o *Owner) endSession(s *session, why string) {
	s.cancel()
	delete(o.sessions, s.target.ID)
	delete(o.unlisted, s.target.ID)
	delete(o.left, s.target.ID)
	o.workerCount.Store(int64(len(o.sessions)))
	o.writer.workersChanged = true
	o.planner.WorkerLost(o.now(), s.target.ID, true, why)
}

// expireWorkers marks the runs of unreachable workers as lost once their leases
// must have expired. It ends the sessions of those that are no longer listed.
func (o *Owner) expireWorkers(now time.Duration) {
	inherited := o.inheritedLeases()
	for id, s := range o.sessions {
		confirmed, all := s.leasesExpired(now, inherited)
		switch {
		case !confirmed || !o.planner.MayHaveRuns(id) && (!all || o.planner.Listed(id)):
		case !all:
			o.planner.ConfirmedLeasesExpired(now, id)
		case o.planner.Listed(id):
			o.planner.WorkerLost(now, id, false, "lease expired")
		default:
			o.endSession(s, "left")
		}
	}
}

func (o *Owner) writeLogEntries() {
	for _, entry := range o.planner.TakeLogEntries() {
		o.writeLogEntry(&entry)
		o.observe(&entry)
	}
}

func (o *Owner) observe(entry *planner.LogEntry) {
	obs := o.deps.Observer
	obs.EventLogged(entry.Event)
	switch entry.Event {
	case planner.EventJobStarted:
		obs.JobStarted(entry.Priority, entry.Age)
	case planner.EventJobCompleted:
		obs.JobEnded(entry.Priority, string(work.Completed), entry.Age)
	case planner.EventJobFailed:
		obs.JobEnded(entry.Priority, string(work.Failed), entry.Age)
	case planner.EventJobCancelled:
		obs.JobEnded(entry.Priority, string(work.Cancelled), entry.Age)
	case planner.EventWorkDiscarded:
		obs.WorkDiscarded(entry.Detail, entry.Discarded)
	case planner.EventRecoveryFinished:
		obs.TakeoverFinished(o.now() - o.startedAt)
	}
}

func (o *Owner) writeLogEntry(entry *planner.LogEntry) {
	fields := make([]zap.Field, 0, 8)
	if entry.Job != "" {
		fields = append(fields, zap.String("job", entry.Job))
	}
	if entry.Worker != "" {
		fields = append(fields, zap.String("worker", entry.Worker))
	}
	if entry.Run != 0 {
		fields = append(fields, zap.Int("step", entry.Task.Step), zap.Int("index", entry.Task.Index), zap.Int64("run", entry.Run))
	}
	if entry.Age != 0 {
		fields = append(fields, zap.Duration("age", entry.Age))
	}
	if entry.Detail != "" {
		fields = append(fields, zap.String("detail", entry.Detail))
	}
	if entry.Discarded != 0 {
		fields = append(fields, zap.Float64("core_seconds", math.Round(entry.Discarded)))
	}
	o.log.Info(entry.Event, append(fields, zap.Int("count", entry.Count))...)
}

func (o *Owner) logResults(worker string, results []port.RunResult) {
	for i := range results {
		result := &results[i]
		o.log.Info("run ended", zap.String("job", result.Task.Job), zap.Int("step", result.Task.Step), zap.Int("index", result.Task.Index),
			zap.Int64("run", result.Run), zap.String("worker", worker), zap.Stringer("how", result.Kind), zap.Int64("sequence", result.Sequence))
		o.deps.Observer.RunEnded(result.Kind.String())
	}
}
