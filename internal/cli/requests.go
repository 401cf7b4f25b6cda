package cli

import (
	"context"
	"crypto/rand"
	"flag"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// answerGracePeriod is how long the outcome is awaited after the request's
	// deadline.
	answerGracePeriod = 5 * time.Second
	// maxAnswerWait bounds the wait for a request without -deadline, which has
	// its service's deadline.
	maxAnswerWait = 24*time.Hour + answerGracePeriod
)

// requestFlags holds the flags of request.
type requestFlags struct {
	workspace string
	service   string
	id        string
	deadline  time.Duration
	body      input
}

func (f *requestFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.workspace, "workspace", "", "`name` of the workspace")
	fs.StringVar(&f.service, "service", "", "`name` of the service")
	fs.StringVar(&f.id, "id", "", "request `ID`, unique in the workspace; generated if empty")
	fs.DurationVar(&f.deadline, "deadline", 0, "time until the answer is due; 0 means the service's deadline")
	f.body.register(fs, "body", "body of the request")
}

func (f *requestFlags) check() error {
	if err := require("workspace", f.workspace); err != nil {
		return err
	}
	if err := require("service", f.service); err != nil {
		return err
	}
	if f.deadline < 0 {
		return fault.New(fault.Invalid, "-deadline must not be negative")
	}
	return nil
}

func (a *app) requestCommand() *ffcli.Command {
	fs := flag.NewFlagSet("request", flag.ContinueOnError)
	a.common.register(fs)
	var flags requestFlags
	flags.register(fs)
	return newCommand(&a.help, commandSpec{
		name:  "request",
		usage: "request [flags]",
		short: "Run one request on a backend server.",
		long: `Prints the whole answer. Exit code 5 means that the request was certainly not
run, 6 that it may have run. It is sent once: another instance is tried only
if the request can't have run. -timeout has no effect here; use -deadline.`,
		examples: []string{
			"lentilwinch request -workspace saw-bench -service moisture-check -body 'cleft 4711'",
			"lentilwinch request -workspace seasoning -service stack-tally -id tally-9 -body-file stack.json -deadline 30s",
		},
		flags: fs,
		run: func(ctx context.Context, _ []string) error {
			return a.request(ctx, &flags)
		},
	})
}

func (a *app) request(ctx context.Context, flags *requestFlags) error {
	body, err := flags.body.read(a.stdin)
	if err != nil {
		return err
	}
	if err := flags.check(); err != nil {
		return err
	}
	if flags.id == "" {
		flags.id = newID("req")
	}
	stop := a.startProgress("waiting for the answer to request " + flags.id)
	res, err := a.sendRequest(ctx, flags, body)
	stop()
	if err != nil {
		return withHint(err, outcomeHint(flags.workspace, flags.id))
	}
	return a.showResult(newResultView(flags.workspace, flags.id, res.GetOutcome(), res.GetReason(), res.GetAnswer()))
}

// sendRequest sends a request with the time left until its deadline. It tries
// another instance only if the request can't have run.
func (a *app) sendRequest(ctx context.Context, flags *requestFlags, body []byte) (*lentilwinchv1.RequestResponse, error) {
	start := time.Now()
	wait := maxAnswerWait
	if flags.deadline > 0 {
		wait = flags.deadline + answerGracePeriod
	}
	var out *lentilwinchv1.RequestResponse
	c := newClient(a.common.servers.orDefault())
	err := c.call(ctx, retryPolicy{rounds: 1, timeout: wait}, func(ctx context.Context, s api) error {
		left, err := remainingMillis(flags.deadline, time.Since(start))
		if err != nil {
			return err
		}
		res, err := s.Request(ctx, connect.NewRequest(&lentilwinchv1.RequestRequest{
			Workspace: flags.workspace,
			Service:   flags.service,
			RequestId: flags.id,
			Body:      body,
			TimeoutMs: left,
		}))
		if err != nil {
			return err
		}
		out = res.Msg
		return checkRequestID(flags.id, res.Msg.GetRequestId())
	})
	return out, err
}

// checkRequestID fails with fault.Uncertain if an answer is for another request.
func checkRequestID(want, got string) error {
	if got == want {
		return nil
	}
	return fault.New(fault.Uncertain, "the answer is for another request, "+strconv.Quote(got))
}

// remainingMillis returns the time left until a deadline in milliseconds, or 0
// without a deadline. It fails with fault.Timeout if the deadline has passed.
func remainingMillis(deadline, spent time.Duration) (int64, error) {
	if deadline == 0 {
		return 0, nil
	}
	left := (deadline - spent).Milliseconds()
	if left < 1 {
		return 0, fault.New(fault.Timeout, "the deadline passed before an instance could be reached")
	}
	return left, nil
}

func outcomeHint(workspace, id string) string {
	return "The request may have run or may still run. Ask with: lentilwinch outcome " + idArgs(workspace, id)
}

// showResult prints a request's outcome and returns the error for it. An answer
// is written unchanged.
func (a *app) showResult(v resultView) error {
	switch {
	case a.common.json:
		a.printJSON(a.stdout, v)
	case v.outcome == lentilwinchv1.Outcome_OUTCOME_DONE:
		_, _ = a.stdout.Write(v.AnswerBytes)
	default:
		a.printNote("request " + v.RequestID + ": " + v.describe())
	}
	return resultError(v.outcome)
}

// describe returns the outcome of a request without an answer as text.
func (v resultView) describe() string {
	text := "unknown; it may have run"
	switch v.outcome {
	case lentilwinchv1.Outcome_OUTCOME_NOT_RUN:
		text = "certainly not run"
	case lentilwinchv1.Outcome_OUTCOME_PENDING:
		text = "still in progress"
	}
	if v.Reason != "" {
		text += " (" + v.Reason + ")"
	}
	return text
}

// resultError returns the error that sets the exit code for an outcome.
func resultError(outcome lentilwinchv1.Outcome) error {
	switch outcome {
	case lentilwinchv1.Outcome_OUTCOME_DONE:
		return nil
	case lentilwinchv1.Outcome_OUTCOME_NOT_RUN:
		return &reportedError{exit: ExitNotRun, code: fault.Refused}
	default:
		return &reportedError{exit: ExitUnknown, code: fault.Uncertain}
	}
}

func (a *app) outcomeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("outcome", flag.ContinueOnError)
	a.common.register(fs)
	workspace := fs.String("workspace", "", "`name` of the workspace")
	return newCommand(&a.help, commandSpec{
		name:  "outcome",
		usage: "outcome [flags] <request ID>",
		short: "Show the recorded outcome of a request.",
		long: `Prints the answer of a request that may not be repeated. Exit code 5 means that
it was certainly not run, 6 that it may have run or is still in progress.`,
		examples: []string{"lentilwinch outcome -workspace seasoning tally-9"},
		minArgs:  1, maxArgs: 1,
		flags: fs,
		run: func(ctx context.Context, args []string) error {
			return a.outcome(ctx, *workspace, args[0])
		},
	})
}

func (a *app) outcome(ctx context.Context, workspace, id string) error {
	if err := require("workspace", workspace); err != nil {
		return err
	}
	res, err := read(ctx, a, &lentilwinchv1.OutcomeRequest{Workspace: workspace, RequestId: id}, api.Outcome)
	if err != nil {
		return err
	}
	return a.showResult(newResultView(workspace, id, res.GetOutcome(), res.GetReason(), res.GetAnswer()))
}

// newID returns an ID that no other caller generates: prefix and at least 128
// random bits.
func newID(prefix string) string {
	return prefix + "-" + strings.ToLower(rand.Text())
}
