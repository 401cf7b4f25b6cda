// Package claims makes requests that may not be repeated run at most once. An
// incarnation writes a claim row before its one dispatch and the outcome after
// it; whoever else sees the same request ID finds the row. Writes share
// commits.
//
// That a request was not run is only ever said once the row says so, because
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
	pendingCapacity = 4096
	// settleCapacity covers a minute's outage at 270 requests a second.
	settleCapacity = 16384
	// maxInlineAnswer is the largest answer that is kept in the row.
	maxInlineAnswer = 16 << 10
	// firstPoll and maxPoll bound the time between reads of another holder's
	// row.
	firstPoll = 50 * time.Millisecond
	maxPoll   = time.Second
)

// Settings of the duty.
type Settings struct {
	// Flush is how long a write waits for others to share its commit.
	Flush time.Duration
	// Batch bounds the writes of one commit, Commits the commits in progress.
	Batch   int
	Commits int64
	// CommitTimeout bounds the tries to commit a batch.
	CommitTimeout time.Duration
	// SettleRetry is the time between tries to record an outcome after its
	// first write failed.
	SettleRetry time.Duration
	// SettleInterval is the least time between two outcomes that are recorded
	// after an outage, so that all instances together leave the table room for
	// heartbeats; 0 sets none.
	SettleInterval time.Duration
}

// Claims is safe for concurrent use.
type Claims struct {
	settings Settings
	store    *store.Store
	objects  port.Objects
	// incarnation returns the present session's.
	incarnation func() string
	log         *zap.Logger

	pending *ring.Ring[*op]
	commits *semaphore.Weighted
	settle  *ring.Ring[*unsettled]
	serial  atomic.Uint64
	table   answering
	wg      sync.WaitGroup

	mu        sync.Mutex
	unsettled int
}

// New returns the duty; Run must be called for it to write anything.
func New(s Settings, st *store.Store, objects port.Objects, incarnation func() string, log *zap.Logger) *Claims {
	return &Claims{
		settings:    s,
		store:       st,
		objects:     objects,
		incarnation: incarnation,
		log:         log,
		pending:     ring.New[*op]("claim writes", pendingCapacity),
		commits:     semaphore.NewWeighted(s.Commits),
		settle:      ring.New[*unsettled]("unsettled claims", settleCapacity),
		// A record that can't be written is tried again within that time.
		table: answering{window: s.CommitTimeout + 2*s.SettleRetry},
	}
}

// Claim is the right to dispatch one request once.
type Claim struct {
	key      structs.RequestKey
	rec      record
	revision int64
}

// HeldError means that the request has a row already.
type HeldError struct {
	Key structs.RequestKey
}

// Error names the request.
func (e *HeldError) Error() string {
	return "conflict: request " + e.Key.Workspace + "/" + e.Key.ID + " is held or ended already"
}

// FaultCode returns fault.Conflict.
func (e *HeldError) FaultCode() fault.Code {
	return fault.Conflict
}

// Claim takes the right to dispatch a request. It fails with *HeldError when
// the request has a row, with fault.Fenced when this process's session has
// ended, with fault.Overloaded, and with fault.Unavailable or fault.Uncertain
// by the table. After a failure the caller must not dispatch.
//
// While the table takes no commits Claim fails at once: a slot is held for
// each claim, and requests that need no claim would lack them.
func (c *Claims) Claim(ctx context.Context, req structs.Request) (*Claim, error) {
	if !c.table.hopeful(time.Now()) {
		return nil, fault.New(fault.Unavailable, "the table takes no commits")
	}
	incarnation := c.incarnation()
	claim := &Claim{
		key: req.Key,
		rec: c.newRecord(incarnation, req, structs.OutcomePending),
	}
	o := newOp(store.ClaimKey(req.Key), claim.rec, 0, incarnation)
	revision, err := c.write(ctx, o)
	switch fault.CodeOf(err) {
	case "":
		claim.revision = revision
		return claim, nil
	case fault.Conflict:
		return nil, &HeldError{Key: req.Key}
	case fault.Uncertain:
		c.table.failed(time.Now())
		c.giveUp(claim, "claim was not confirmed")
		return nil, err
	default:
		return nil, err
	}
}

func (c *Claims) newRecord(incarnation string, req structs.Request, o structs.Outcome) record {
	return record{Holder: incarnation, Serial: c.serial.Add(1), Digest: digestOf(req), Outcome: o, Since: time.Now().Unix()}
}

// giveUp records in the background that a claim which may exist was not used.
func (c *Claims) giveUp(claim *Claim, reason string) {
	rec := claim.rec
	rec.Outcome = structs.OutcomeNotRun
	rec.Reason = reason
	c.settleLater(&unsettled{key: claim.key, rec: rec})
}

// write queues a write and waits for its result; ctx ending first leaves the
// write in progress.
func (c *Claims) write(ctx context.Context, o *op) (int64, error) {
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

// Finish records the outcome of a claimed request. Where that can't be done
// now it goes on in the background, and Finish returns all the same once ctx
// ends: the holder's own knowledge is the answer.
func (c *Claims) Finish(ctx context.Context, claim *Claim, res structs.Result) {
	rec := claim.rec
	rec.Outcome = res.Outcome
	rec.Reason = res.Reason
	c.attach(ctx, &rec, claim.key, res.Answer)
	o := newOp(store.ClaimKey(claim.key), rec, claim.revision, "")
	if _, err := c.write(ctx, o); err != nil {
		c.settleLater(&unsettled{key: claim.key, rec: rec})
	}
}

// attach puts an answer into the row or, if large, into the object store. An
// answer that can't be stored leaves a record without it.
func (c *Claims) attach(ctx context.Context, rec *record, k structs.RequestKey, answer []byte) {
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

// Refuse records that a request was not run, unless it has a row already, and
// returns what may be told: not run if that is recorded, the recorded outcome
// if there is one, else unknown. It fails with fault.Exists when the ID was
// used for a different request.
func (c *Claims) Refuse(ctx context.Context, req structs.Request, reason string) (structs.Result, error) {
	rec := c.newRecord(c.incarnation(), req, structs.OutcomeNotRun)
	rec.Reason = reason
	_, err := c.write(ctx, newOp(store.ClaimKey(req.Key), rec, 0, ""))
	switch fault.CodeOf(err) {
	case "":
		return structs.Result{Outcome: structs.OutcomeNotRun, Reason: reason}, nil
	case fault.Conflict:
		return c.Wait(ctx, req)
	default:
		c.settleLater(&unsettled{key: req.Key, rec: rec})
		return unknown(reason + "; not run by this instance, but that could not be recorded"), nil
	}
}

func unknown(reason string) structs.Result {
	return structs.Result{Outcome: structs.OutcomeUnknown, Reason: reason}
}

// Unsettled returns the number of outcomes that are not recorded yet.
func (c *Claims) Unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsettled
}
