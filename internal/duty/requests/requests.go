// Package requests takes callers' requests through dispatch to one outcome
// each. One goroutine owns the dispatcher; each attempt runs in a goroutine of
// its own, bounded by the backend servers' slots.
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
	maxIDBytes = 128
	// maxDeadline bounds the deadline that a caller may ask for.
	maxDeadline = time.Hour
)

// Settings of the duty.
type Settings struct {
	// QueueLimit bounds the requests that this instance holds.
	QueueLimit int
	// MaxBodyBytes bounds a body where the service states no less.
	MaxBodyBytes int64
	// RecordTimeout bounds the wait for an outcome to be recorded before the
	// caller is answered.
	RecordTimeout time.Duration
	// ClaimTimeout bounds the wait for a claim, while a slot is held.
	ClaimTimeout time.Duration
	Dispatch     dispatch.Settings
}

// Servers is the membership as the duty sees it.
type Servers interface {
	// Servers returns the backend servers.
	Servers() []structs.Instance
	// Changed receives a hint after each change.
	Changed() <-chan struct{}
	// Left notes that a server itself said that it is leaving.
	Left(id string)
}

// Requests is safe for concurrent use.
type Requests struct {
	settings Settings
	backends port.Backends
	servers  Servers
	claims   *claims.Claims
	config   func() *structs.Config
	// sharers names the instances that share the backend servers, this one
	// first.
	sharers func() []string
	// peerDemand returns the requests that each of the others holds.
	peerDemand func() map[string]int
	log        *zap.Logger

	arrivals *ring.Ring[*call]
	leavers  *ring.Ring[uint64]
	results  *ring.Ring[attemptDone]
	reload   *ring.Ring[struct{}]
	nextID   atomic.Uint64
	held     atomic.Int64
	attempts sync.WaitGroup
	stats    atomic.Pointer[dispatch.Stats]
	// stopped is closed when Run ends.
	stopped chan struct{}

	// The fields below belong to Run's goroutine.
	dispatcher *dispatch.Dispatcher
	calls      map[uint64]*call
	byID       map[string]structs.Instance
}

// call is a request on its way.
type call struct {
	id      uint64
	req     structs.Request
	service structs.Service
	claim   *claims.Claim
	// mayHaveRun is set once an attempt may have been started.
	mayHaveRun bool
	// left is set once the caller is gone.
	left  atomic.Bool
	reply chan structs.Result
}

// New returns the duty; Run must be called for it to dispatch anything.
func New(s Settings, backends port.Backends, servers Servers, cl *claims.Claims, config func() *structs.Config, sharers func() []string, peerDemand func() map[string]int, log *zap.Logger) *Requests {
	r := &Requests{
		settings:   s,
		backends:   backends,
		servers:    servers,
		claims:     cl,
		config:     config,
		sharers:    sharers,
		peerDemand: peerDemand,
		log:        log,
		arrivals:   ring.New[*call]("request arrivals", s.QueueLimit),
		leavers:    ring.New[uint64]("request departures", s.QueueLimit),
		results:    ring.New[attemptDone]("attempt results", s.QueueLimit),
		reload:     ring.New[struct{}]("request reload", 1),
		dispatcher: dispatch.New(s.Dispatch),
		calls:      make(map[uint64]*call),
		byID:       make(map[string]structs.Instance),
		stopped:    make(chan struct{}),
	}
	r.stats.Store(new(dispatch.Stats))
	return r
}

