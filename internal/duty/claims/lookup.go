package claims

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// Wait returns the result of a request that already has a row. It waits for the
// outcome until ctx ends, retrying failed reads. The outcome is OutcomeUnknown
// if that is recorded, if the holder's session has ended, if ctx ends first or if
// the request's answer could not be stored. Wait fails only with fault.Exists, if
// the ID was used for a different request.
func (c *Claims) Wait(ctx context.Context, req structs.Request) (structs.Result, error) {
	digest := digestOf(req)
	delay := minPollInterval
	for {
		res, err := c.pollOnce(ctx, req.Key, digest)
		if fault.Is(err, fault.Exists) {
			return structs.Result{}, err
		}
		if err == nil && res.Outcome != structs.OutcomePending {
			return res, nil
		}
		if wait.For(ctx, delay) != nil {
			return unknownResult("another instance holds the request"), nil
		}
		delay = min(2*delay, maxPollInterval)
	}
}

// pollOnce reads the row once and returns the outcome, or OutcomePending. It
// compares the digest on every read, because earlier reads may have failed or
// found no row.
func (c *Claims) pollOnce(ctx context.Context, k structs.RequestKey, digest []byte) (structs.Result, error) {
	found, err := c.find(ctx, k)
	if err != nil {
		return structs.Result{}, err
	}
	if !found.rec.sameRequest(digest) {
		return structs.Result{}, fault.New(fault.Exists, "request ID "+k.ID+" was used for a different request")
	}
	if found.rec.AnswerLost {
		return unknownResult("the request was run but its answer could not be kept"), nil
	}
	return c.outcome(ctx, k, found)
}

// Lookup returns the recorded outcome of a request, or OutcomePending while its
// holder's session exists. If that session has ended, Lookup records the
// outcome as unknown. If an answer could not be stored, it is missing and
// Reason says so.
//
// Lookup fails with fault.NotFound if the request has no row or its answer is
// missing from the object store, with fault.Unavailable or fault.Uncertain if
// the table or the object store doesn't reply, and with fault.Invalid if the row
// can't be decoded.
func (c *Claims) Lookup(ctx context.Context, k structs.RequestKey) (structs.Result, error) {
	found, err := c.find(ctx, k)
	if err != nil {
		return structs.Result{}, err
	}
	return c.outcome(ctx, k, found)
}

func (c *Claims) find(ctx context.Context, k structs.RequestKey) (claimRow, error) {
	found, ok, err := c.read(ctx, k)
	if err == nil && !ok {
		err = fault.New(fault.NotFound, "request "+k.ID+" has no record")
	}
	return found, err
}

func (c *Claims) outcome(ctx context.Context, k structs.RequestKey, found claimRow) (structs.Result, error) {
	if found.rec.final() {
		return c.result(ctx, found.rec)
	}
	rows, err := c.store.Get(ctx, store.SessionKey(found.rec.Holder))
	if err != nil {
		return structs.Result{}, err
	}
	if len(rows) > 0 {
		return structs.Result{Outcome: structs.OutcomePending, Reason: "in progress"}, nil
	}
	return c.recordUnknown(ctx, k, found)
}

// claimRow is a record with the revision of its row.
type claimRow struct {
	rec      record
	revision int64
}

func (c *Claims) read(ctx context.Context, k structs.RequestKey) (claimRow, bool, error) {
	rows, err := c.store.Get(ctx, store.ClaimKey(k))
	if err != nil {
		return claimRow{}, false, err
	}
	row, ok := rows[store.ClaimKey(k)]
	if !ok {
		return claimRow{}, false, nil
	}
	return decodeClaim(row)
}

func decodeClaim(row port.Row) (claimRow, bool, error) {
	out := claimRow{revision: row.Revision}
	if err := store.Decode(row, &out.rec); err != nil {
		return claimRow{}, false, err
	}
	return out, true, nil
}

func (c *Claims) result(ctx context.Context, rec record) (structs.Result, error) {
	res := structs.Result{Outcome: rec.Outcome, Reason: rec.Reason, Answer: rec.Answer}
	if rec.Object == "" {
		return res, nil
	}
	answer, err := c.objects.Get(ctx, rec.Object)
	if err != nil {
		return structs.Result{}, err
	}
	res.Answer = answer
	return res, nil
}

// recordUnknown records an unknown outcome for a request whose holder's session
// has ended. It never records that the request was not run, because the holder
// may have dispatched it.
func (c *Claims) recordUnknown(ctx context.Context, k structs.RequestKey, found claimRow) (structs.Result, error) {
	rec := found.rec
	rec.Outcome = structs.OutcomeUnknown
	rec.Reason = "the instance that held the request is gone"
	txn := new(store.Txn).Update(store.ClaimKey(k), found.revision, rec)
	txn.RequireAbsent(store.SessionKey(found.rec.Holder))
	_, err := c.store.Commit(ctx, txn)
	if fault.Is(err, fault.Conflict) {
		return structs.Result{Outcome: structs.OutcomePending, Reason: "in progress"}, nil
	}
	if err != nil {
		return structs.Result{}, err
	}
	return structs.Result{Outcome: rec.Outcome, Reason: rec.Reason}, nil
}
