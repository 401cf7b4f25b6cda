package cli

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeServer answers calls with the functions in its fields, and Dump with a
// fixed document. Its other methods are unimplemented.
type fakeServer struct {
	lentilwinchv1connect.UnimplementedSchedulerServiceHandler
	calls   atomic.Int64
	request func(context.Context, *lentilwinchv1.RequestRequest) (*lentilwinchv1.RequestResponse, error)
	apply   func([]byte) (int64, error)
	submit  func(*lentilwinchv1.JobSpec) (*lentilwinchv1.JobStatus, error)
	list    func(*lentilwinchv1.ListJobsRequest) (*lentilwinchv1.ListJobsResponse, error)
	watch   func(context.Context, func(state string)) error
	// ticket is the number of the newest ticket; 0 if there is none.
	ticket int64
	// dump replaces the fixed document, unless it is empty.
	dump   string
	status func() (*lentilwinchv1.StatusResponse, error)
}

func (f *fakeServer) Request(ctx context.Context, r *connect.Request[lentilwinchv1.RequestRequest]) (*connect.Response[lentilwinchv1.RequestResponse], error) {
	f.calls.Add(1)
	res, err := f.request(ctx, r.Msg)
	return connect.NewResponse(res), err
}

func (f *fakeServer) Apply(_ context.Context, r *connect.Request[lentilwinchv1.ApplyRequest]) (*connect.Response[lentilwinchv1.ApplyResponse], error) {
	f.calls.Add(1)
	number, err := f.apply(r.Msg.GetDocument())
	return connect.NewResponse(&lentilwinchv1.ApplyResponse{Number: number}), err
}

func (f *fakeServer) Submit(_ context.Context, r *connect.Request[lentilwinchv1.SubmitRequest]) (*connect.Response[lentilwinchv1.SubmitResponse], error) {
	f.calls.Add(1)
	job, err := f.submit(r.Msg.GetSpec())
	return connect.NewResponse(&lentilwinchv1.SubmitResponse{Job: job}), err
}

func (f *fakeServer) ListJobs(_ context.Context, r *connect.Request[lentilwinchv1.ListJobsRequest]) (*connect.Response[lentilwinchv1.ListJobsResponse], error) {
	f.calls.Add(1)
	res, err := f.list(r.Msg)
	return connect.NewResponse(res), err
}

func (f *fakeServer) Watch(ctx context.Context, r *connect.Request[lentilwinchv1.WatchRequest], stream *connect.ServerStream[lentilwinchv1.WatchResponse]) error {
	f.calls.Add(1)
	return f.watch(ctx, func(state string) {
		_ = stream.Send(&lentilwinchv1.WatchResponse{Job: jobStatus(r.Msg.GetJobId(), state)})
	})
}

func (f *fakeServer) Status(context.Context, *connect.Request[lentilwinchv1.StatusRequest]) (*connect.Response[lentilwinchv1.StatusResponse], error) {
	f.calls.Add(1)
	res, err := f.status()
	return connect.NewResponse(res), err
}

func (f *fakeServer) Dump(context.Context, *connect.Request[lentilwinchv1.DumpRequest]) (*connect.Response[lentilwinchv1.DumpResponse], error) {
	return connect.NewResponse(&lentilwinchv1.DumpResponse{Json: []byte(cmp.Or(f.dump, `{"ready": true}`))}), nil
}

func (f *fakeServer) GetTicket(context.Context, *connect.Request[lentilwinchv1.GetTicketRequest]) (*connect.Response[lentilwinchv1.GetTicketResponse], error) {
	if f.ticket == 0 {
		return nil, serverError(fault.NotFound)
	}
	return connect.NewResponse(&lentilwinchv1.GetTicketResponse{Number: f.ticket}), nil
}

func jobStatus(id, state string) *lentilwinchv1.JobStatus {
	return &lentilwinchv1.JobStatus{
		Spec:  &lentilwinchv1.JobSpec{Workspace: "w", JobId: id, Members: 2, Accelerators: 8, Adjacency: "rack"},
		State: state,
	}
}

// start serves the fake and returns its IP:port.
func (f *fakeServer) start(t *testing.T) string {
	_, handler := lentilwinchv1connect.NewSchedulerServiceHandler(f)
	return serve(t, handler)
}

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// droppingServer returns the address of a server that accepts a call and closes
// the connection without an answer.
func droppingServer(t *testing.T) string {
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
}

// serverError returns an error as the server sends it.
func serverError(code fault.Code, problems ...*lentilwinchv1.Problem) error {
	err := connect.NewError(connect.CodeUnknown, errors.New("failed"))
	detail, detailErr := connect.NewErrorDetail(&lentilwinchv1.ErrorDetail{
		Code: string(code), Message: "the reason", Problems: problems, Number: 7,
	})
	if detailErr != nil {
		return detailErr
	}
	err.AddDetail(detail)
	return err
}

// syncBuffer is a buffer that is safe for concurrent use. It signals writes on
// wrote.
type syncBuffer struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	wrote chan struct{}
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case b.wrote <- struct{}{}:
	default:
	}
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// result is the exit code and output of a command line.
type result struct {
	exit   ExitCode
	stdout string
	stderr string
}

func run(ctx context.Context, args ...string) result {
	var stdout, stderr syncBuffer
	code := Run(ctx, args, strings.NewReader(""), &stdout, &stderr)
	return result{exit: ExitCode(code), stdout: stdout.String(), stderr: stderr.String()}
}
