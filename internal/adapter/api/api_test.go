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

const testMaxBody = 5 << 20

// backing stands behind a server. Methods that it lacks are never called.
type backing struct {
	Node
	Jobs
	Tickets
	admit error
	err   error
	got   []structs.Request
	limit int
}

func (b *backing) Admit() error { return b.admit }

func (b *backing) Do(_ context.Context, req structs.Request) (structs.Result, error) {
	b.got = append(b.got, req)
	return structs.Result{Outcome: structs.OutcomeDone, Answer: req.Body}, b.err
}

func (b *backing) Lookup(context.Context, structs.RequestKey) (structs.Result, error) {
	return structs.Result{Outcome: structs.OutcomeUnknown, Reason: "gone"}, b.err
}

func (b *backing) List(_ context.Context, _, _ string, limit int) ([]structs.Job, bool, error) {
	b.limit = limit
	return nil, false, b.err
}

// serve returns a client of a server over loopback, and its URL.
func serve(t *testing.T, b *backing) (lentilwinchv1connect.SchedulerServiceClient, string) {
	mux := http.NewServeMux()
	mux.Handle(New(b, b, b, b, b, Limits{Timeout: time.Second, MaxBodyBytes: testMaxBody}).Handler())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return lentilwinchv1connect.NewSchedulerServiceClient(s.Client(), s.URL), s.URL
}

func detailOf(t *testing.T, err error) *lentilwinchv1.ErrorDetail {
	t.Helper()
	var wire *connect.Error
	must.True(t, errors.As(err, &wire))
	must.Len(t, 1, wire.Details())
	value, valueErr := wire.Details()[0].Value()
	must.NoError(t, valueErr)
	detail, ok := value.(*lentilwinchv1.ErrorDetail)
	must.True(t, ok)
	return detail
}

func TestFailuresCarryTheirCode(t *testing.T) {
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
	b := new(backing)
	client, _ := serve(t, b)
	for code, want := range codes {
		b.err = fault.New(code, "why")
		_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{}))
		must.Eq(t, want, connect.CodeOf(err))
		must.Eq(t, string(code), detailOf(t, err).GetCode())
	}
}

func TestUntypedFailures(t *testing.T) {
	for err, code := range map[error]fault.Code{
		context.DeadlineExceeded: fault.Timeout,
		context.Canceled:         fault.Timeout,
		io.EOF:                   fault.Internal,
	} {
		must.Eq(t, string(code), detailOf(t, asConnect(err)).GetCode())
	}
	must.Eq(t, fault.Unavailable, codeOf(fault.Wrap(fault.Unavailable, "read", context.DeadlineExceeded)))
	must.NoError(t, asConnect(nil))
}

func TestProblemsAndNumberArrive(t *testing.T) {
	refused := fault.Document("refused", []fault.Problem{{Path: "a", Value: "1", Allowed: "2"}, {Path: "b", Value: "3", Allowed: "4"}})
	refused.Number = 7
	b := new(backing)
	client, _ := serve(t, b)
	for _, b.err = range []error{refused, errors.Join(refused), fault.Wrap(fault.Invalid, "ticket", refused)} {
		_, err := client.Outcome(t.Context(), connect.NewRequest(&lentilwinchv1.OutcomeRequest{}))
		detail := detailOf(t, err)
		must.Eq(t, 7, detail.GetNumber())
		must.Len(t, 2, detail.GetProblems())
		must.Eq(t, "b", detail.GetProblems()[1].GetPath())
		must.Eq(t, "4", detail.GetProblems()[1].GetAllowed())
	}
}

// TestTimeouts seen failing: a timeout of more than 292 years overflowed, so
// that the deadline had passed.
func TestTimeouts(t *testing.T) {
	b := new(backing)
	client, _ := serve(t, b)
	send := func(ms int64) error {
		_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{TimeoutMs: ms}))
		return err
	}
	for _, ms := range []int64{-1, math.MinInt64} {
		detail := detailOf(t, send(ms))
		must.Eq(t, string(fault.Invalid), detail.GetCode())
		must.Eq(t, "timeout_ms", detail.GetProblems()[0].GetPath())
	}
	must.SliceEmpty(t, b.got)
	must.NoError(t, send(0))
	must.True(t, b.got[0].Deadline.IsZero())
	for _, ms := range []int64{time.Minute.Milliseconds(), math.MaxInt64 / 1000, math.MaxInt64} {
		must.NoError(t, send(ms))
		must.True(t, b.got[len(b.got)-1].Deadline.After(time.Now()))
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
		must.Eq(t, want, specFrom(&lentilwinchv1.JobSpec{DeclaredRunMs: ms}).DeclaredRun)
	}
}

func TestListLimits(t *testing.T) {
	b := new(backing)
	client, _ := serve(t, b)
	for asked, want := range map[int32]int{0: defaultPage, 1: 1, maxPage: maxPage} {
		_, err := client.ListJobs(t.Context(), connect.NewRequest(&lentilwinchv1.ListJobsRequest{Limit: asked}))
		must.NoError(t, err)
		must.Eq(t, want, b.limit)
	}
	for _, asked := range []int32{-1, maxPage + 1, math.MinInt32} {
		_, err := client.ListJobs(t.Context(), connect.NewRequest(&lentilwinchv1.ListJobsRequest{Limit: asked}))
		must.Eq(t, "limit", detailOf(t, err).GetProblems()[0].GetPath())
	}
}

func TestInstanceThatTakesNoWork(t *testing.T) {
	b := &backing{admit: fault.New(fault.Draining, "stopping")}
	client, _ := serve(t, b)
	_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{}))
	must.Eq(t, string(fault.Draining), detailOf(t, err).GetCode())
	must.SliceEmpty(t, b.got)
	_, err = client.Outcome(t.Context(), connect.NewRequest(&lentilwinchv1.OutcomeRequest{}))
	must.NoError(t, err)
}

func TestBodyLimit(t *testing.T) {
	b := new(backing)
	client, _ := serve(t, b)
	whole := bytes.Repeat([]byte("x"), testMaxBody)
	res, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: whole}))
	must.NoError(t, err)
	must.Eq(t, len(whole), len(res.Msg.GetAnswer()))
	tooLarge := append(whole, make([]byte, 2*envelopeBytes)...)
	_, err = client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: tooLarge}))
	must.Eq(t, connect.CodeResourceExhausted, connect.CodeOf(err))
	must.Len(t, 1, b.got)
}

// TestGarbage sends what no client of ours sends. It is refused before it
// reaches the duties, by a connect code without detail.
func TestGarbage(t *testing.T) {
	b := new(backing)
	_, url := serve(t, b)
	cases := map[string]struct {
		contentType string
		body        string
		status      int
	}{
		"broken message":  {"application/proto", "\xff\xff\xff\xff", http.StatusBadRequest},
		"broken text":     {"application/json", `{"workspace": `, http.StatusBadRequest},
		"wrong type":      {"application/json", `{"timeout_ms": "soon"}`, http.StatusBadRequest},
		"unknown content": {"text/html", "<p>", http.StatusUnsupportedMediaType},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := http.Post(url+lentilwinchv1connect.SchedulerServiceRequestProcedure, c.contentType, bytes.NewReader([]byte(c.body)))
			must.NoError(t, err)
			must.Eq(t, c.status, resp.StatusCode)
			must.NoError(t, resp.Body.Close())
		})
	}
	must.SliceEmpty(t, b.got)
	http.DefaultClient.CloseIdleConnections()
}
