package requests

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/duty/claims"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	assignment dispatch.Assignment
	result     dispatch.Result
	// claim is the call's claim, or nil if it has none yet.
	claim *claims.Claim
	// callResult, if set, completes the call.
	callResult *structs.Result
	reason     string
	// leaving is set if the server reported that it is leaving.
	leaving bool
}

// attempt claims the request, if it is not repeatable, and executes it on a
// server. It doesn't modify state of the loop: only the loop sets c.claim,
// while no other attempt of the call is in progress.
func (r *Requests) attempt(ctx context.Context, c *call, server structs.Instance, a dispatch.Assignment) attemptResult {
	res := attemptResult{assignment: a, claim: c.claim}
	if !c.service.Repeatable && res.claim == nil {
		claim, err := r.claim(ctx, c)
		if err != nil {
			return claimFailed(res, err)
		}
		res.claim = claim
	}
	if !time.Now().Before(c.req.Deadline) {
		// The deadline passed during the claim or while this process was
		// suspended.
		res.result.Kind = dispatch.NotStarted
		res.result.Abandoned = true
		res.reason = string(fault.Timeout) + ": the deadline passed before the request was sent"
		return res
	}
	if r.config().Evacuated[server.Domain] {
		// The evacuation came into force during the claim.
		res.result.Kind = dispatch.Withdrawn
		res.reason = "failure domain " + server.Domain + " is evacuated"
		return res
	}
	sent := time.Now()
	deadline := attemptDeadline(sent, c.req, a)
	answer, err := r.execute(ctx, c, server, a, deadline)
	res.result.Elapsed = time.Since(sent)
	if err != nil {
		classifyFailure(&res, err, deadline)
		return res
	}
	res.result.Kind = dispatch.Succeeded
	res.result.Load = &answer.Load
	res.leaving = answer.Load.Leaving
	res.callResult = &structs.Result{Outcome: structs.OutcomeDone, Answer: answer.Body}
	return res
}

func (r *Requests) claim(ctx context.Context, c *call) (*claims.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	return r.claims.Claim(ctx, c.req)
}

// claimFailed returns the result of an attempt whose claim was not granted.
// Nothing was sent to the server.
func claimFailed(res attemptResult, err error) attemptResult {
	res.result.Kind = dispatch.NotStarted
	res.result.Abandoned = true
	res.reason = err.Error()
	var claimed *claims.AlreadyClaimedError
	if errors.As(err, &claimed) {
		res.callResult = &structs.Result{Outcome: structs.OutcomePending}
		return res
	}
	res.callResult = &structs.Result{Outcome: structs.OutcomeNotRun, Reason: "the request could not be claimed: " + res.reason}
	return res
}

// attemptDeadline returns the request's own deadline, or an earlier one if the
// dispatcher limits the attempt.
func attemptDeadline(sent time.Time, req structs.Request, a dispatch.Assignment) time.Time {
	if limit := sent.Add(a.Limit); a.Limit > 0 && limit.Before(req.Deadline) {
		return limit
	}
	return req.Deadline
}

func (r *Requests) execute(ctx context.Context, c *call, server structs.Instance, a dispatch.Assignment, deadline time.Time) (port.Answer, error) {
	req := c.req
	req.Deadline = deadline
	e := port.Execution{Request: req, Attempt: strconv.Itoa(a.Attempt)}
	return r.backends.Execute(ctx, server, e)
}

// classifyFailure sets the kind of a failed attempt's result, its reason and, if
// the server refused, the load and whether the server is leaving.
func classifyFailure(res *attemptResult, err error, deadline time.Time) {
	res.reason = err.Error()
	var refused *port.RefusedError
	switch {
	case errors.As(err, &refused):
		res.result.Load = loadOf(refused)
		res.leaving = refused.Reason == port.RefusedLeaving || refused.Load.Leaving
		res.result.Kind = refusalKind(refused.Reason)
	case fault.Is(err, fault.Unavailable):
		res.result.Kind = dispatch.NotStarted
	default:
		res.result.Kind = dispatch.Failed
		res.result.Abandoned = !time.Now().Before(deadline)
	}
}

// loadOf returns the server load that a refusal reports, or nil if a refusal
// for lack of slots reports free slots. All slots then count as occupied:
// otherwise the request would be sent to the same server repeatedly without
// delay.
func loadOf(refused *port.RefusedError) *port.BackendLoad {
	if refused.Reason == port.RefusedSlotsFull && refused.Load.Busy < refused.Load.Slots {
		return nil
	}
	return &refused.Load
}

func refusalKind(reason port.RefusalReason) dispatch.ResultKind {
	switch reason {
	case port.RefusedSlotsFull:
		return dispatch.RefusedFull
	case port.RefusedLeaving:
		return dispatch.RefusedLeaving
	default:
		return dispatch.NotStarted
	}
}
