package backend

import (
	"errors"

	"connectrpc.com/connect"

	backendv1 "github.com/lentilwinch/lentilwinch/gen/backend/v1"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// AnswerDefect is the reason why an answer was rejected.
type AnswerDefect string

// The defects for which an answer is rejected.
const (
	WrongRequestID AnswerDefect = "wrong_request_id"
	WrongAttemptID AnswerDefect = "wrong_attempt_id"
	WrongLength    AnswerDefect = "wrong_length"
	WrongDigest    AnswerDefect = "wrong_digest"
	Oversized      AnswerDefect = "oversized"
	// WrongRefusal is a refusal that belongs to another request or attempt.
	WrongRefusal AnswerDefect = "wrong_refusal"
)

// AnswerError means that an answer or refusal arrived but was rejected because it
// is incomplete or too large or belongs to another request or attempt. The request
// may have run.
type AnswerError struct {
	Defect AnswerDefect
}

// Error implements error. The text includes the defect.
func (e *AnswerError) Error() string {
	return "uncertain: answer was not taken: " + string(e.Defect)
}

// FaultCode returns fault.Uncertain.
func (e *AnswerError) FaultCode() fault.Code {
	return fault.Uncertain
}

// executeError maps a failure of Execute to *port.RefusedError, *AnswerError,
// fault.Unavailable (not sent) or fault.Uncertain (may have run).
func executeError(tracked *httpclient.TrackedRequest, e port.Execution, err error) error {
	detail := refusalDetail(err)
	if detail != nil && matchesExecution(e, detail) {
		return refusedError(detail)
	}
	if !tracked.Abort() {
		return fault.Wrap(fault.Unavailable, "request was not sent", err)
	}
	if detail != nil {
		return &AnswerError{Defect: WrongRefusal}
	}
	var oversized *httpclient.OversizedError
	if errors.As(err, &oversized) {
		return &AnswerError{Defect: Oversized}
	}
	return fault.Wrap(fault.Uncertain, "request may have run", err)
}

// matchesExecution reports whether a refusal belongs to the execution. A refusal
// of another request or attempt doesn't show that this one was not started.
func matchesExecution(e port.Execution, d *backendv1.RefusalDetail) bool {
	return d.GetRequestId() == e.Request.Key.ID && d.GetAttemptId() == e.Attempt
}

// refusalDetail returns the refusal that the server reported, or nil. Errors that
// did not come from the server, such as those inferred from an HTTP status, have
// no such detail.
func refusalDetail(err error) *backendv1.RefusalDetail {
	var ce *connect.Error
	if !connect.IsWireError(err) || !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		value, derr := d.Value()
		if derr != nil {
			continue
		}
		if detail, ok := value.(*backendv1.RefusalDetail); ok {
			return detail
		}
	}
	return nil
}

func refusedError(d *backendv1.RefusalDetail) *port.RefusedError {
	return &port.RefusedError{Reason: refusalReason(d.GetReason()), Load: loadOf(d.GetLoad())}
}

// refusalReason maps an unknown reason to RefusedSlotsFull, since in both cases
// the request was not started and another server may accept it.
func refusalReason(r backendv1.RefusalReason) port.RefusalReason {
	switch r {
	case backendv1.RefusalReason_REFUSAL_REASON_LEAVING:
		return port.RefusedLeaving
	case backendv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE:
		return port.RefusedUnknownService
	default:
		return port.RefusedSlotsFull
	}
}

func loadOf(l *backendv1.Load) port.BackendLoad {
	return port.BackendLoad{Slots: int(l.GetSlots()), Busy: int(l.GetBusy()), Leaving: l.GetLeaving()}
}
