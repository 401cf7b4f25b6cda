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

// attemptDone is the end of one attempt.
type attemptDone struct {
	assignment dispatch.Assignment
	result     dispatch.Result
	// claim is the call's claim, if it has one by now.
	claim *claims.Claim
	// outcome, if set, ends the call.
	outcome *structs.Result
	reason  string
	// left is set when the server said that it is leaving.
	left bool
}

// attempt claims the request, where it may not be repeated, and executes it on
// a server. It touches no state of the loop: c.claim is only set by the loop,
// which has no other attempt of the call in progress.
func (r *Requests) attempt(ctx context.Context, c *call, server structs.Instance, a dispatch.Assignment) attemptDone {
	done := attemptDone{assignment: a, claim: c.claim}
	if !c.service.Repeatable && done.claim == nil {
		claim, err := r.claim(ctx, c)
		if err != nil {
			return unclaimed(done, err)
		}
		done.claim = claim
	}
	if !time.Now().Before(c.req.Deadline) {
		// The claim took too long, or this process was paused.
		done.result.Kind = dispatch.NotStarted
		done.result.Abandoned = true
		done.reason = string(fault.Timeout) + ": the deadline passed before the request was sent"
		return done
	}
	sent := time.Now()
	deadline := attemptDeadline(sent, c.req, a)
	answer, err := r.execute(ctx, c, server, a, deadline)
	done.result.Elapsed = time.Since(sent)
	if err != nil {
		failed(&done, err, deadline)
		return done
	}
	done.result.Kind = dispatch.Succeeded
	done.result.Load = &answer.Load
	done.left = answer.Load.Leaving
	done.outcome = &structs.Result{Outcome: structs.OutcomeDone, Answer: answer.Body}
	return done
}

func (r *Requests) claim(ctx context.Context, c *call) (*claims.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	return r.claims.Claim(ctx, c.req)
}

// unclaimed ends a call whose claim was not granted. Nothing was dispatched.
func unclaimed(done attemptDone, err error) attemptDone {
	done.result.Kind = dispatch.NotStarted
	done.result.Abandoned = true
	done.reason = err.Error()
	var held *claims.HeldError
	if errors.As(err, &held) {
		done.outcome = &structs.Result{Outcome: structs.OutcomePending}
		return done
	}
	done.outcome = &structs.Result{Outcome: structs.OutcomeNotRun, Reason: "the request could not be claimed: " + done.reason}
	return done
}

// attemptDeadline is the request's own deadline, or an earlier one where the
// dispatcher limits the attempt.
func attemptDeadline(now time.Time, req structs.Request, a dispatch.Assignment) time.Time {
	if limit := now.Add(a.Limit); a.Limit > 0 && limit.Before(req.Deadline) {
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

// failed classifies an attempt's failure.
func failed(done *attemptDone, err error, deadline time.Time) {
	done.reason = err.Error()
	var refused *port.RefusedError
	switch {
	case errors.As(err, &refused):
		done.result.Load = loadOf(refused)
		done.left = refused.Reason == port.RefusedLeaving || refused.Load.Leaving
		done.result.Kind = refusalKind(refused.Reason)
	case fault.Is(err, fault.Unavailable):
		done.result.Kind = dispatch.NotStarted
	default:
		done.result.Kind = dispatch.Failed
		done.result.Abandoned = !time.Now().Before(deadline)
	}
}

// loadOf returns what a refusal says of the server's load. One for want of
// slots means that all are taken, also where the count says otherwise: else
// the request would be sent there again at once, and again.
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
