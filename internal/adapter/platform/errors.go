package platform

import (
	"errors"

	"connectrpc.com/connect"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// operation describes a call to the mapping of its failures.
type operation struct {
	name string
	// mutates marks a call that may have taken effect once it was sent.
	mutates bool
	// notFound is the code for an answer of "not found".
	notFound fault.Code
	// silent drops the unused connections to where the call went.
	silent func()
}

// failure maps a failed call to a typed failure.
func (op operation) failure(f *httpclient.Flight, err error) error {
	if connect.IsWireError(err) {
		return op.answered(err)
	}
	if f.Seal() {
		// What made one connection go silent often took others too.
		op.silent()
		return fault.Wrap(op.unanswered(), op.name+" was not answered", err)
	}
	return fault.Wrap(fault.Unavailable, op.name+" was not sent", err)
}

// answered maps a failure that the service itself reported.
func (op operation) answered(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable:
		return fault.Wrap(fault.Unavailable, op.name, err)
	case connect.CodeAborted:
		return op.aborted(err)
	case connect.CodeFailedPrecondition:
		return fault.Wrap(fault.Refused, op.name, err)
	case connect.CodeNotFound:
		return fault.Wrap(op.missing(), op.name, err)
	case connect.CodeInvalidArgument:
		return fault.Wrap(fault.Invalid, op.name, err)
	default:
		return fault.Wrap(op.unanswered(), op.name, err)
	}
}

// unanswered is the code of a call that was sent and whose effect is not known.
func (op operation) unanswered() fault.Code {
	if op.mutates {
		return fault.Uncertain
	}
	return fault.Unavailable
}

func (op operation) missing() fault.Code {
	if op.notFound == "" {
		return op.unanswered()
	}
	return op.notFound
}

// aborted returns a conflict when the answer names the conditions that failed.
func (op operation) aborted(err error) error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return fault.Wrap(op.unanswered(), op.name, err)
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
	return fault.Wrap(op.unanswered(), op.name, err)
}
