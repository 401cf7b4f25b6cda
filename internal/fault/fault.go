// Package fault defines the errors that the scheduler reports. Every error has a
// Code, which is the same in the API, on the command line and in the logs.
package fault

import (
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Code is a stable identifier of a kind of error.
type Code string

// The error codes.
const (
	// Invalid means that the input violates a documented rule.
	Invalid Code = "invalid"
	// Conflict means that a concurrent change took effect first.
	Conflict Code = "conflict"
	// NotFound means that the named object doesn't exist.
	NotFound Code = "not_found"
	// Exists means that a different object already uses the name.
	Exists Code = "exists"
	// Refused means that the remote side rejected the operation before starting
	// it.
	Refused Code = "refused"
	// Unavailable means that the operation failed without any effect.
	Unavailable Code = "unavailable"
	// Uncertain means that the operation may have taken effect.
	Uncertain Code = "uncertain"
	// Fenced means that the caller no longer holds the lease or ownership that it
	// used.
	Fenced Code = "fenced"
	// Overloaded means that a bounded queue or budget is full, or that a rate
	// limit was exceeded.
	Overloaded Code = "overloaded"
	// Timeout means that the deadline passed, or could not be met, before the
	// work started.
	Timeout Code = "timeout"
	// Unplaceable means that a job can never run.
	Unplaceable Code = "unplaceable"
	// Draining means that this instance is shutting down.
	Draining Code = "draining"
	// NotReady means that this instance hasn't loaded the state in force.
	NotReady Code = "not_ready"
	// Unauthenticated means that the caller's key is unknown.
	Unauthenticated Code = "unauthenticated"
	// Internal means a defect in this software.
	Internal Code = "internal"
)

// Problem is one validation error in a rejected document.
type Problem struct {
	// Path locates the value, for example workspaces[2].guarantees[0].gangs.
	Path string `json:"path"`
	// Value describes the rejected value.
	Value string `json:"value"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

// Error is an error with a code.
type Error struct {
	Code    Code
	Message string
	// Problems lists all validation errors if a document was rejected.
	Problems []Problem
	// TicketNumber is the number of the ticket in force if a submitted ticket
	// wasn't the next one.
	TicketNumber int64
	cause        error
}

// New returns an error without a cause.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message}
}

// Wrap returns an error with a cause and captures the stack. errors.Is and
// errors.As find the cause.
func Wrap(code Code, message string, cause error) *Error {
	return &Error{Code: code, Message: message, cause: merry.WrapSkipping(cause, 1)}
}

// InvalidDocument returns an Invalid error with the validation errors of a
// document.
func InvalidDocument(message string, problems []Problem) *Error {
	return &Error{Code: Invalid, Message: message, Problems: problems}
}

// Error returns the code, the message and the cause's text.
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

// FaultCode implements Coder.
func (e *Error) FaultCode() Code {
	return e.Code
}

// RetryError is an error after which the caller may retry.
type RetryError struct {
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *RetryError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *RetryError) Unwrap() error { return e.Err }

// Coder is implemented by every error with a code.
type Coder interface {
	error
	FaultCode() Code
}

// CodeOf returns the code of the outermost Coder in err's chain, Internal if
// there is none, and "" for nil.
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

// NoEffect reports whether err has the code Unavailable or Overloaded, which
// guarantees that the operation had no effect, so that it may be retried
// elsewhere. It is false for other codes, also for a rejection such as Refused.
func NoEffect(err error) bool {
	return Is(err, Unavailable) || Is(err, Overloaded)
}

// Is reports whether err has the code.
func Is(err error, code Code) bool {
	return err != nil && CodeOf(err) == code
}
