package pool

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/follow"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// registryWatchWait bounds how long the draining of a worker goes unnoticed.
	// registryMinWatchInterval is the minimum delay between two watch calls. It
	// bounds how often a registry of many workers wakes the owner.
	registryWatchWait        = time.Second
	registryMinWatchInterval = 250 * time.Millisecond
	registryTimeout          = 4 * time.Second
)

func (o *Owner) watchWorkers(ctx context.Context) {
	follow.Run(ctx, o.log, follow.Source{
		Name: "workers", MinWatchInterval: follow.ConstantInterval(registryMinWatchInterval),
		List: func(ctx context.Context) (int64, error) {
			ctx, cancel := context.WithTimeout(ctx, registryTimeout)
			defer cancel()
			list, version, err := o.deps.Registry.Workers(ctx)
			if err != nil {
				return 0, err
			}
			changes := make([]port.WorkerChange, len(list))
			for i := range list {
				changes[i] = port.WorkerChange{ID: list[i].ID, Worker: &list[i]}
			}
			o.send(ctx, event{kind: evWorkersListed, workers: changes, complete: true})
			return version, nil
		},
		Watch: func(ctx context.Context, after int64) (int64, error) {
			ctx, cancel := context.WithTimeout(ctx, registryWatchWait+registryTimeout/2)
			defer cancel()
			changes, next, err := o.deps.Registry.WatchWorkers(ctx, after, registryWatchWait)
			if err == nil && len(changes) > 0 {
				o.send(ctx, event{kind: evWorkersListed, workers: changes})
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
			o.putWorker(ctx, *c.Worker)
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
	if s := o.sessions[id]; s != nil {
		o.planner.WorkerUnlisted(id)
		o.log.Info("worker no longer listed", zap.String("worker", id))
	}
}

func (o *Owner) putWorker(ctx context.Context, w work.Worker) {
	s := o.sessions[w.ID]
	if s != nil && s.target.Address != w.Address {
		o.endSession(s, "address changed")
		s = nil
	}
	if w.Draining && !o.planner.Draining(w.ID) {
		o.log.Info("worker draining", zap.String("worker", w.ID))
		o.writer.workersChanged = true
	}
	o.planner.PutWorker(w)
	if s != nil {
		return
	}
	o.log.Info("worker listed", zap.String("worker", w.ID), zap.String("rack", w.Rack), zap.Bool("draining", w.Draining))
	s = newSession(o, port.WorkerTarget{ID: w.ID, Address: w.Address})
	ctx, s.cancel = context.WithCancel(ctx)
	o.sessions[w.ID] = s
	o.writer.workersChanged = true
	o.wg.Go(func() { s.run(ctx) })
}

func (o *Owner) endSession(s *session, why string) {
	s.cancel()
	delete(o.sessions, s.target.ID)
	o.writer.workersChanged = true
	o.planner.WorkerLost(o.now(), s.target.ID, true, why)
}

// expireWorkers marks the runs of unreachable workers as lost once their leases
// must have expired. It ends the sessions of those that are no longer listed.
func (o *Owner) expireWorkers(now time.Duration) {
	inheritedUntil := time.Duration(0)
	if o.epoch > 1 {
		inheritedUntil = o.firstHoldAt + previousOwnerRenewTime + time.Duration(float64(leaseDuration)*(1+maxClockSlowness)) + expiryMargin
	}
	for id, s := range o.sessions {
		if !s.leasesExpired(now, inheritedUntil) {
			continue
		}
		if !o.planner.Listed(id) {
			o.endSession(s, "left")
		} else if o.planner.MayHaveRuns(id) {
			o.planner.WorkerLost(now, id, false, "lease expired")
		}
	}
}

func (o *Owner) logNotes() {
	for _, n := range o.planner.TakeNotes() {
		o.logNote(&n)
		o.observe(&n)
	}
}

func (o *Owner) observe(n *planner.Note) {
	obs := o.deps.Observer
	obs.EventLogged(n.Event)
	switch n.Event {
	case planner.EventJobStarted:
		obs.JobStarted(n.Priority, n.Age)
	case planner.EventJobCompleted:
		obs.JobEnded(n.Priority, string(work.Completed), n.Age)
	case planner.EventJobFailed:
		obs.JobEnded(n.Priority, string(work.Failed), n.Age)
	case planner.EventJobCancelled:
		obs.JobEnded(n.Priority, string(work.Cancelled), n.Age)
	case planner.EventWorkDiscarded:
		obs.WorkDiscarded(n.Detail, n.Discarded)
	case planner.EventRecoveryFinished:
		obs.TakeoverFinished(o.now() - o.startedAt)
	}
}

func (o *Owner) logNote(n *planner.Note) {
	fields := make([]zap.Field, 0, 8)
	if n.Job != "" {
		fields = append(fields, zap.String("job", n.Job))
	}
	if n.Worker != "" {
		fields = append(fields, zap.String("worker", n.Worker))
	}
	if n.Run != 0 {
		fields = append(fields, zap.Int("step", n.Task.Step), zap.Int("index", n.Task.Index), zap.Int64("run", n.Run))
	}
	if n.Age != 0 {
		fields = append(fields, zap.Duration("age", n.Age))
	}
	if n.Detail != "" {
		fields = append(fields, zap.String("detail", n.Detail))
	}
	if n.Discarded != 0 {
		fields = append(fields, zap.Float64("core_seconds", math.Round(n.Discarded)))
	}
	o.log.Info(n.Event, append(fields, zap.Int("count", n.Count))...)
}

func (o *Owner) logResults(worker string, results []port.RunResult) {
	for i := range results {
		result := &results[i]
		o.log.Info("run ended", zap.String("job", result.Task.Job), zap.Int("step", result.Task.Step), zap.Int("index", result.Task.Index),
			zap.Int64("run", result.Run), zap.String("worker", worker), zap.Stringer("how", result.Kind), zap.Int64("sequence", result.Sequence))
		o.deps.Observer.RunEnded(result.Kind.String())
	}
}