// Do takes a request to its outcome. It fails only for requests that were not
// accepted: with fault.Invalid, with fault.NotFound for an unknown workspace
// or service and with fault.Exists when the ID was used for a different
// request. A request that was accepted ends in a Result even when ctx ends:
// unless it waited in the queue until then, it runs to its own deadline.
func (r *Requests) Do(ctx context.Context, req structs.Request) (structs.Result, error) {
	c, err := r.accept(req)
	if err != nil {
		return structs.Result{}, err
	}
	// Held counts callers here, so that a planned stop waits for them.
	if r.held.Add(1) > int64(r.settings.QueueLimit) {
		defer r.held.Add(-1)
		return r.refuse(ctx, c, "too many requests are held")
	}
	defer r.held.Add(-1)
	c.left.Store(ctx.Err() != nil)
	if err := r.arrivals.Push(c); err != nil {
		return r.refuse(ctx, c, "too many requests arrive")
	}
	res, err := r.conclude(c, r.await(ctx, c))
	r.logUnknown(c, res)
	return res, err
}

// logUnknown tells of the requests that somebody may have to look after. The
// log holds no body and no answer.
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

// await returns the end of a call in the loop.
func (r *Requests) await(ctx context.Context, c *call) structs.Result {
	left := ctx.Done()
	for {
		select {
		case res := <-c.reply:
			return res
		case <-left:
			c.left.Store(true)
			r.leavers.Offer(c.id)
			left = nil
		case <-r.stopped:
			return replyOf(c)
		}
	}
}

// replyOf returns the end of a call after the loop has stopped.
func replyOf(c *call) structs.Result {
	select {
	case res := <-c.reply:
		return res
	default:
		return structs.Result{Outcome: structs.OutcomeUnknown, Reason: "the instance stopped"}
	}
}

func (r *Requests) accept(req structs.Request) (*call, error) {
	if req.Key.ID == "" || len(req.Key.ID) > maxIDBytes {
		p := fault.Problem{Path: "request_id", Value: req.Key.ID, Allowed: fmt.Sprintf("1 to %d bytes", maxIDBytes)}
		return nil, fault.Document("request is refused", []fault.Problem{p})
	}
	svc, ok := r.config().Services[structs.ServiceKey{Workspace: req.Key.Workspace, Name: req.Service}]
	if !ok {
		return nil, fault.New(fault.NotFound, fmt.Sprintf("workspace %q has no service %q", req.Key.Workspace, req.Service))
	}
	if limit := r.bodyLimit(svc); int64(len(req.Body)) > limit {
		p := fault.Problem{Path: "body", Value: fmt.Sprintf("%d bytes", len(req.Body)), Allowed: fmt.Sprintf("at most %d bytes", limit)}
		return nil, fault.Document("request is refused", []fault.Problem{p})
	}
	now := time.Now()
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(svc.Deadline())
	}
	if latest := now.Add(maxDeadline); req.Deadline.After(latest) {
		req.Deadline = latest
	}
	return &call{id: r.nextID.Add(1), req: req, service: svc, reply: make(chan structs.Result, 1)}, nil
}

func (r *Requests) bodyLimit(svc structs.Service) int64 {
	if svc.MaxBodyBytes > 0 && svc.MaxBodyBytes < r.settings.MaxBodyBytes {
		return svc.MaxBodyBytes
	}
	return r.settings.MaxBodyBytes
}

// refuse ends a call that was not queued.
func (r *Requests) refuse(ctx context.Context, c *call, reason string) (structs.Result, error) {
	if c.service.Repeatable {
		return structs.Result{Outcome: structs.OutcomeNotRun, Reason: reason}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.RecordTimeout)
	defer cancel()
	return r.claims.Refuse(ctx, c.req, reason)
}

// conclude turns the end of a call into what its caller may be told.
func (r *Requests) conclude(c *call, res structs.Result) (structs.Result, error) {
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
		return r.claims.Refuse(ctx, c.req, res.Reason)
	}
	r.claims.Finish(ctx, c.claim, res)
	return res, nil
}

// Held returns the number of callers that wait for an outcome.
func (r *Requests) Held() int {
	return int(r.held.Load())
}

// Stats returns the dispatcher's state as of a moment ago.
func (r *Requests) Stats() dispatch.Stats {
	return *r.stats.Load()
}

// Reload makes the duty take in a new configuration or set of instances.
func (r *Requests) Reload() {
	r.reload.Offer(struct{}{})
}
