// Package api serves the API for callers and operators over connect.
package api

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// minMessageBytes is the lowest limit on the size of a message from a caller.
	// It is large enough for the document of a ticket with its envelope.
	minMessageBytes = 4 << 20
	// envelopeBytes bounds the size of a message without the request body.
	envelopeBytes = 64 << 10
	// defaultPageSize and maxPageSize are numbers of jobs.
	defaultPageSize = 100
	maxPageSize     = 500
)

// Requests executes the requests of callers.
type Requests interface {
	// Do returns the outcome of a request. It fails only if the request was not
	// accepted: with fault.Invalid, with fault.NotFound for an unknown workspace
	// or service, or with fault.Exists if the ID was used for a different request.
	Do(ctx context.Context, req structs.Request) (structs.Result, error)
}

// Outcomes looks up the recorded outcomes of requests.
type Outcomes interface {
	// Lookup returns the recorded outcome of a request, or OutcomePending while
	// it is in progress. It fails with fault.NotFound if the request has no record
	// or its answer is missing, with fault.Unavailable or fault.Uncertain if the
	// table or the object store doesn't reply, and with fault.Invalid if the
	// record can't be decoded.
	Lookup(ctx context.Context, k structs.RequestKey) (structs.Result, error)
}

// Jobs submits, reads, cancels and watches jobs. The int64 that comes with a job is
// the revision of its row in the table.
type Jobs interface {
	Submit(ctx context.Context, spec structs.JobSpec) (structs.Job, int64, error)
	Get(ctx context.Context, k structs.JobKey) (structs.Job, int64, error)
	// List returns up to limit jobs of a workspace whose IDs follow after, and
	// reports whether there are more.
	List(ctx context.Context, workspace, after string, limit int) ([]structs.Job, bool, error)
	Cancel(ctx context.Context, k structs.JobKey) (structs.Job, int64, error)
	// Watch calls f with the job now and after each change, until the job is
	// final, ctx ends, or f or a read fails. A read that fails with
	// fault.Unavailable is retried.
	Watch(ctx context.Context, k structs.JobKey, f func(structs.Job, int64) error) error
}

// Tickets accepts and reads change tickets.
type Tickets interface {
	// Accept returns the number of the accepted ticket.
	Accept(ctx context.Context, document []byte) (int64, error)
	// Ticket returns the number and the document of a ticket. Number 0 selects
	// the newest one.
	Ticket(ctx context.Context, number int64) (int64, []byte, error)
}

