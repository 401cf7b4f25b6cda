package cli

import (
	"errors"

	"connectrpc.com/connect"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// decodeFault returns the typed failure of a call. Without the server's own
// word for it, a call that was sent may have taken effect.
func decodeFault(err error, target string, sent bool) *fault.Error {
	if detail := detailOf(err); detail != nil {
		return faultOf(detail)
	}
	if !sent {
		return fault.Wrap(fault.Unavailable, "no connection to "+target, err)
	}
	if connect.IsWireError(err) {
		return fault.Wrap(codeOfConnect(connect.CodeOf(err)), "answer of "+target, err)
	}
	return fault.Wrap(fault.Uncertain, "no answer from "+target, err)
}

func detailOf(err error) *lentilwinchv1.ErrorDetail {
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

func faultOf(detail *lentilwinchv1.ErrorDetail) *fault.Error {
	out := fault.New(fault.Code(detail.GetCode()), detail.GetMessage())
	out.Number = detail.GetNumber()
	for _, p := range detail.GetProblems() {
		out.Problems = append(out.Problems, fault.Problem{
			Path:    p.GetPath(),
			Value:   p.GetValue(),
			Allowed: p.GetAllowed(),
		})
	}
	return out
}

// codeOfConnect maps a code that the server sent without detail.
func codeOfConnect(code connect.Code) fault.Code {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented, connect.CodeOutOfRange,
		// The server's own limit on a message; a full queue comes with detail.
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
