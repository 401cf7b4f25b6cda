package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testMaxBodyBytes = 5 << 20

// fakeDeps implements the dependencies of a server. Methods of the embedded
// interfaces that it doesn't override are never called.
type fakeDeps struct {
	Instance
	Jobs
	Tickets
	admitErr error
	err      error
	requests []structs.Request
	limit    int
}

func (deps *fakeDeps) Admit() error { return deps.admitErr }

func (deps *fakeDeps) Do(_ context.Context, req structs.Request) (structs.Result, error) {
	deps.requests = append(deps.requests, req)
	return structs.Result{Outcome: structs.OutcomeDone, Answer: req.Body}, deps.err
}

func (deps *fakeDeps) Lookup(context.Context, structs.RequestKey) (structs.Result, error) {
	return structs.Result{Outcome: structs.OutcomeUnknown, Reason: "gone"}, deps.err
}

func (deps *fakeDeps) List(_ context.Context, _, _ string, limit int) ([]structs.Job, bool, error) {
	deps.limit = limit
	return nil, false, deps.err
}

// serve starts a server on loopback and returns a client of it and its URL.
func serve(t *testing.T, deps *fakeDeps) (lentilwinchv1connect.SchedulerServiceClient, string) {
	mux := http.NewServeMux()
	mux.Handle(New(deps, deps, deps, deps, deps, Limits{Timeout: time.Second, MaxBodyBytes: testMaxBodyBytes}).Handler())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return lentilwinchv1connect.NewSchedulerServiceClient(s.Client(), s.URL), s.URL
}

func detailOf(t *testing.T, err error) *lentilwinchv1.ErrorDetail {
	t.Helper()
	var connectErr *connect.Error
	must.True(t, errors.As(err, &connectErr))
	must.Len(t, 1, connectErr.Details())
	value, valueErr := connectErr.Details()[0].Value()
	must.NoError(t, valueErr)
	detail, ok := value.(*lentilwinchv1.ErrorDetail)
	must.True(t, ok)
	return detail
}

func TestErrorsCarryTheirCode(t *testing.T) {
	codes := map[fault.Code]connect.Code{
		fault.Invalid:     connect.CodeInvalidArgument,
		fault.Conflict:    connect.CodeAborted,
		fault.NotFound:    connect.CodeNotFound,
		fault.Exists:      connect.CodeAlreadyExists,
		fault.Refused:     connect.CodeFailedPrecondition,
		fault.Unplaceable: connect.CodeFailedPrecondition,
		fault.Fenced:      connect.CodeFailedPrecondition,
		fault.Unavailable: connect.CodeUnavailable,
		fault.Draining:    connect.CodeUnavailable,
		fault.NotReady:    connect.CodeUnavailable,
		fault.Uncertain:   connect.CodeUnknown,
		fault.Overloaded:  connect.CodeResourceExhausted,
		fault.Timeout:     connect.CodeDeadlineExceeded,
		fault.Internal:    connect.CodeInternal,
	}
	deps := new(fakeDeps)
	client, _ := serve(t, deps)
	for code, want := range codes {
		deps.err = fault.New(code, "why")
		_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{}))
		must.Eq(t, want, connect.CodeOf(err))
		must.Eq(t, string(code), detailOf(t, err).GetCode())
	}
}

func TestUntypedErrorsMapToTimeoutOrInternal(t *testing.T) {
	for err, code := range map[error]fault.Code{
		context.DeadlineExceeded: fault.Timeout,
		context.Canceled:         fault.Timeout,
		io.EOF:                   fault.Internal,
	} {
		must.Eq(t, string(code), detailOf(t, toConnectError(err)).GetCode())
	}
	must.Eq(t, fault.Unavailable, codeOf(fault.Wrap(fault.Unavailable, "read", context.DeadlineExceeded)))
	must.NoError(t, toConnectError(nil))
}

func TestErrorDetailCarriesProblemsAndNumber(t *testing.T) {
	refused := fault.InvalidDocument("refused", []fault.Problem{{Path: "a", Value: "1", Allowed: "2"}, {Path: "b", Value: "3", Allowed: "4"}})
	refused.TicketNumber = 7
	deps := new(fakeDeps)
	client, _ := serve(t, deps)
	for _, deps.err = range []error{refused, errors.Join(refused), fault.Wrap(fault.Invalid, "ticket", refused)} {
		_, err := client.Outcome(t.Context(), connect.NewRequest(&lentilwinchv1.OutcomeRequest{}))
		detail := detailOf(t, err)
		must.Eq(t, 7, detail.GetNumber())
		must.Len(t, 2, detail.GetProblems())
		must.Eq(t, "b", detail.GetProblems()[1].GetPath())
		must.Eq(t, "4", detail.GetProblems()[1].GetAllowed())
	}
}

