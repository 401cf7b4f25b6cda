package cli

import (
	"errors"

	"connectrpc.com/connect"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// decodeFault converts the error of a call. A call that was sent and failed
// without an error detail from the server may have taken effect, unless the server
// sent a Connect code that rules it out.
func decodeFault(err error, target string, sent bool) *fault.Error {
	if detail := errorDetail(err); detail != nil {
		return faultFromDetail(detail)
	}
	if !sent {
		return fault.Wrap(fault.Unavailable, "no connection to "+target, err)
	}
	if connect.IsWireError(err) {
		return fault.Wrap(faultCodeOf(connect.CodeOf(err)), "answer of "+target, err)
	}
	return fault.Wrap(fault.Uncertain, "no answer from "+target, err)
}

func errorDetail(err error) *lentilwinchv1.ErrorDetail {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, d := range connectErr.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if detail, ok := value.(*lentilwinchv1.ErrorDetail); ok {
			return detail
		}
	}
	return nil
}

func faultFromDetail(detail *lentilwinchv1.ErrorDetail) *fault.Error {
	out := fault.New(fault.Code(detail.GetCode()), detail.GetMessage())
	out.TicketNumber = detail.GetNumber()
	for _, p := range detail.GetProblems() {
		out.Problems = append(out.Problems, fault.Problem{
			Path:    p.GetPath(),
			Value:   p.GetValue(),
			Allowed: p.GetAllowed(),
		})
	}
	return out
}

// faultCodeOf maps a Connect code that the server sent without an error detail.
func faultCodeOf(code connect.Code) fault.Code {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented, connect.CodeOutOfRange,
		// The message exceeds the server's size limit. The error of a full queue
		// has an error detail.
		connect.CodeResourceExhausted:
		return fault.Invalid
	case connect.CodeNotFound:
		return fault.NotFound
	case connect.CodeAlreadyExists:
		return fault.Exists
	case connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return fault.Refused
	default:
		return fault.Uncertain
	}
}
