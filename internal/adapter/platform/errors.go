package platform

import (
	"errors"

	"connectrpc.com/connect"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// operation has the properties of a call that determine how its errors are
// mapped.
type operation struct {
	name string
	// mutates is true if the call may have an effect once it was sent.
	mutates bool
	// notFound is the code for a "not found" error of the service. If it is empty,
	// such an error has the code of an unanswered call.
	notFound fault.Code
	// closeIdle closes the idle connections to the server of the call.
	closeIdle func()
}

// mapError maps the error of a call to a typed error.
func (op operation) mapError(tracked *httpclient.TrackedRequest, err error) error {
	if connect.IsWireError(err) {
		return op.mapServiceError(err)
	}
	if tracked.Abort() {
		// A failure that stalls one connection often stalls the others too.
		op.closeIdle()
		return fault.Wrap(op.unansweredCode(), op.name+" was not answered", err)
	}
	return fault.Wrap(fault.Unavailable, op.name+" was not sent", err)
}

// mapServiceError maps an error that the service itself reported.
func (op operation) mapServiceError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable:
		return fault.Wrap(fault.Unavailable, op.name, err)
	case connect.CodeAborted:
		return op.mapAborted(err)
	case connect.CodeFailedPrecondition:
		return fault.Wrap(fault.Refused, op.name, err)
	case connect.CodeNotFound:
		return fault.Wrap(op.notFoundCode(), op.name, err)
	case connect.CodeInvalidArgument:
		return fault.Wrap(fault.Invalid, op.name, err)
	default:
		return fault.Wrap(op.unansweredCode(), op.name, err)
	}
}

// unansweredCode returns the code for a call that was sent but whose effect is
// unknown.
func (op operation) unansweredCode() fault.Code {
	if op.mutates {
		return fault.Uncertain
	}
	return fault.Unavailable
}

// notFoundCode returns the code for a "not found" error of the service.
func (op operation) notFoundCode() fault.Code {
	if op.notFound == "" {
		return op.unansweredCode()
	}
	return op.notFound
}

// mapAborted returns *port.ConflictError if the error reports the keys of the
// failed conditions. Otherwise the error has the code of an unanswered call.
func (op operation) mapAborted(err error) error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return fault.Wrap(op.unansweredCode(), op.name, err)
	}
	for _, d := range ce.Details() {
		value, derr := d.Value()
		if derr != nil {
			continue
		}
		if conflict, ok := value.(*platformv1.ConflictDetail); ok {
			return &port.ConflictError{Keys: conflict.GetKeys()}
		}
	}
	return fault.Wrap(op.unansweredCode(), op.name, err)
}
