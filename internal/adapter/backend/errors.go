package backend

import (
	"errors"

	"connectrpc.com/connect"

	backendv1 "github.com/lentilwinch/lentilwinch/gen/backend/v1"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// AnswerDefect says why an answer was not taken.
type AnswerDefect string

// The defects of an answer.
const (
	WrongRequestID AnswerDefect = "wrong_request_id"
	WrongAttemptID AnswerDefect = "wrong_attempt_id"
	WrongLength    AnswerDefect = "wrong_length"
	WrongDigest    AnswerDefect = "wrong_digest"
	Oversized      AnswerDefect = "oversized"
	// WrongRefusal is a refusal of another request.
	WrongRefusal AnswerDefect = "wrong_refusal"
)

// AnswerError means that an answer arrived but isn't the whole answer to the
// request. The request may have run.
type AnswerError struct {
	Defect AnswerDefect
}

// Error names the defect.
func (e *AnswerError) Error() string {
	return "uncertain: answer was not taken: " + string(e.Defect)
}

// FaultCode returns fault.Uncertain.
func (e *AnswerError) FaultCode() fault.Code {
	return fault.Uncertain
}

// executeError maps a failed Execute.
func executeError(f *httpclient.Flight, e port.Execution, err error) error {
	detail := refusal(err)
	if detail != nil && isOwn(e, detail) {
		return refusedError(detail)
	}
	if !f.Seal() {
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

// isOwn reports whether a refusal is that of the execution. One that was
// crossed with another request's says nothing about this one.
func isOwn(e port.Execution, d *backendv1.RefusalDetail) bool {
	return d.GetRequestId() == e.Request.Key.ID && d.GetAttemptId() == e.Attempt
}

// refusal returns the refusal that a server reported, or nil. A failure that
// was made up on the way, as by an HTTP status alone, carries no such detail.
func refusal(err error) *backendv1.RefusalDetail {
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

// refusalReason takes a reason that is not known here for full slots: the
// request was not started, and another server may take it.
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
