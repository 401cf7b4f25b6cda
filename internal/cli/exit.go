package cli

import (
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// ExitCode is the exit status of the process.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitInternal means a bug or an unexpected failure.
	ExitInternal ExitCode = 1
	// ExitInvalid means wrong usage or an invalid document.
	ExitInvalid ExitCode = 2
	// ExitRefused means that the scheduler rejected the operation or that the
	// job can never run.
	ExitRefused ExitCode = 3
	// ExitConflict means that another change came first or that the ID already
	// belongs to a different job or request.
	ExitConflict ExitCode = 4
	// ExitNotRun means that the request was not run and won't be.
	ExitNotRun ExitCode = 5
	// ExitUnknown means that the operation may have taken effect or that the
	// request is still in progress.
	ExitUnknown ExitCode = 6
	// ExitUnavailable means that the call wasn't served and had no effect, or
	// that status or dump got no answer from one of the servers.
	ExitUnavailable ExitCode = 7
	// ExitNotFound means that the named object doesn't exist or that a log file
	// can't be opened.
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
  2    wrong usage, or a document or value is invalid
  3    rejected, or the job can never run
  4    conflict: another change came first, or the name is taken
  5    the request was certainly not run
  6    unknown: the operation may have taken effect
  7    unavailable: the call had no effect, try again later
  8    not found
  9    the job failed or was cancelled
  130  interrupted; the last line says what may still be running`

// exitCodeOf maps a fault code to an exit code.
func exitCodeOf(code fault.Code) ExitCode {
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

// commandError is an error with an explicit exit code and hint.
type commandError struct {
	exit  ExitCode
	cause error
	// hint tells the user about the possible state and what to do next; it may
	// be empty.
	hint string
}

// Error returns the cause's message.
func (e *commandError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *commandError) Unwrap() error {
	return e.cause
}

// FaultCode returns the cause's fault code.
func (e *commandError) FaultCode() fault.Code {
	return fault.CodeOf(e.cause)
}

// reportedError sets the exit code of a command whose output already shows the
// result.
type reportedError struct {
	exit ExitCode
	code fault.Code
}

// Error returns the fault code as text.
func (e *reportedError) Error() string {
	return string(e.code)
}

// FaultCode returns the code of the result that the output shows.
func (e *reportedError) FaultCode() fault.Code {
	return e.code
}

// interruptedError means that the user interrupted the command.
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
