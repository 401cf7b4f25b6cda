// Package claims makes non-repeatable requests run at most once. An incarnation
// writes a claim row before it first dispatches a request, and the outcome
// afterwards. Any other instance that receives the same request ID finds the row.
// Writes are batched into shared commits.
//
// A request is reported as not run only once its row records that, because
// another instance may hold the same request.
package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// pendingCapacity bounds the number of queued writes. Further writes fail
	// with fault.Overloaded.
	pendingCapacity = 4096
	// unresolvedCapacity bounds the number of records that wait to be written in
	// the background. It covers an outage of one minute at 270 requests per
	// second.
	unresolvedCapacity = 16384
	// maxInlineAnswer is the largest answer in bytes that is stored in the row.
	maxInlineAnswer = 16 << 10
	// minPollInterval and maxPollInterval bound the interval between reads of a
	// row that another instance holds.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// Settings configures Claims.
type Settings struct {
	// Flush is the longest time that a write waits for others to share its
	// commit.
	Flush time.Duration
	// Batch bounds the number of writes per commit, Commits the number of
	// concurrent commits.
	Batch   int
	Commits int64
	// CommitTimeout bounds the time to commit a batch, including retries, and
	// each attempt to record an outcome in the background.
	CommitTimeout time.Duration
	// ResolveRetry is the interval between attempts to record an outcome after
	// its first write failed.
	ResolveRetry time.Duration
	// ResolveInterval is the minimum interval between two outcomes recorded
	// after an outage, so that all instances together leave the table enough
	// capacity for heartbeats. 0 means no limit.
	ResolveInterval time.Duration
}

// Claims grants claims and records outcomes. It is safe for concurrent use.
type Claims struct {
	settings Settings
	store    *store.Store
	objects  port.Objects
	// incarnation returns the incarnation of the current session.
	incarnation func() string
	log         *zap.Logger

	pending         *ring.Ring[*writeOp]
	commits         *semaphore.Weighted
	unresolvedQueue *ring.Ring[*unresolvedRecord]
	serial          atomic.Uint64
	commitHealth    commitHealth
	wg              sync.WaitGroup

	mu              sync.Mutex
	unresolvedCount int
}

// New returns a Claims, which writes nothing until Run is called. incarnation
// returns the incarnation of the current session.
func New(s Settings, st *store.Store, objects port.Objects, incarnation func() string, log *zap.Logger) *Claims {
	return &Claims{
		settings:        s,
		store:           st,
		objects:         objects,
		incarnation:     incarnation,
		log:             log,
		pending:         ring.New[*writeOp]("claim writes", pendingCapacity),
		commits:         semaphore.NewWeighted(s.Commits),
		unresolvedQueue: ring.New[*unresolvedRecord]("unresolved claims", unresolvedCapacity),
		// During an outage, the next retry of an unresolved record ends within
		// the window. If it fails, it starts the window anew.
		commitHealth: commitHealth{window: s.CommitTimeout + 2*s.ResolveRetry},
	}
}

// Claim is the right to run a request once. The request may be dispatched again
// under it only while no attempt may have started the request.
type Claim struct {
	key      structs.RequestKey
	rec      record
	revision int64
}

// AlreadyClaimedError means that the request already has a row, which
// holds a claim or an outcome.
type AlreadyClaimedError struct {
	Key structs.RequestKey
}

// Error implements error.
func (e *AlreadyClaimedError) Error() string {
	return "conflict: request " + e.Key.Workspace + "/" + e.Key.ID + " is already claimed or recorded"
}

// FaultCode returns fault.Conflict.
func (e *AlreadyClaimedError) FaultCode() fault.Code {
	return fault.Conflict
}

// Claim acquires the right to dispatch a request. It fails with
// *AlreadyClaimedError if the request already has a row or this process is
// writing one, with fault.Fenced if this process's session has ended, with
// fault.Overloaded if too many writes are queued, with fault.Unavailable or
// fault.Uncertain if the table doesn't reply, and with fault.Uncertain if ctx ends
// first. After a failure the caller must not dispatch the request.
//
// While the table doesn't accept commits, Claim fails at once with
// fault.Unavailable: each pending claim holds a slot that requests without a claim
// could use.
func (c *Claims) Claim(ctx context.Context, req structs.Request) (*Claim, error) {
	if !c.commitHealth.healthy(time.Now()) {
		return nil, fault.New(fault.Unavailable, "the table takes no commits")
	}
	incarnation := c.incarnation()
	claim := &Claim{
		key: req.Key,
		rec: c.newRecord(incarnation, req, structs.OutcomePending),
	}
	o := newWriteOp(store.ClaimKey(req.Key), claim.rec, 0, incarnation)
	revision, err := c.write(ctx, o)
	switch fault.CodeOf(err) {
	case "":
		claim.revision = revision
		return claim, nil
	case fault.Conflict:
		return nil, &AlreadyClaimedError{Key: req.Key}
	case fault.Uncertain:
		c.commitHealth.recordFailure(time.Now())
		c.recordUnused(claim, "claim was not confirmed")
		return nil, err
	default:
		return nil, err
	}
}