// Status is a summary of the instance's state.
type Status struct {
	Instance       string `json:"instance"`
	Incarnation    string `json:"incarnation"`
	Domain         string `json:"domain"`
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"not_ready_reason"`
	// ConfigNumber is the number of the ticket in force.
	ConfigNumber int64    `json:"config_number"`
	OwnedDomains []string `json:"owned_domains"`
	// RequestsHeld is the number of callers waiting for an outcome.
	RequestsHeld   int `json:"requests_held"`
	LivePeers      int `json:"live_peers"`
	BackendServers int `json:"backend_servers"`
	Workers        int `json:"workers"`
}

// Instance is the instance that serves the API.
type Instance interface {
	Status() Status
	// Dump returns the instance's state as JSON.
	Dump() ([]byte, error)
	// Admit fails with fault.NotReady while the instance doesn't know the
	// configuration in force. A draining instance still accepts work.
	Admit() error
	// Draining returns a channel that is closed when a graceful shutdown begins.
	// Watches then end.
	Draining() <-chan struct{}
}

// Server implements SchedulerServiceHandler.
type Server struct {
	requests Requests
	outcomes Outcomes
	jobs     Jobs
	tickets  Tickets
	instance Instance
	limits   Limits
}

// Limits holds the timeouts and size limits of the operations.
type Limits struct {
	// Timeout bounds each operation on the table except Request and Watch.
	Timeout time.Duration
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
}

var _ lentilwinchv1connect.SchedulerServiceHandler = (*Server)(nil)

// New returns a server.
func New(requests Requests, outcomes Outcomes, jobs Jobs, tickets Tickets, instance Instance, limits Limits) *Server {
	return &Server{requests: requests, outcomes: outcomes, jobs: jobs, tickets: tickets, instance: instance, limits: limits}
}

// Handler returns the path and the handler to register with a mux.
func (s *Server) Handler() (string, http.Handler) {
	return lentilwinchv1connect.NewSchedulerServiceHandler(s, connect.WithReadMaxBytes(s.maxMessageBytes()))
}

func (s *Server) maxMessageBytes() int { return int(MaxMessageBytes(s.limits.MaxBodyBytes)) }

// MaxMessageBytes returns the size of the largest message, given the size of the
// largest body of a request.
func MaxMessageBytes(maxBodyBytes int64) int64 {
	return max(minMessageBytes, maxBodyBytes+envelopeBytes)
}

// Request implements SchedulerServiceHandler.
func (s *Server) Request(ctx context.Context, r *connect.Request[lentilwinchv1.RequestRequest]) (*connect.Response[lentilwinchv1.RequestResponse], error) {
	if err := s.instance.Admit(); err != nil {
		return nil, toConnectError(err)
	}
	m := r.Msg
	if m.GetTimeoutMs() < 0 {
		p := fault.Problem{Path: "timeout_ms", Value: strconv.FormatInt(m.GetTimeoutMs(), 10), Allowed: "0 or more"}
		return nil, toConnectError(fault.InvalidDocument("request is refused", []fault.Problem{p}))
	}
	req := structs.Request{
		Key:     structs.RequestKey{Workspace: m.GetWorkspace(), ID: m.GetRequestId()},
		Service: m.GetService(),
		Body:    m.GetBody(),
	}
	if m.GetTimeoutMs() > 0 {
		req.Deadline = time.Now().Add(durationFromMillis(m.GetTimeoutMs()))
	}
	decoded(ctx)
	res, err := s.requests.Do(ctx, req)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.RequestResponse{
		Outcome:   outcomeToProto(res.Outcome),
		Reason:    res.Reason,
		Answer:    res.Answer,
		RequestId: m.GetRequestId(),
	}), nil
}

// Outcome implements SchedulerServiceHandler.
func (s *Server) Outcome(ctx context.Context, r *connect.Request[lentilwinchv1.OutcomeRequest]) (*connect.Response[lentilwinchv1.OutcomeResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Timeout)
	defer cancel()
	res, err := s.outcomes.Lookup(ctx, structs.RequestKey{Workspace: r.Msg.GetWorkspace(), ID: r.Msg.GetRequestId()})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.OutcomeResponse{
		Outcome: outcomeToProto(res.Outcome),
		Reason:  res.Reason,
		Answer:  res.Answer,
	}), nil
}

// Submit implements SchedulerServiceHandler.
func (s *Server) Submit(ctx context.Context, r *connect.Request[lentilwinchv1.SubmitRequest]) (*connect.Response[lentilwinchv1.SubmitResponse], error) {
	if err := s.instance.Admit(); err != nil {
		return nil, toConnectError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.Timeout)
	defer cancel()
	j, revision, err := s.jobs.Submit(ctx, specFromProto(r.Msg.GetSpec()))
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.SubmitResponse{Job: jobToProto(j, revision)}), nil
}

// GetJob implements SchedulerServiceHandler.
func (s *Server) GetJob(ctx context.Context, r *connect.Request[lentilwinchv1.GetJobRequest]) (*connect.Response[lentilwinchv1.GetJobResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Timeout)
	defer cancel()
	j, revision, err := s.jobs.Get(ctx, structs.JobKey{Workspace: r.Msg.GetWorkspace(), ID: r.Msg.GetJobId()})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.GetJobResponse{Job: jobToProto(j, revision)}), nil
}

// ListJobs implements SchedulerServiceHandler.
func (s *Server) ListJobs(ctx context.Context, r *connect.Request[lentilwinchv1.ListJobsRequest]) (*connect.Response[lentilwinchv1.ListJobsResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Timeout)
	defer cancel()
	limit, err := pageSize(r.Msg.GetLimit())
	if err != nil {
		return nil, toConnectError(err)
	}
	list, more, err := s.jobs.List(ctx, r.Msg.GetWorkspace(), r.Msg.GetAfterJobId(), limit)
	if err != nil {
		return nil, toConnectError(err)
	}
	out := &lentilwinchv1.ListJobsResponse{More: more}
	for _, j := range list {
		out.Jobs = append(out.Jobs, jobToProto(j, 0))
	}
	return connect.NewResponse(out), nil
}

// pageSize returns the page size for a requested limit. It fails with
// fault.Invalid if the limit is out of range.
func pageSize(limit int32) (int, error) {
	switch {
	case limit == 0:
		return defaultPageSize, nil
	case limit < 0 || limit > maxPageSize:
		p := fault.Problem{Path: "limit", Value: strconv.Itoa(int(limit)), Allowed: fmt.Sprintf("1 to %d", maxPageSize)}
		return 0, fault.InvalidDocument("list request is refused", []fault.Problem{p})
	default:
		return int(limit), nil
	}
}

// Cancel implements SchedulerServiceHandler.
func (s *Server) Cancel(ctx context.Context, r *connect.Request[lentilwinchv1.CancelRequest]) (*connect.Response[lentilwinchv1.CancelResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Timeout)
	defer cancel()
	j, revision, err := s.jobs.Cancel(ctx, structs.JobKey{Workspace: r.Msg.GetWorkspace(), ID: r.Msg.GetJobId()})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.CancelResponse{Job: jobToProto(j, revision)}), nil
}

// Watch implements SchedulerServiceHandler.
func (s *Server) Watch(ctx context.Context, r *connect.Request[lentilwinchv1.WatchRequest], stream *connect.ServerStream[lentilwinchv1.WatchResponse]) error {
	k := structs.JobKey{Workspace: r.Msg.GetWorkspace(), ID: r.Msg.GetJobId()}
	decoded(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-s.instance.Draining():
			cancel(fault.New(fault.Draining, "the instance is stopping; restart the watch at another instance"))
		case <-stop:
		}
	}()
	err := s.jobs.Watch(ctx, k, func(j structs.Job, revision int64) error {
		return stream.Send(&lentilwinchv1.WatchResponse{Job: jobToProto(j, revision)})
	})
	if cause := context.Cause(ctx); err != nil && fault.Is(cause, fault.Draining) {
		err = cause
	}
	return toConnectError(err)
}

// Apply implements SchedulerServiceHandler.
func (s *Server) Apply(ctx context.Context, r *connect.Request[lentilwinchv1.ApplyRequest]) (*connect.Response[lentilwinchv1.ApplyResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Timeout)
	defer cancel()
	number, err := s.tickets.Accept(ctx, r.Msg.GetDocument())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.ApplyResponse{Number: number}), nil
}

// GetTicket implements SchedulerServiceHandler.
func (s *Server) GetTicket(ctx context.Context, r *connect.Request[lentilwinchv1.GetTicketRequest]) (*connect.Response[lentilwinchv1.GetTicketResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Timeout)
	defer cancel()
	number, document, err := s.tickets.Ticket(ctx, r.Msg.GetNumber())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.GetTicketResponse{Number: number, Document: document}), nil
}

// Status implements SchedulerServiceHandler.
func (s *Server) Status(context.Context, *connect.Request[lentilwinchv1.StatusRequest]) (*connect.Response[lentilwinchv1.StatusResponse], error) {
	st := s.instance.Status()
	return connect.NewResponse(&lentilwinchv1.StatusResponse{
		Instance:       st.Instance,
		Incarnation:    st.Incarnation,
		Domain:         st.Domain,
		Ready:          st.Ready,
		NotReadyReason: st.NotReadyReason,
		ConfigNumber:   st.ConfigNumber,
		OwnedDomains:   st.OwnedDomains,
		QueuedRequests: int32(st.RequestsHeld),
		LivePeers:      int32(st.LivePeers),
		BackendServers: int32(st.BackendServers),
		Workers:        int32(st.Workers),
	}), nil
}

// Dump implements SchedulerServiceHandler.
func (s *Server) Dump(context.Context, *connect.Request[lentilwinchv1.DumpRequest]) (*connect.Response[lentilwinchv1.DumpResponse], error) {
	raw, err := s.instance.Dump()
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilwinchv1.DumpResponse{Json: raw}), nil
}
