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
	// statsInterval is the time between two copies of the dispatcher's state.
	statsInterval = 500 * time.Millisecond
	// idleWake is how long the loop sleeps when the dispatcher asks for nothing.
	idleWake = time.Second
)

// Run dispatches until ctx ends. A planned stop ends ctx only once Held is 0.
func (r *Requests) Run(ctx context.Context) error {
	defer close(r.stopped)
	defer r.attempts.Wait()
	wake := time.NewTimer(0)
	defer wake.Stop()
	stats := time.NewTicker(statsInterval)
	defer stats.Stop()
	r.takeIn()
	for {
		select {
		case c := <-r.arrivals.C():
			r.enqueue(c)
		case id := <-r.leavers.C():
			r.leave(id)
		case done := <-r.results.C():
			r.attemptEnded(done)
		case <-r.servers.Changed():
			r.takeIn()
		case <-r.reload.C():
			r.takeIn()
		case <-wake.C:
		case <-stats.C:
			r.dispatcher.SetDemand(r.demands())
			s := r.dispatcher.Stats()
			r.stats.Store(&s)
		case <-ctx.Done():
			return ctx.Err()
		}
		r.dispatch(ctx)
		wake.Reset(r.sleep())
	}
}

func (r *Requests) sleep() time.Duration {
	now := time.Now()
	at, ok := r.dispatcher.Wake(now)
	if !ok {
		return idleWake
	}
	return max(at.Sub(now), 0)
}

// demands returns the requests that each sharing instance holds, as last told.
func (r *Requests) demands() map[string]int {
	out := r.peerDemand()
	if out == nil {
		out = make(map[string]int, 1)
	}
	if sharers := r.sharers(); len(sharers) > 0 {
		out[sharers[0]] = r.dispatcher.Demand()
	}
	return out
}

// takeIn passes the servers, the sharing instances and the configuration on.
func (r *Requests) takeIn() {
	servers := r.servers.Servers()
	clear(r.byID)
	out := make([]dispatch.Server, 0, len(servers))
	for _, s := range servers {
		r.byID[s.ID] = s
		out = append(out, dispatch.Server{
			ID:       s.ID,
			Slots:    s.Slots,
			Leaving:  s.State == structs.StateLeaving,
			Services: s.Services,
		})
	}
	r.dispatcher.SetServers(out)
	if sharers := r.sharers(); len(sharers) > 0 {
		r.dispatcher.SetShare(sharers[0], sharers[1:])
	}
	cfg := r.config()
	workspaces := slices.SortedFunc(maps.Values(cfg.Workspaces), func(a, b structs.Workspace) int {
		return strings.Compare(a.Name, b.Name)
	})
	services := slices.SortedFunc(maps.Values(cfg.Services), func(a, b structs.Service) int {
		return strings.Compare(a.Workspace+"/"+a.Name, b.Workspace+"/"+b.Name)
	})
	r.dispatcher.SetConfig(workspaces, services)
}

func (r *Requests) enqueue(c *call) {
	err := r.dispatcher.Enqueue(time.Now(), dispatch.Item{
		ID:         c.id,
		Workspace:  c.req.Key.Workspace,
		Service:    c.req.Service,
		Class:      c.service.Class,
		Repeatable: c.service.Repeatable,
		Deadline:   c.req.Deadline,
	})
	if err != nil {
		c.reply <- structs.Result{Outcome: structs.OutcomeNotRun, Reason: err.Error()}
		return
	}
	r.calls[c.id] = c
	// The departure may have come before the arrival.
	if c.left.Load() {
		r.leave(c.id)
	}
}

// leave drops a queued request whose caller is gone.
func (r *Requests) leave(id uint64) {
	c, ok := r.calls[id]
	if !ok || !r.dispatcher.Cancel(id) {
		return
	}
	r.end(c, r.undispatched(c, "the caller left"))
}

// end answers a call.
func (r *Requests) end(c *call, res structs.Result) {
	delete(r.calls, c.id)
	c.reply <- res
}

// undispatched is the outcome of a call without an attempt in progress.
func (r *Requests) undispatched(c *call, reason string) structs.Result {
	if c.mayHaveRun {
		return structs.Result{Outcome: structs.OutcomeUnknown, Reason: reason}
	}
	return structs.Result{Outcome: structs.OutcomeNotRun, Reason: reason}
}

// dispatch refuses what comes too late and begins attempts.
func (r *Requests) dispatch(ctx context.Context) {
	now := time.Now()
	for _, id := range r.dispatcher.Expire(now) {
		if c, ok := r.calls[id]; ok {
			r.end(c, r.undispatched(c, string(fault.Timeout)+": the deadline can't be met"))
		}
	}
	for {
		a, ok := r.dispatcher.Next(now)
		if !ok {
			return
		}
		r.begin(ctx, a)
	}
}

func (r *Requests) begin(ctx context.Context, a dispatch.Assignment) {
	c, ok := r.calls[a.Item]
	if !ok {
		r.log.Error("assignment_without_call", zap.Uint64("item", a.Item))
		r.dispatcher.Done(time.Now(), a, dispatch.Result{Kind: dispatch.NotStarted})
		r.dispatcher.Cancel(a.Item)
		return
	}
	server := r.byID[a.Server]
	r.attempts.Go(func() {
		// A request in flight is cut off by its own deadline only.
		done := r.attempt(context.WithoutCancel(ctx), c, server, a)
		// The error is ctx's, after which nobody reads results.
		_ = r.results.PushWait(ctx, done)
	})
}

// attemptEnded tries again, if that is permitted, or ends the call.
func (r *Requests) attemptEnded(done attemptDone) {
	now := time.Now()
	c, ok := r.calls[done.assignment.Item]
	r.dispatcher.Done(now, done.assignment, done.result)
	if done.left {
		r.servers.Left(done.assignment.Server)
	}
	if !ok {
		return
	}
	c.claim = done.claim
	if done.outcome != nil {
		r.dispatcher.Cancel(c.id)
		r.end(c, *done.outcome)
		return
	}
	if done.result.Kind == dispatch.Failed {
		c.mayHaveRun = true
	}
	if r.dispatcher.Retry(now, done.assignment, done.result) {
		return
	}
	r.end(c, r.undispatched(c, done.reason))
}
