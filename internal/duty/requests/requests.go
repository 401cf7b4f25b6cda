// Package requests dispatches callers' requests and returns one outcome for
// each. One goroutine owns the dispatcher; each attempt runs in its own
// goroutine, bounded by the backend servers' slots.
package requests

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/duty/claims"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// maxIDBytes bounds the length of a request ID.
	maxIDBytes = 128
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = time.Hour
)

// The reasons of rejections by the limits of Requests itself.
const (
	reasonHeld     = "too many requests are held"
	reasonArrivals = "too many requests arrive"
)

// Settings configures Requests.
type Settings struct {
	// QueueLimit bounds the number of requests that this instance holds.
	QueueLimit int
	// MaxBodyBytes bounds a request body, unless the service sets a lower
	// limit.
	MaxBodyBytes int64
	// RecordTimeout bounds the wait for an outcome to be recorded before the
	// caller is answered. It doesn't bound the wait for another holder's outcome,
	// which ends at the deadline.
	RecordTimeout time.Duration
	// ClaimTimeout bounds the wait for a claim, during which a slot is held.
	ClaimTimeout time.Duration
	Dispatch     dispatch.Settings
}

// Servers provides the membership of the backend servers.
type Servers interface {
	// Servers returns the backend servers.
	Servers() []structs.Instance
	// Changed returns a channel that receives a value after the list has
	// changed.
	Changed() <-chan struct{}
	// MarkLeaving marks a server that has itself reported that it is leaving.
	MarkLeaving(id string)
}

// Requests dispatches requests to the backend servers. It is safe for
// concurrent use.
type Requests struct {
	settings Settings
	backends port.Backends
	servers  Servers
	claims   *claims.Claims
	config   func() *structs.Config
	// sharingInstances returns the instances that share the backend servers,
	// this one first.
	sharingInstances func() []string
	// peerDemand returns the number of requests that each other instance holds,
	// by instance ID.
	peerDemand func() map[string]int
	log        *zap.Logger

	arrivals      *ring.Ring[*call]
	cancellations *ring.Ring[uint64]
	results       *ring.Ring[attemptResult]
	reload        *ring.Ring[struct{}]
	queries       *ring.Ring[*query]
	querying      atomic.Bool
	nextID        atomic.Uint64
	held          atomic.Int64
	attempts      sync.WaitGroup
	stats         atomic.Pointer[dispatch.Stats]
	// stopped is closed when Run returns.
	stopped chan struct{}

	// The fields below are used only by Run's goroutine.
	dispatcher *dispatch.Dispatcher
	calls      map[uint64]*call
	serverByID map[string]structs.Instance
	// appliedNumber is the number of the configuration that the dispatcher uses.
	appliedNumber int64
	// nextQueryAt is the earliest time of the next query.
	nextQueryAt time.Time
}

// call is a request that is being processed.
type call struct {
	id      uint64
	req     structs.Request
	service structs.Service
	claim   *claims.Claim
	// mayHaveRun is set once an attempt may have started the request.
	mayHaveRun bool
	// cancelled is set once the caller's context has ended.
	cancelled atomic.Bool
	reply     chan structs.Result
}

// New returns a Requests, which dispatches nothing until Run is called.
// sharingInstances returns the IDs of the instances that share the backend
// servers, this one first. peerDemand returns the number of requests that each of
// the others holds, by instance ID, in a map that Run may modify, or nil.
func New(s Settings, backends port.Backends, servers Servers, cl *claims.Claims, config func() *structs.Config, sharingInstances func() []string, peerDemand func() map[string]int, log *zap.Logger) *Requests {
	r := &Requests{
		settings:         s,
		backends:         backends,
		servers:          servers,
		claims:           cl,
		config:           config,
		sharingInstances: sharingInstances,
		peerDemand:       peerDemand,
		log:              log,
		arrivals:         ring.New[*call]("request arrivals", s.QueueLimit),
		cancellations:    ring.New[uint64]("request cancellations", s.QueueLimit),
		results:          ring.New[attemptResult]("attempt results", s.QueueLimit),
		reload:           ring.New[struct{}]("request reload", 1),
		queries:          ring.New[*query]("request queries", 1),
		dispatcher:       dispatch.New(s.Dispatch),
		calls:            make(map[uint64]*call),
		serverByID:       make(map[string]structs.Instance),
		stopped:          make(chan struct{}),
	}
	r.stats.Store(new(dispatch.Stats))
	return r
}

// Do processes a request and returns its outcome. It fails only for requests
// that are not accepted: with fault.Invalid, with fault.NotFound for an unknown
// workspace or service and with fault.Exists if the ID was used for a different
// request. An accepted request gets a Result even if ctx ends: if it is still
// queued then, it is cancelled; otherwise it runs until its own deadline.
func (r *Requests) Do(ctx context.Context, req structs.Request) (structs.Result, error) {
	c, err := r.newCall(req)
	if err != nil {
		return structs.Result{}, err
	}
	// held counts the callers in Do, so that a graceful shutdown waits for them.
	if r.held.Add(1) > int64(r.settings.QueueLimit) {
		defer r.held.Add(-1)
		return r.reject(ctx, c, reasonHeld)
	}
	defer r.held.Add(-1)
	c.cancelled.Store(ctx.Err() != nil)
	if err := r.arrivals.Push(c); err != nil {
		return r.reject(ctx, c, reasonArrivals)
	}
	res, err := r.recordResult(c, r.await(ctx, c))
	r.logUnknown(c, res)
	return res, err
}

