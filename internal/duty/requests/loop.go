package requests

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// statsInterval is the interval between snapshots of the dispatcher's state
	// and between updates of the instances' demand.
	statsInterval = 500 * time.Millisecond
	// idleInterval is the longest time that the loop sleeps if the dispatcher
	// sets no time to wake.
	idleInterval = time.Second
)

// Run dispatches requests until ctx ends, waits for the attempts in progress and
// returns ctx's error. A graceful shutdown cancels ctx only once Held returns 0.
func (r *Requests) Run(ctx context.Context) error {
	defer close(r.stopped)
	defer r.attempts.Wait()
	wake := time.NewTimer(0)
	defer wake.Stop()
	stats := time.NewTicker(statsInterval)
	defer stats.Stop()
	r.applyUpdates()
	for {
		select {
		case c := <-r.arrivals.C():
			r.enqueue(c)
		case id := <-r.cancellations.C():
			r.cancel(id)
		case res := <-r.results.C():
			r.handleAttemptResult(res)
		case <-r.servers.Changed():
			r.applyUpdates()
		case <-r.reload.C():
			r.applyUpdates()
		case q := <-r.queries.C():
			r.answer(q)
			continue // a query causes no dispatch
		case <-wake.C:
		case <-stats.C:
			r.dispatcher.SetDemand(r.demandByInstance())
			s := r.dispatcher.Stats()
			r.stats.Store(&s)
		case <-ctx.Done():
			return ctx.Err()
		}
		r.dispatch(ctx)
		wake.Reset(r.untilWake())
	}
}

func (r *Requests) untilWake() time.Duration {
	now := time.Now()
	at, ok := r.dispatcher.Wake(now)
	if !ok {
		return idleInterval
	}
	return max(at.Sub(now), 0)
}

// demandByInstance returns the number of requests that each sharing instance
// holds, as last reported.
func (r *Requests) demandByInstance() map[string]int {
	out := r.peerDemand()
	if out == nil {
		out = make(map[string]int, 1)
	}
	if instances := r.sharingInstances(); len(instances) > 0 {
		out[instances[0]] = r.dispatcher.Demand()
	}
	return out
}

// applyUpdates passes the servers, the sharing instances and the configuration
// to the dispatcher.
func (r *Requests) applyUpdates() {
	cfg := r.config()
	r.appliedNumber = cfg.Number
	servers := r.servers.Servers()
	clear(r.serverByID)
	out := make([]dispatch.Server, 0, len(servers))
	for _, s := range servers {
		r.serverByID[s.ID] = s
		out = append(out, dispatch.Server{
			ID:        s.ID,
			Slots:     s.Slots,
			Leaving:   s.State == structs.StateLeaving,
			Evacuated: cfg.Evacuated[s.Domain],
			Services:  s.Services,
		})
	}
	r.dispatcher.SetServers(out)
	if instances := r.sharingInstances(); len(instances) > 0 {
		r.dispatcher.SetInstances(instances[0], instances[1:])
	}
	workspaces := slices.SortedFunc(maps.Values(cfg.Workspaces), func(a, b structs.Workspace) int {
		return strings.Compare(a.Name, b.Name)
	})
	services := slices.SortedFunc(maps.Values(cfg.Services), func(a, b structs.Service) int {
		return strings.Compare(a.Workspace+"/"+a.Name, b.Workspace+"/"+b.Name)
	})
	r.dispatcher.SetConfig(workspaces, services)
}

func (r *Requests) enqueue(c *call) {
	err := r.dispatcher.Enqueue(time.Now(), itemOf(c.id, c.req, c.service))
	if err != nil {
		c.reply <- structs.Result{Outcome: structs.OutcomeNotRun, Reason: err.Error()}
		return
	}
	r.calls[c.id] = c
	// The cancellation may have been received before the arrival.
	if c.cancelled.Load() {
		r.cancel(c.id)
	}
}

func itemOf(id uint64, req structs.Request, service structs.Service) dispatch.Item {
	return dispatch.Item{
		ID:         id,
		Workspace:  req.Key.Workspace,
		Service:    req.Service,
		Class:      service.Class,
		Repeatable: service.Repeatable,
		Deadline:   req.Deadline,
	}
}

// cancel drops a queued request whose caller has cancelled it.
func (r *Requests) cancel(id uint64) {
	c, ok := r.calls[id]
	if !ok || !r.dispatcher.Cancel(id) {
		return
	}
	r.complete(c, r.resultWithoutAttempt(c, "the caller left"))
}

// complete removes a call and sends its result to Do.
func (r *Requests) complete(c *call, res structs.Result) {
	delete(r.calls, c.id)
	c.reply <- res
}

// resultWithoutAttempt returns the result of a call that has no attempt in
// progress: OutcomeUnknown if an attempt may have started it, otherwise
// OutcomeNotRun.
func (r *Requests) resultWithoutAttempt(c *call, reason string) structs.Result {
	if c.mayHaveRun {
		return structs.Result{Outcome: structs.OutcomeUnknown, Reason: reason}
	}
	return structs.Result{Outcome: structs.OutcomeNotRun, Reason: reason}
}

// dispatch drops requests that can't meet their deadline and starts attempts. It
// first applies a new configuration, so that nothing is assigned to a server that
// the configuration in force evacuates.
func (r *Requests) dispatch(ctx context.Context) {
	if r.config().Number != r.appliedNumber {
		r.applyUpdates()
	}
	now := time.Now()
	for _, id := range r.dispatcher.Expire(now) {
		if c, ok := r.calls[id]; ok {
			r.complete(c, r.resultWithoutAttempt(c, string(fault.Timeout)+": the deadline can't be met"))
		}
	}
	for {
		a, ok := r.dispatcher.Next(now)
		if !ok {
			return
		}
		r.startAttempt(ctx, a)
	}
}

func (r *Requests) startAttempt(ctx context.Context, a dispatch.Assignment) {
	c, ok := r.calls[a.Item]
	if !ok {
		r.log.Error("assignment_without_call", zap.Uint64("item", a.Item))
		r.dispatcher.Done(time.Now(), a, dispatch.Result{Kind: dispatch.NotStarted})
		r.dispatcher.Cancel(a.Item)
		return
	}
	server := r.serverByID[a.Server]
	r.attempts.Go(func() {
		// A request in flight continues after ctx ends, until the attempt's
		// deadline.
		res := r.attempt(context.WithoutCancel(ctx), c, server, a)
		// The only error is that of ctx, after which results are no longer
		// read.
		_ = r.results.PushWait(ctx, res)
	})
}

// handleAttemptResult retries the call, if that is permitted, or completes it.
func (r *Requests) handleAttemptResult(res attemptResult) {
	now := time.Now()
	c, ok := r.calls[res.assignment.Item]
	r.dispatcher.Done(now, res.assignment, res.result)
	if res.leaving {
		r.servers.MarkLeaving(res.assignment.Server)
	}
	if !ok {
		return
	}
	c.claim = res.claim
	if res.callResult != nil {
		r.dispatcher.Cancel(c.id)
		r.complete(c, *res.callResult)
		return
	}
	if res.result.Kind == dispatch.Failed {
		c.mayHaveRun = true
	}
	if r.dispatcher.Retry(now, res.assignment, res.result) {
		return
	}
	r.complete(c, r.resultWithoutAttempt(c, res.reason))
}
