package platform

import (
	"errors"
	"net/http"

	"connectrpc.com/connect"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// reply returns the response, or err converted by wireError.
func reply[T any](resp *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(resp), nil
}

// wireError converts err to a Connect error. For fault.Uncertain it aborts the
// connection instead, because the caller of a real service also sees a closed
// connection when a reply is lost.
func wireError(err error) error {
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		return conflictError(conflict)
	}
	switch fault.CodeOf(err) {
	case fault.Uncertain:
		panic(http.ErrAbortHandler)
	case fault.Unavailable:
		return connect.NewError(connect.CodeUnavailable, err)
	case fault.Refused:
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case fault.Fenced, fault.NotFound:
		return connect.NewError(connect.CodeNotFound, err)
	case fault.Invalid:
		return connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return connect.NewError(connect.CodeInternal, err)
	}
}

func conflictError(conflict *port.ConflictError) error {
	out := connect.NewError(connect.CodeAborted, conflict)
	detail, err := connect.NewErrorDetail(&platformv1.ConflictDetail{Keys: conflict.Keys})
	if err != nil {
		return connect.NewError(connect.CodeInternal, err)
	}
	out.AddDetail(detail)
	return out
}
