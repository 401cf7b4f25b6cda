// Package cli implements the command-line tool for operators and callers.
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

// progressInterval is the time between progress lines of a long wait.
const progressInterval = 3 * time.Second

const rootHelp = `Every flag can also be set by an environment variable: LENTILWINCH_SERVER for
-server, LENTILWINCH_WORKSPACE for -workspace and so on. Flags come before the
arguments.

With several servers, the next one is tried if one can't serve the call. A
request that may have run is never sent again.

` + exitHelp + `

EXAMPLES
  lentilwinch apply examples/willow/1.json
  lentilwinch request -workspace saw-bench -service moisture-check -body 'cleft 4711'
  lentilwinch submit -workspace bat-yards-grading -id scan-17 -members 8 -adjacency worker -wait
  LENTILWINCH_SERVER=10.0.0.7:7420,10.0.0.8:7420 lentilwinch status`

// app is one execution of the command-line tool.
type app struct {
	stdin            io.Reader
	stdout           io.Writer
	stderr           io.Writer
	progressInterval time.Duration
	common           commonFlags
	help             bytes.Buffer
}

// Run executes the command line in args, which excludes the program's name, and
// returns the exit code. Results go to stdout, progress and failures to stderr.
// Cancelling ctx interrupts the command.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr, progressInterval: progressInterval}
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
		ShortHelp:  "Control the lentilwinch scheduler.",
		LongHelp:   rootHelp,
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			a.applyCommand(),
			a.ticketCommand(),
			a.evacuateCommand(),
			a.restoreCommand(),
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

// fail prints an error, unless it was already reported, and returns its exit
// code.
func (a *app) fail(err error) ExitCode {
	var reported *reportedError
	if errors.As(err, &reported) {
		return reported.exit
	}
	exit, hint := classify(err)
	if a.common.json {
		a.printJSON(a.stderr, newFailureView(err, exit, hint))
		return exit
	}
	a.printFailure(err, hint)
	return exit
}

// classify returns the exit code and the hint for an error.
func classify(err error) (ExitCode, string) {
	var cmdErr *commandError
	if errors.As(err, &cmdErr) {
		return cmdErr.exit, cmdErr.hint
	}
	var interrupted *interruptedError
	if errors.As(err, &interrupted) {
		return ExitInterrupted, ""
	}
	var coder fault.Coder
	if errors.As(err, &coder) {
		return exitCodeOf(coder.FaultCode()), ""
	}
	// All remaining errors come from parsing the flags, or from explain if it
	// can't write to stdout.
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

// withHint wraps err with its exit code, and with the hint if the operation may
// have taken effect.
func withHint(err error, hint string) error {
	exit, _ := classify(err)
	if !fault.Is(err, fault.Uncertain) {
		hint = ""
	}
	return &commandError{exit: exit, cause: err, hint: hint}
}
