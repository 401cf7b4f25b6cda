// Package backend implements stand-ins for backend servers in tests and demos.
// Each server has a number of slots, refuses requests when they are all in use,
// records its runs and has injectable faults.
package backend

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	backendv1 "github.com/lentilwinch/lentilwinch/gen/backend/v1"
	"github.com/lentilwinch/lentilwinch/gen/backend/v1/backendv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxMessageBytes bounds a request message.
const maxMessageBytes = 8 << 20

// Server is one backend server.
type Server struct {
	backend *fake.Backend

	mu sync.Mutex
	// lastAnswer is the answer to the latest request. With the fault WrongID, it is
	// sent in response to the next request.
	lastAnswer *backendv1.ExecuteResponse
}

// NewServer returns a healthy, idle server that accepts the given services, or
// any service if none is given.
func NewServer(slots int, services ...string) *Server {
	return &Server{backend: fake.NewBackend(slots, services...)}
}

// Handler returns the handler of the backend service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, h := backendv1connect.NewBackendServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
	mux.Handle(path, s.corruptAnswers(h))
	return mux
}

// Execute implements backendv1connect.BackendServiceHandler. For the faults that
// send no answer, it aborts the connection.
func (s *Server) Execute(
	ctx context.Context, r *connect.Request[backendv1.ExecuteRequest],
) (*connect.Response[backendv1.ExecuteResponse], error) {
	f := s.backend.Faults()
	wait(ctx, f.Delay)
	if f.HangBeforeStart {
		<-ctx.Done()
	}
	if f.HangBeforeStart || f.DropBeforeStart || ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	run, answer, err := s.backend.Start(toExecution(r.Msg))
	if err != nil {
		return nil, wireError(r.Msg, err)
	}
	wait(ctx, time.Until(run.End))
	if f.Hang {
		<-ctx.Done()
	}
	if f.Hang || f.DropAfterStart || ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(s.response(f, r.Msg, answer)), nil
}

// Probe implements backendv1connect.BackendServiceHandler.
func (s *Server) Probe(
	ctx context.Context, _ *connect.Request[backendv1.ProbeRequest],
) (*connect.Response[backendv1.ProbeResponse], error) {
	f := s.backend.Faults()
	if f.Hang || f.HangBeforeStart {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	wait(ctx, f.Delay)
	return connect.NewResponse(&backendv1.ProbeResponse{Load: wireLoad(s.backend.Load())}), nil
}

// response returns the response to r. With the fault WrongID, it returns the
// previous response, or its own with a different request ID if the previous one
// has the same ID or doesn't exist.
func (s *Server) response(
	f fake.BackendFaults, r *backendv1.ExecuteRequest, answer []byte,
) *backendv1.ExecuteResponse {
	digest := sha256.Sum256(answer)
	own := &backendv1.ExecuteResponse{
		RequestId:    r.GetRequestId(),
		AttemptId:    r.GetAttemptId(),
		Answer:       answer,
		AnswerLength: int64(len(answer)),
		AnswerSha256: digest[:],
		Load:         wireLoad(s.backend.Load()),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastAnswer
	s.lastAnswer = own
	if !f.WrongID {
		return own
	}
	if previous == nil || previous.GetRequestId() == own.GetRequestId() {
		own.RequestId += "-other"
		return own
	}
	return previous
}

func toExecution(r *backendv1.ExecuteRequest) port.Execution {
	return port.Execution{
		Attempt: r.GetAttemptId(),
		Request: structs.Request{
			Key:     structs.RequestKey{Workspace: r.GetWorkspace(), ID: r.GetRequestId()},
			Service: r.GetService(),
			Body:    r.GetBody(),
		},
	}
}

func wireError(r *backendv1.ExecuteRequest, err error) error {
	var refused *port.RefusedError
	if !errors.As(err, &refused) {
		return connect.NewError(connect.CodeInternal, err)
	}
	out := connect.NewError(connect.CodeResourceExhausted, refused)
	detail, err := connect.NewErrorDetail(&backendv1.RefusalDetail{
		Reason:    wireReason(refused.Reason),
		Load:      wireLoad(refused.Load),
		RequestId: r.GetRequestId(),
		AttemptId: r.GetAttemptId(),
	})
	if err != nil {
		return connect.NewError(connect.CodeInternal, fault.Wrap(fault.Internal, "encode refusal detail", err))
	}
	out.AddDetail(detail)
	return out
}

func wireReason(r port.RefusalReason) backendv1.RefusalReason {
	switch r {
	case port.RefusedSlotsFull:
		return backendv1.RefusalReason_REFUSAL_REASON_SLOTS_FULL
	case port.RefusedLeaving:
		return backendv1.RefusalReason_REFUSAL_REASON_LEAVING
	case port.RefusedUnknownService:
		return backendv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE
	default:
		return backendv1.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	}
}

func wireLoad(l port.BackendLoad) *backendv1.Load {
	return &backendv1.Load{Slots: int32(l.Slots), Busy: int32(l.Busy), Leaving: l.Leaving}
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
