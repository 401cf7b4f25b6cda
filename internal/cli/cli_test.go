package cli

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

var background = context.Background()

func answerRequest(_ context.Context, r *lentilwinchv1.RequestRequest) (*lentilwinchv1.RequestResponse, error) {
	return &lentilwinchv1.RequestResponse{
		Outcome:   lentilwinchv1.Outcome_OUTCOME_DONE,
		Answer:    append([]byte("dry: "), r.GetBody()...),
		RequestId: r.GetRequestId(),
	}, nil
}

func ticketFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "1.json")
	must.NoError(t, os.WriteFile(path, []byte(`{"number": 1}`), 0o600))
	return path
}

func TestHelpShowsExamples(t *testing.T) {
	for _, command := range []string{
		"apply", "ticket", "evacuate", "restore", "submit", "jobs", "job", "watch", "cancel", "request", "outcome", "status", "dump", "check",
		"explain",
	} {
		got := run(background, command, "-h")
		must.Eq(t, ExitOK, got.exit)
		must.StrContains(t, got.stdout, "EXAMPLES\n  lentilwinch "+command)
		must.StrContains(t, got.stdout, "-json")
		must.Eq(t, "", got.stderr)
	}
	must.StrContains(t, run(background, "-h").stdout, "EXIT CODES")
}

func TestWrongUsageExitsWithInvalid(t *testing.T) {
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"applly"}, "unknown command applly"},
		{[]string{"apply"}, "wrong number of arguments"},
		{[]string{"job", "-workspace", "w", "id", "-json"}, "flag -json must stand before"},
		{[]string{"request", "-service", "s"}, "flag -workspace is required"},
		{[]string{"status", "-server", "localhost:7420"}, "is not IP:port"},
		{[]string{"status", "-color"}, "flag provided but not defined: -color"},
		{[]string{"evacuate", "-author", "ana"}, "wrong number of arguments"},
		{[]string{"restore", "-author", "", "north"}, "flag -author is required"},
		{[]string{"ticket", "last"}, "not a ticket number"},
		{[]string{"check", "jobs", "x"}, "neither settings nor tickets"},
	}
	for _, c := range cases {
		got := run(background, c.args...)
		must.Eq(t, ExitInvalid, got.exit)
		must.StrContains(t, got.stderr, c.want)
		must.Eq(t, "", got.stdout)
	}
}

func TestFailuresMapToExitCodesAndKeepProblems(t *testing.T) {
	wantExits := map[fault.Code]ExitCode{
		fault.Invalid: ExitInvalid, fault.Refused: ExitRefused, fault.Unplaceable: ExitRefused,
		fault.Conflict: ExitConflict, fault.Exists: ExitConflict, fault.Timeout: ExitNotRun,
		fault.Uncertain: ExitUnknown, fault.Overloaded: ExitUnavailable, fault.NotFound: ExitNotFound,
		fault.Internal: ExitInternal,
	}
	for code, exit := range wantExits {
		server := &fakeServer{apply: func([]byte) (int64, error) {
			return 0, serverError(code, &lentilwinchv1.Problem{Path: "number", Value: "1", Allowed: "8"})
		}}
		got := run(background, "apply", "-json", "-server", server.start(t), ticketFile(t))
		must.Eq(t, exit, got.exit)
		var view failureView
		must.NoError(t, json.Unmarshal([]byte(got.stderr), &view))
		must.Eq(t, code, view.Code)
		must.Eq(t, exit, view.ExitCode)
		must.Eq(t, 7, view.Number)
		must.Eq(t, []fault.Problem{{Path: "number", Value: "1", Allowed: "8"}}, view.Problems)
	}
}

func TestRequestPrintsWholeAnswer(t *testing.T) {
	t.Setenv("LENTILWINCH_SERVER", (&fakeServer{request: answerRequest}).start(t))
	got := run(background, "request", "-workspace", "w", "-service", "s", "-body", "cleft 4711")
	must.Eq(t, result{stdout: "dry: cleft 4711"}, got)
}

func TestRequestShowsOutcomeWithoutAnswer(t *testing.T) {
	cases := []struct {
		outcome lentilwinchv1.Outcome
		exit    ExitCode
		want    string
	}{
		{lentilwinchv1.Outcome_OUTCOME_NOT_RUN, ExitNotRun, "certainly not run"},
		{lentilwinchv1.Outcome_OUTCOME_UNKNOWN, ExitUnknown, "may have run"},
		{lentilwinchv1.Outcome_OUTCOME_PENDING, ExitUnknown, "still in progress"},
		{lentilwinchv1.Outcome_OUTCOME_UNSPECIFIED, ExitUnknown, "may have run"},
	}
	for _, c := range cases {
		server := &fakeServer{request: func(_ context.Context, r *lentilwinchv1.RequestRequest) (*lentilwinchv1.RequestResponse, error) {
			return &lentilwinchv1.RequestResponse{Outcome: c.outcome, Reason: "slots full", RequestId: r.GetRequestId()}, nil
		}}
		got := run(background, "request", "-server", server.start(t), "-workspace", "w", "-service", "s", "-id", "r1")
		must.Eq(t, c.exit, got.exit)
		must.StrContains(t, got.stderr, c.want)
		must.StrContains(t, got.stderr, "slots full")
	}
}

