// Package cli is the command line for operators and callers.
package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/settings/document"
)

// progressEvery is the time between progress lines of a long wait.
const progressEvery = 3 * time.Second

const rootHelp = `Every flag can also be set by the environment: LENTILWINCH_SERVER for
-server, LENTILWINCH_WORKSPACE for -workspace and so on. Flags stand before the
arguments.

With several servers the next one is tried when one can't serve the call. A
request that may have run is never sent again.

` + exitHelp + `

EXAMPLES
  lentilwinch apply examples/willow/1.json
  lentilwinch request -workspace saw-bench -service moisture-check -body 'cleft 4711'
  lentilwinch submit -workspace bat-yards-grading -id scan-17 -members 8 -adjacency worker -wait
  LENTILWINCH_SERVER=10.0.0.7:7420,10.0.0.8:7420 lentilwinch status`

// app is one run of the command line.
type app struct {
	stdin         io.Reader
	stdout        io.Writer
	stderr        io.Writer
	progressEvery time.Duration
	common        common
	help          bytes.Buffer
}

// Run executes a command line without the program's name and returns the exit
// code. Results go to stdout, progress and failures to stderr. Cancelling ctx
// interrupts the command.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr, progressEvery: progressEvery}
	return int(a.run(ctx, args))
}

func (a *app) run(ctx context.Context, args []string) ExitCode {
	root := a.root()
	err := root.ParseAndRun(ctx, args)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = a.help.WriteTo(a.stdout)
		return ExitOK
	}
	if err == nil {
		return ExitOK
	}
	return a.fail(err)
}

func (a *app) root() *ffcli.Command {
	flags := flag.NewFlagSet("lentilwinch", flag.ContinueOnError)
	flags.SetOutput(&a.help)
	return &ffcli.Command{
		ShortUsage: "lentilwinch <command> [flags] [arguments]",
		ShortHelp:  "Drive the lentilwinch scheduler.",
		LongHelp:   rootHelp,
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			a.applyCommand(),
			a.ticketCommand(),
			a.submitCommand(),
			a.jobsCommand(),
			a.jobCommand(),
			a.watchCommand(),
			a.cancelCommand(),
			a.requestCommand(),
			a.outcomeCommand(),
			a.statusCommand(),
			a.dumpCommand(),
			a.checkCommand(),
			a.explainCommand(),
		},
		Exec: unknownCommand,
	}
}

func unknownCommand(_ context.Context, args []string) error {
	if len(args) == 0 {
		return flag.ErrHelp
	}
	return fault.New(fault.Invalid, "unknown command "+args[0]+"; see lentilwinch -h")
}

// fail prints a failure and returns its exit code.
func (a *app) fail(err error) ExitCode {
	var quiet *quietError
	if errors.As(err, &quiet) {
		return quiet.exit
	}
	exit, hint := classify(err)
	if a.common.json {
		a.printJSON(a.stderr, newFailureView(err, exit, hint))
		return exit
	}
	a.printFailure(err, hint)
	return exit
}

// classify returns the exit code and the hint of a failure.
func classify(err error) (ExitCode, string) {
	var own *commandError
	if errors.As(err, &own) {
		return own.exit, own.hint
	}
	var interrupted *interruptedError
	if errors.As(err, &interrupted) {
		return ExitInterrupted, ""
	}
	var coder fault.Coder
	if errors.As(err, &coder) {
		return exitOf(coder.FaultCode()), ""
	}
	// What is left was found in the flags.
	return ExitInvalid, ""
}

func (a *app) printFailure(err error, hint string) {
	_, _ = fmt.Fprintf(a.stderr, "lentilwinch: %s\n", strings.TrimSpace(err.Error()))
	var f *fault.Error
	if errors.As(err, &f) {
		a.printProblems(f.Problems)
	}
	if hint != "" {
		_, _ = fmt.Fprintln(a.stderr, hint)
	}
}

func (a *app) printProblems(problems []fault.Problem) {
	for _, line := range document.ProblemLines(problems) {
		_, _ = fmt.Fprintln(a.stderr, line)
	}
}

// explained ends a command after err. The hint is shown when the operation
// may have taken effect.
func explained(err error, hint string) error {
	exit, _ := classify(err)
	if !fault.Is(err, fault.Uncertain) {
		hint = ""
	}
	return &commandError{exit: exit, cause: err, hint: hint}
}
