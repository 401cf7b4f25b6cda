package api

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// toConnectError converts a typed error to a connect error with an ErrorDetail.
func toConnectError(err error) error {
	if err == nil {
		return nil
	}
	code := codeOf(err)
	out := connect.NewError(connectCode(code), err)
	detail, detailErr := connect.NewErrorDetail(errorDetail(code, err))
	if detailErr == nil {
		out.AddDetail(detail)
	}
	return out
}

// codeOf returns the fault code of err. A context error that has no code, or
// fault.Internal, is a timeout.
func codeOf(err error) fault.Code {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		if code := fault.CodeOf(err); code != fault.Internal {
			return code
		}
		return fault.Timeout
	}
	return fault.CodeOf(err)
}

func errorDetail(code fault.Code, err error) *lentilwinchv1.ErrorDetail {
	detail := &lentilwinchv1.ErrorDetail{Code: string(code), Message: err.Error()}
	// Each typed error in the chain adds its problems to the detail. The highest
	// ticket number in the chain is kept.
	var typed *fault.Error
	for errors.As(err, &typed) {
		detail.Number = max(detail.Number, typed.TicketNumber)
		for _, p := range typed.Problems {
			detail.Problems = append(detail.Problems, &lentilwinchv1.Problem{Path: p.Path, Value: p.Value, Allowed: p.Allowed})
		}
		err = typed.Unwrap()
	}
	return detail
}

func connectCode(code fault.Code) connect.Code {
	switch code {
	case fault.Invalid:
		return connect.CodeInvalidArgument
	case fault.Conflict:
		return connect.CodeAborted
	case fault.NotFound:
		return connect.CodeNotFound
	case fault.Exists:
		return connect.CodeAlreadyExists
	case fault.Refused, fault.Unplaceable, fault.Fenced:
		return connect.CodeFailedPrecondition
	case fault.Unavailable, fault.Draining, fault.NotReady:
		return connect.CodeUnavailable
	case fault.Uncertain:
		return connect.CodeUnknown
	case fault.Overloaded:
		return connect.CodeResourceExhausted
	case fault.Timeout:
		return connect.CodeDeadlineExceeded
	default:
		return connect.CodeInternal
	}
}