func TestRequestRejectsAnswerToAnotherRequest(t *testing.T) {
	server := &fakeServer{request: func(context.Context, *lentilwinchv1.RequestRequest) (*lentilwinchv1.RequestResponse, error) {
		return &lentilwinchv1.RequestResponse{Outcome: lentilwinchv1.Outcome_OUTCOME_DONE, Answer: []byte("x"), RequestId: "r2"}, nil
	}}
	got := run(background, "request", "-server", server.start(t), "-workspace", "w", "-service", "s", "-id", "r1")
	must.Eq(t, ExitUnknown, got.exit)
	must.Eq(t, "", got.stdout)
}

// Guards against an idempotent retry policy for requests, with which the second
// server runs the request again.
func TestRequestIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	second := &fakeServer{request: answerRequest}
	got := run(background, "request", "-server", droppingServer(t)+","+second.start(t), "-workspace", "w", "-service", "s", "-id", "r1")
	must.Eq(t, ExitUnknown, got.exit)
	must.Eq(t, 0, second.calls.Load())
	must.StrContains(t, got.stderr, "lentilwinch outcome -workspace w r1")
}

func TestRequestTriesNextServerWhileItCannotHaveRun(t *testing.T) {
	draining := &fakeServer{request: func(context.Context, *lentilwinchv1.RequestRequest) (*lentilwinchv1.RequestResponse, error) {
		return nil, serverError(fault.Draining)
	}}
	last := &fakeServer{request: answerRequest}
	servers := strings.Join([]string{closedAddress(t), draining.start(t), last.start(t)}, ",")
	got := run(background, "request", "-server", servers, "-workspace", "w", "-service", "s", "-deadline", "1m")
	must.Eq(t, ExitOK, got.exit)
	must.Eq(t, 1, last.calls.Load())
}

func TestRequestWithoutConnectionIsUnavailable(t *testing.T) {
	got := run(background, "request", "-server", closedAddress(t), "-workspace", "w", "-service", "s")
	must.Eq(t, ExitUnavailable, got.exit)
	must.StrNotContains(t, got.stderr, "may have run")
}

func TestApplyIsRetriedAfterLostAnswer(t *testing.T) {
	second := &fakeServer{apply: func([]byte) (int64, error) { return 1, nil }}
	got := run(background, "apply", "-server", droppingServer(t), "-server", second.start(t), ticketFile(t))
	must.Eq(t, ExitOK, got.exit)
	must.StrContains(t, got.stdout, "ticket 1 accepted")
}

// Guards against returning the last failure in place of an uncertain one.
func TestApplyOutcomeStaysUnknownWithoutAnAnswer(t *testing.T) {
	got := run(background, "apply", "-server", droppingServer(t)+","+closedAddress(t), ticketFile(t))
	must.Eq(t, ExitUnknown, got.exit)
	must.StrContains(t, got.stderr, "may have been accepted")
}