// logUnknown logs requests with an unknown outcome, which may need an
// operator's attention. It logs neither the body nor the answer.
func (r *Requests) logUnknown(c *call, res structs.Result) {
	if res.Outcome != structs.OutcomeUnknown {
		return
	}
	r.log.Warn("request_outcome_unknown",
		zap.String("workspace", c.req.Key.Workspace),
		zap.String("service", c.req.Service),
		zap.String("request", c.req.Key.ID),
		zap.String("reason", res.Reason))
}

// await waits for the result of a call. Once ctx ends, it asks the loop to
// cancel the call.
func (r *Requests) await(ctx context.Context, c *call) structs.Result {
	ctxDone := ctx.Done()
	for {
		select {
		case res := <-c.reply:
			return res
		case <-ctxDone:
			c.cancelled.Store(true)
			r.cancellations.TryPush(c.id)
			ctxDone = nil
		case <-r.stopped:
			return finalReply(c)
		}
	}
}

// finalReply returns the result of a call after the loop has stopped, with
// OutcomeUnknown if the loop sent none.
func finalReply(c *call) structs.Result {
	select {
	case res := <-c.reply:
		return res
	default:
		return structs.Result{Outcome: structs.OutcomeUnknown, Reason: "the instance stopped"}
	}
}

// newCall validates a request and returns a call for it. The call's deadline is
// the requested one, up to maxDeadline, or by default that of the service. It
// fails with fault.Invalid or fault.NotFound.
func (r *Requests) newCall(req structs.Request) (*call, error) {
	req, svc, err := r.check(req, int64(len(req.Body)))
	if err != nil {
		return nil, err
	}
	return &call{id: r.nextID.Add(1), req: req, service: svc, reply: make(chan structs.Result, 1)}, nil
}

// check validates a request with a body of a size, and returns it with the call's
// deadline and its service. It fails with the errors of newCall.
func (r *Requests) check(req structs.Request, bodyBytes int64) (structs.Request, structs.Service, error) {
	if req.Key.ID == "" || len(req.Key.ID) > maxIDBytes {
		p := fault.Problem{Path: "request_id", Value: req.Key.ID, Allowed: fmt.Sprintf("1 to %d bytes", maxIDBytes)}
		return req, structs.Service{}, fault.InvalidDocument("request is refused", []fault.Problem{p})
	}
	svc, ok := r.config().Services[structs.ServiceKey{Workspace: req.Key.Workspace, Name: req.Service}]
	if !ok {
		return req, svc, fault.New(fault.NotFound, fmt.Sprintf("workspace %q has no service %q", req.Key.Workspace, req.Service))
	}
	if limit := r.bodyLimit(svc); bodyBytes > limit {
		p := fault.Problem{Path: "body", Value: fmt.Sprintf("%d bytes", bodyBytes), Allowed: fmt.Sprintf("at most %d bytes", limit)}
		return req, svc, fault.InvalidDocument("request is refused", []fault.Problem{p})
	}
	now := time.Now()
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(svc.Deadline())
	}
	if latest := now.Add(maxDeadline); req.Deadline.After(latest) {
		req.Deadline = latest
	}
	return req, svc, nil
}

func (r *Requests) bodyLimit(svc structs.Service) int64 {
	if svc.MaxBodyBytes > 0 && svc.MaxBodyBytes < r.settings.MaxBodyBytes {
		return svc.MaxBodyBytes
	}
	return r.settings.MaxBodyBytes
}

// reject completes a call that was not queued. It returns OutcomeNotRun or, if
// the request is not repeatable, the result of RecordNotRun.
func (r *Requests) reject(ctx context.Context, c *call, reason string) (structs.Result, error) {
	if c.service.Repeatable {
		return structs.Result{Outcome: structs.OutcomeNotRun, Reason: reason}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.RecordTimeout)
	defer cancel()
	return r.claims.RecordNotRun(ctx, c.req, reason)
}

// recordResult records the result of a call, if it is not repeatable, and
// returns the result for its caller. If another call holds the request, it waits
// for that call's outcome until the deadline.
func (r *Requests) recordResult(c *call, res structs.Result) (structs.Result, error) {
	if c.service.Repeatable {
		return res, nil
	}
	if c.claim == nil && res.Outcome == structs.OutcomePending {
		ctx, cancel := context.WithDeadline(context.Background(), c.req.Deadline)
		defer cancel()
		return r.claims.Wait(ctx, c.req)
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.RecordTimeout)
	defer cancel()
	if c.claim == nil {
		return r.claims.RecordNotRun(ctx, c.req, res.Reason)
	}
	r.claims.Finish(ctx, c.claim, res)
	return res, nil
}

// Held returns the number of callers waiting for an outcome.
func (r *Requests) Held() int {
	return int(r.held.Load())
}

// Stats returns the latest snapshot of the dispatcher's state, which Run takes
// every statsInterval, or zero Stats before the first.
func (r *Requests) Stats() dispatch.Stats {
	return *r.stats.Load()
}

// Reload makes Run apply a new configuration or set of instances.
func (r *Requests) Reload() {
	r.reload.TryPush(struct{}{})
}