func (c *Claims) newRecord(incarnation string, req structs.Request, o structs.Outcome) record {
	return record{Holder: incarnation, Serial: c.serial.Add(1), Digest: digestOf(req), Outcome: o, Created: time.Now().Unix()}
}

// recordUnused records in the background that a claim, which may have been
// stored, was not used.
func (c *Claims) recordUnused(claim *Claim, reason string) {
	rec := claim.rec
	rec.Outcome = structs.OutcomeNotRun
	rec.Reason = reason
	c.resolveLater(&unresolvedRecord{key: claim.key, rec: rec})
}

// write queues a write and waits for its result. If ctx ends first, write fails
// with fault.Uncertain and the write remains in progress. If the queue is full, it
// fails with fault.Overloaded.
func (c *Claims) write(ctx context.Context, o *writeOp) (int64, error) {
	if err := c.pending.Push(o); err != nil {
		return 0, err
	}
	select {
	case r := <-o.done:
		return r.revision, r.err
	case <-ctx.Done():
		return 0, fault.Wrap(fault.Uncertain, "write of "+o.key, ctx.Err())
	}
}

// Finish records the outcome of a claimed request. If the write fails or ctx
// ends, Finish returns and the outcome is recorded in the background: the
// caller already has the result.
func (c *Claims) Finish(ctx context.Context, claim *Claim, res structs.Result) {
	rec := claim.rec
	rec.Outcome = res.Outcome
	rec.Reason = res.Reason
	c.attachAnswer(ctx, &rec, claim.key, res.Answer)
	o := newWriteOp(store.ClaimKey(claim.key), rec, claim.revision, "")
	if _, err := c.write(ctx, o); err != nil {
		c.resolveLater(&unresolvedRecord{key: claim.key, rec: rec})
	}
}

// attachAnswer stores an answer in the row or, if it is large, in the object
// store. If it can't be stored, the record notes that it is missing.
func (c *Claims) attachAnswer(ctx context.Context, rec *record, k structs.RequestKey, answer []byte) {
	if len(answer) <= maxInlineAnswer {
		rec.Answer = answer
		return
	}
	name := "answer/" + k.Workspace + "/" + k.ID
	if err := c.objects.Put(ctx, name, answer); err != nil {
		c.log.Warn("answer_not_stored", zap.String("request", k.ID), zap.Error(err))
		rec.Reason = "the answer was delivered but could not be kept"
		rec.AnswerLost = true
		return
	}
	rec.Object = name
}

// RecordNotRun records that a request was not run, unless it already has a row,
// and returns the result for the caller: OutcomeNotRun once that is recorded,
// the recorded outcome if there is one before ctx ends, otherwise OutcomeUnknown.
// If the write fails, it is retried in the background. RecordNotRun fails only with
// fault.Exists, if the ID was used for a different request.
func (c *Claims) RecordNotRun(ctx context.Context, req structs.Request, reason string) (structs.Result, error) {
	rec := c.newRecord(c.incarnation(), req, structs.OutcomeNotRun)
	rec.Reason = reason
	_, err := c.write(ctx, newWriteOp(store.ClaimKey(req.Key), rec, 0, ""))
	switch fault.CodeOf(err) {
	case "":
		return structs.Result{Outcome: structs.OutcomeNotRun, Reason: reason}, nil
	case fault.Conflict:
		return c.Wait(ctx, req)
	default:
		c.resolveLater(&unresolvedRecord{key: req.Key, rec: rec})
		return unknownResult(reason + "; not run by this instance, but that could not be recorded"), nil
	}
}

func unknownResult(reason string) structs.Result {
	return structs.Result{Outcome: structs.OutcomeUnknown, Reason: reason}
}

// Unresolved returns the number of outcomes that are still to be recorded in the
// background.
func (c *Claims) Unresolved() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unresolvedCount
}