func TestInterruptedRequestPrintsOutcomeHint(t *testing.T) {
	reached := make(chan struct{})
	ctx, cancel := context.WithCancel(background)
	defer cancel()
	server := &fakeServer{request: func(ctx context.Context, _ *lentilwinchv1.RequestRequest) (*lentilwinchv1.RequestResponse, error) {
		close(reached)
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	address := server.start(t)
	go func() {
		<-reached
		cancel()
	}()
	got := run(ctx, "request", "-server", address, "-workspace", "w", "-service", "s", "-id", "r1")
	must.Eq(t, ExitInterrupted, got.exit)
	must.StrContains(t, got.stderr, "may still run. Ask with: lentilwinch outcome -workspace w r1")
}

func TestLongWaitShowsProgress(t *testing.T) {
	stderr := &syncBuffer{wrote: make(chan struct{}, 1)}
	server := &fakeServer{request: func(ctx context.Context, r *lentilwinchv1.RequestRequest) (*lentilwinchv1.RequestResponse, error) {
		<-stderr.wrote
		return answerRequest(ctx, r)
	}}
	var stdout syncBuffer
	a := &app{stdin: strings.NewReader(""), stdout: &stdout, stderr: stderr, progressInterval: time.Millisecond}
	exit := a.run(background, []string{"request", "-server", server.start(t), "-workspace", "w", "-service", "s", "-id", "r1"})
	must.Eq(t, ExitOK, exit)
	must.StrContains(t, stderr.String(), "waiting for the answer to request r1")
}

func TestWatchFollowsJobToFinalState(t *testing.T) {
	cases := map[string]ExitCode{
		"succeeded": ExitOK, "failed": ExitJobEnded, "cancelled": ExitJobEnded, "unplaceable": ExitRefused,
	}
	for last, exit := range cases {
		server := &fakeServer{watch: func(_ context.Context, send func(string)) error {
			send("queued")
			send("running")
			send(last)
			return nil
		}}
		got := run(background, "watch", "-server", server.start(t), "-workspace", "w", "job-1")
		must.Eq(t, exit, got.exit)
		must.Eq(t, 3, strings.Count(got.stdout, "w/job-1"))
	}
}

func TestWatchResumesAtAnotherInstance(t *testing.T) {
	first := &fakeServer{}
	first.watch = func(_ context.Context, send func(string)) error {
		if first.calls.Load() == 1 {
			send("running")
			return nil
		}
		return serverError(fault.Draining)
	}
	second := &fakeServer{watch: func(_ context.Context, send func(string)) error {
		send("running")
		send("succeeded")
		return nil
	}}
	got := run(background, "watch", "-server", first.start(t)+","+second.start(t), "-workspace", "w", "job-1")
	must.Eq(t, ExitOK, got.exit)
	must.Eq(t, 2, strings.Count(got.stdout, "w/job-1"))
}

func TestInterruptedWatchDoesNotCancelJob(t *testing.T) {
	ctx, cancel := context.WithCancel(background)
	defer cancel()
	server := &fakeServer{
		submit: func(s *lentilwinchv1.JobSpec) (*lentilwinchv1.JobStatus, error) {
			return jobStatus(s.GetJobId(), "queued"), nil
		},
		watch: func(ctx context.Context, send func(string)) error {
			cancel()
			<-ctx.Done()
			return ctx.Err()
		},
	}
	got := run(ctx, "submit", "-wait", "-server", server.start(t), "-workspace", "w", "-id", "job-1")
	must.Eq(t, ExitInterrupted, got.exit)
	must.StrContains(t, got.stderr, "The job goes on.")
	must.StrContains(t, got.stderr, "lentilwinch cancel -workspace w job-1")
}

func TestJobsReadsAllPages(t *testing.T) {
	server := &fakeServer{list: func(r *lentilwinchv1.ListJobsRequest) (*lentilwinchv1.ListJobsResponse, error) {
		next := map[string]string{"": "a", "a": "b", "b": "c"}[r.GetAfterJobId()]
		return &lentilwinchv1.ListJobsResponse{Jobs: []*lentilwinchv1.JobStatus{jobStatus(next, "queued")}, More: next != "c"}, nil
	}}
	got := run(background, "jobs", "-json", "-server", server.start(t), "-workspace", "w")
	must.Eq(t, ExitOK, got.exit)
	var jobs []jobView
	must.NoError(t, json.Unmarshal([]byte(got.stdout), &jobs))
	must.SliceLen(t, 3, jobs)
}

func TestStatusAndDumpReportEveryServer(t *testing.T) {
	server := &fakeServer{status: func() (*lentilwinchv1.StatusResponse, error) {
		return &lentilwinchv1.StatusResponse{Instance: "north-1", Ready: true, ConfigNumber: 4}, nil
	}}
	servers := closedAddress(t) + "," + server.start(t)
	got := run(background, "status", "-server", servers)
	must.Eq(t, ExitUnavailable, got.exit)
	must.StrContains(t, got.stdout, "no: no connection")
	must.StrContains(t, got.stdout, "north-1")
	got = run(background, "dump", "-server", servers)
	must.Eq(t, ExitUnavailable, got.exit)
	var dumps []dumpView
	must.NoError(t, json.Unmarshal([]byte(got.stdout), &dumps))
	must.Eq(t, fault.Unavailable, dumps[0].Failure.Code)
	must.StrContains(t, string(dumps[1].State), "ready")
}

func TestCheckReportsEveryFile(t *testing.T) {
	examples := filepath.Join("..", "..", "examples", "willow")
	first, second := filepath.Join(examples, "1.json"), filepath.Join(examples, "2.json")
	must.Eq(t, ExitOK, run(background, "check", "tickets", first, second).exit)
	got := run(background, "check", "tickets", first, first, ticketFile(t))
	must.Eq(t, ExitInvalid, got.exit)
	must.StrContains(t, got.stderr, "ticket 1 is not the next")
	must.StrContains(t, got.stderr, "author: found missing")
	got = run(background, "check", "settings", filepath.Join(examples, "north-yard-1.json"), second)
	must.Eq(t, ExitInvalid, got.exit)
	must.StrContains(t, got.stdout, "north-yard-1.json: ok")
	must.StrContains(t, got.stderr, "remove_services: found unknown field")
}

func TestExplainReadsLogs(t *testing.T) {
	log := filepath.Join(t.TempDir(), "north-1.log")
	line := `{"level":"info","ts":"2026-03-09T06:16:10.011Z","msg":"job rejected","node":"north-1","job":"a1","why":"the store is away"}`
	must.NoError(t, os.WriteFile(log, []byte(line+"\n"), 0o600))
	got := run(background, "explain", "a1", log)
	must.Eq(t, ExitOK, got.exit)
	must.StrContains(t, got.stdout, "rejected\n  - job rejected: the store is away")
	must.StrContains(t, run(background, "explain", "-json", "a1", log).stdout, `"outcome": "rejected"`)
	must.Eq(t, ExitNotFound, run(background, "explain", "b2", log).exit)
	must.Eq(t, ExitNotFound, run(background, "explain", "a1", log+".gone").exit)
}
