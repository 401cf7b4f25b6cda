package cli

import (
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// ExitCode is the process's exit status.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitInternal means a defect or an unforeseen failure.
	ExitInternal ExitCode = 1
	// ExitInvalid means wrong usage or a refused document.
	ExitInvalid ExitCode = 2
	// ExitRefused means that the other side declined, also for a job that can
	// never run.
	ExitRefused ExitCode = 3
	// ExitConflict means that somebody else's change came first.
	ExitConflict ExitCode = 4
	// ExitNotRun means that the request was certainly not run.
	ExitNotRun ExitCode = 5
	// ExitUnknown means that the operation may have taken effect.
	ExitUnknown ExitCode = 6
	// ExitUnavailable means that no instance could serve the call, which had
	// no effect.
	ExitUnavailable ExitCode = 7
	// ExitNotFound means that the named object doesn't exist.
	ExitNotFound ExitCode = 8
	// ExitJobEnded means that the job failed or was cancelled.
	ExitJobEnded ExitCode = 9
	// ExitInterrupted means that the user stopped the command.
	ExitInterrupted ExitCode = 130
)

// exitHelp is the help text on exit codes.
const exitHelp = `EXIT CODES
  0    done
  1    internal failure
  2    wrong usage, or a document or value was refused as invalid
  3    refused, or the job can never run
  4    conflict: somebody else's change came first, or the name is taken
  5    the request was certainly not run
  6    unknown: the operation may have taken effect
  7    unavailable: nothing had an effect, try again later
  8    not found
  9    the job failed or was cancelled
  130  interrupted; the last line says what may go on`

// exitOf returns the exit code that shows a fault's code.
func exitOf(code fault.Code) ExitCode {
	switch code {
	case "":
		return ExitOK
	case fault.Invalid:
		return ExitInvalid
	case fault.Refused, fault.Unplaceable:
		return ExitRefused
	case fault.Conflict, fault.Exists:
		return ExitConflict
	case fault.Timeout:
		return ExitNotRun
	case fault.Uncertain:
		return ExitUnknown
	case fault.Unavailable, fault.Overloaded, fault.Draining, fault.NotReady, fault.Fenced:
		return ExitUnavailable
	case fault.NotFound:
		return ExitNotFound
	default:
		return ExitInternal
	}
}

// commandError ends a command with an exit code of its own.
type commandError struct {
	exit  ExitCode
	cause error
	// hint says what state things are in and what to do; it may be empty.
	hint string
}

// Error returns the cause's words.
func (e *commandError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *commandError) Unwrap() error {
	return e.cause
}

// FaultCode returns the cause's code.
func (e *commandError) FaultCode() fault.Code {
	return fault.CodeOf(e.cause)
}

// quietError ends a command whose output already says how it ended.
type quietError struct {
	exit ExitCode
	code fault.Code
}

// Error returns the code.
func (e *quietError) Error() string {
	return string(e.code)
}

// FaultCode returns the code.
func (e *quietError) FaultCode() fault.Code {
	return e.code
}

// interruptedError means that the user stopped the command.
type interruptedError struct {
	// sent is set when a call may have reached an instance.
	sent bool
}

// Error says whether anything was sent.
func (e *interruptedError) Error() string {
	if e.sent {
		return "interrupted while waiting for an answer"
	}
	return "interrupted before anything was sent"
}

// FaultCode returns fault.Uncertain when something was sent, else
// fault.Unavailable.
func (e *interruptedError) FaultCode() fault.Code {
	if e.sent {
		return fault.Uncertain
	}
	return fault.Unavailable
}