// Guards against an overflow of timeouts longer than 292 years, which set a
// deadline in the past.
func TestRequestTimeoutBecomesDeadline(t *testing.T) {
	deps := new(fakeDeps)
	client, _ := serve(t, deps)
	send := func(ms int64) error {
		_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{TimeoutMs: ms}))
		return err
	}
	for _, ms := range []int64{-1, math.MinInt64} {
		detail := detailOf(t, send(ms))
		must.Eq(t, string(fault.Invalid), detail.GetCode())
		must.Eq(t, "timeout_ms", detail.GetProblems()[0].GetPath())
	}
	must.SliceEmpty(t, deps.requests)
	must.NoError(t, send(0))
	must.True(t, deps.requests[0].Deadline.IsZero())
	for _, ms := range []int64{time.Minute.Milliseconds(), math.MaxInt64 / 1000, math.MaxInt64} {
		must.NoError(t, send(ms))
		must.True(t, deps.requests[len(deps.requests)-1].Deadline.After(time.Now()))
	}
}

func TestDeclaredRunSaturates(t *testing.T) {
	for ms, want := range map[int64]time.Duration{
		1500:          1500 * time.Millisecond,
		-1:            -time.Millisecond,
		math.MaxInt64: math.MaxInt64,
		math.MinInt64: math.MinInt64,
		1 << 60:       math.MaxInt64,
	} {
		must.Eq(t, want, specFromProto(&lentilwinchv1.JobSpec{DeclaredRunMs: ms}).DeclaredRun)
	}
}

func TestListLimitIsValidated(t *testing.T) {
	deps := new(fakeDeps)
	client, _ := serve(t, deps)
	for requested, want := range map[int32]int{0: defaultPageSize, 1: 1, maxPageSize: maxPageSize} {
		_, err := client.ListJobs(t.Context(), connect.NewRequest(&lentilwinchv1.ListJobsRequest{Limit: requested}))
		must.NoError(t, err)
		must.Eq(t, want, deps.limit)
	}
	for _, requested := range []int32{-1, maxPageSize + 1, math.MinInt32} {
		_, err := client.ListJobs(t.Context(), connect.NewRequest(&lentilwinchv1.ListJobsRequest{Limit: requested}))
		must.Eq(t, "limit", detailOf(t, err).GetProblems()[0].GetPath())
	}
}

func TestRequestIsRejectedWhenAdmitFails(t *testing.T) {
	deps := &fakeDeps{admitErr: fault.New(fault.Draining, "stopping")}
	client, _ := serve(t, deps)
	_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{}))
	must.Eq(t, string(fault.Draining), detailOf(t, err).GetCode())
	must.SliceEmpty(t, deps.requests)
	_, err = client.Outcome(t.Context(), connect.NewRequest(&lentilwinchv1.OutcomeRequest{}))
	must.NoError(t, err)
}

func TestOversizedBodyIsRejected(t *testing.T) {
	deps := new(fakeDeps)
	client, _ := serve(t, deps)
	largest := bytes.Repeat([]byte("x"), testMaxBodyBytes)
	res, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: largest}))
	must.NoError(t, err)
	must.Eq(t, len(largest), len(res.Msg.GetAnswer()))
	tooLarge := append(largest, make([]byte, 2*envelopeBytes)...)
	_, err = client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: tooLarge}))
	must.Eq(t, connect.CodeResourceExhausted, connect.CodeOf(err))
	must.Len(t, 1, deps.requests)
}

// Malformed requests are rejected before any dependency of the server is called.
func TestMalformedRequestsAreRejected(t *testing.T) {
	deps := new(fakeDeps)
	_, url := serve(t, deps)
	cases := map[string]struct {
		contentType string
		body        string
		status      int
	}{
		"malformed message":    {"application/proto", "\xff\xff\xff\xff", http.StatusBadRequest},
		"truncated JSON":       {"application/json", `{"workspace": `, http.StatusBadRequest},
		"wrong field type":     {"application/json", `{"timeout_ms": "soon"}`, http.StatusBadRequest},
		"unknown content type": {"text/html", "<p>", http.StatusUnsupportedMediaType},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := http.Post(url+lentilwinchv1connect.SchedulerServiceRequestProcedure, c.contentType, bytes.NewReader([]byte(c.body)))
			must.NoError(t, err)
			must.Eq(t, c.status, resp.StatusCode)
			must.NoError(t, resp.Body.Close())
		})
	}
	must.SliceEmpty(t, deps.requests)
	http.DefaultClient.CloseIdleConnections()
}
