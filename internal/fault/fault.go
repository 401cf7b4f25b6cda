// Package fault defines the failures that the scheduler reports. Every failure
// carries a Code that the interface, the command line and the logs show alike.
package fault

import (
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Code is a stable word for a kind of failure.
type Code string

// The codes.
const (
	// Invalid means that the input breaks a stated rule.
	Invalid Code = "invalid"
	// Conflict means that somebody else's change came first.
	Conflict Code = "conflict"
	// NotFound means that the named object doesn't exist.
	NotFound Code = "not_found"
	// Exists means that the name is in use by something different.
	Exists Code = "exists"
	// Refused means that the other side declined before it started.
	Refused Code = "refused"
	// Unavailable means that the operation certainly had no effect.
	Unavailable Code = "unavailable"
	// Uncertain means that the operation may have taken effect.
	Uncertain Code = "uncertain"
	// Fenced means that the lease or ownership used was lost.
	Fenced Code = "fenced"
	// Overloaded means that a bounded queue or budget is full.
	Overloaded Code = "overloaded"
	// Timeout means that the deadline passed before the work began.
	Timeout Code = "timeout"
	// Unplaceable means that a job can never run.
	Unplaceable Code = "unplaceable"
	// Draining means that this instance is about to stop.
	Draining Code = "draining"
	// NotReady means that this instance doesn't know the state in force.
	NotReady Code = "not_ready"
	// Unauthenticated means that the caller's key is unknown.
	Unauthenticated Code = "unauthenticated"
	// Internal means a defect.
	Internal Code = "internal"
)

// Problem is one finding about a refused document.
type Problem struct {
	// Path locates the value, as in workspaces[2].guarantees[0].gangs.
	Path string `json:"path"`
	// Value is what was found.
	Value string `json:"value"`
	// Allowed says what would be accepted.
	Allowed string `json:"allowed"`
}

// Error is a typed failure.
type Error struct {
	Code    Code
	Message string
	// Problems lists every finding where a document was refused.
	Problems []Problem
	// Number is the ticket number in force, where a conflict concerns one.
	Number int64
	cause  error
}

// New returns a failure without a cause.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message}
}

// Wrap returns a failure with a cause, whose stack is captured. It keeps the
// cause reachable by errors.Is and errors.As.
func Wrap(code Code, message string, cause error) *Error {
	return &Error{Code: code, Message: message, cause: merry.WrapSkipping(cause, 1)}
}

// Document returns an Invalid failure with the findings about a document.
func Document(message string, problems []Problem) *Error {
	return &Error{Code: Invalid, Message: message, Problems: problems}
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Code))
	b.WriteString(": ")
	b.WriteString(e.Message)
	if e.cause != nil {
		b.WriteString(": ")
		b.WriteString(e.cause.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// FaultCode returns the code.
func (e *Error) FaultCode() Code {
	return e.Code
}

// RetryError is a failure after which the caller may try again.
type RetryError struct {
	// After is when to come back.
	After time.Duration
	Err   error
}

// Error implements error.
func (e *RetryError) Error() string { return e.Err.Error() }

// Unwrap returns the failure.
func (e *RetryError) Unwrap() error { return e.Err }

// Coder is implemented by every typed failure.
type Coder interface {
	error
	FaultCode() Code
}

// CodeOf returns the code of the outermost typed failure in err's chain,
// Internal for an untyped one and "" for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var c Coder
	if errors.As(err, &c) {
		return c.FaultCode()
	}
	return Internal
}

// NoEffect reports whether err says that the operation certainly did nothing,
// so that it may be tried elsewhere.
func NoEffect(err error) bool {
	return Is(err, Unavailable) || Is(err, Overloaded)
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool {
	return err != nil && CodeOf(err) == code
}
