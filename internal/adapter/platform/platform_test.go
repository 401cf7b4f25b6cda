package platform

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/standin/raw"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	protoType = "application/proto"
	jsonType  = "application/json"
)

// longTimeouts returns settings whose timeouts only unanswered calls reach.
func longTimeouts(address string) Settings {
	s := DefaultSettings(address)
	s.DialTimeout = time.Minute
	s.ReadTimeout = time.Minute
	s.CommitTimeout = time.Minute
	s.WorkerTimeout = time.Minute
	s.MaxAnswerBytes = 4096
	return s
}

func answerWith(response string) func(*raw.Conn) {
	return func(c *raw.Conn) {
		if c.ReadRequest() {
			c.Send(response)
		}
	}
}

// redirect answers each request with a redirect. It keeps the connection open, so
// that the client could resend the request on it.
func redirect(c *raw.Conn) {
	for c.ReadRequest() {
		c.Send("HTTP/1.1 307 X\r\nLocation: /\r\nContent-Length: 0\r\n\r\n")
	}
}

func connectErrorResponse(code string) string {
	return raw.Response(http.StatusServiceUnavailable, jsonType, `{"code":"`+code+`","message":"x"}`)
}

func conflictResponse(t *testing.T) string {
	detail, err := connect.NewErrorDetail(&platformv1.ConflictDetail{Keys: []string{"a", "b"}})
	must.NoError(t, err)
	e := connect.NewError(connect.CodeAborted, nil)
	e.AddDetail(detail)
	recorder := &responseRecorder{header: make(http.Header)}
	r, err := http.NewRequest(http.MethodPost, "/", nil)
	must.NoError(t, err)
	r.Header.Set("Content-Type", protoType)
	must.NoError(t, connect.NewErrorWriter().Write(recorder, r, e))
	return raw.Response(http.StatusConflict, jsonType, recorder.body.String())
}

type responseRecorder struct {
	header http.Header
	body   strings.Builder
}

func (r *responseRecorder) Header() http.Header         { return r.header }
func (r *responseRecorder) WriteHeader(int)             {}
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// Checks the codes of every possible result of a mutation and of a read. It
// guards against a mapError that always returns Uncertain or Unavailable, or that
// trusts codes that connect infers (without relabelNonConnectError).
func TestErrorCodesDistinguishSentFromUnsent(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		script func(*raw.Conn)
		commit fault.Code
		get    fault.Code
	}{
		{"closed during the request", func(c *raw.Conn) { _, _ = c.ReadByte() }, fault.Uncertain, fault.Unavailable},
		{"closed after the request", func(c *raw.Conn) { c.ReadRequest() }, fault.Uncertain, fault.Unavailable},
		{"truncated header", answerWith("HTTP/1.1 200 OK\r\nConte"), fault.Uncertain, fault.Unavailable},
		{"truncated body", answerWith("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 9\r\n\r\nab"),
			fault.Uncertain, fault.Unavailable},
		{"garbage", answerWith("\x00\x01\x02\r\n\r\n"), fault.Uncertain, fault.Unavailable},
		{"different protocol", answerWith(raw.Response(http.StatusOK, "text/html", "hello")), fault.Uncertain, fault.Unavailable},
		{"malformed message", answerWith(raw.Response(http.StatusOK, protoType, "\xff\xff\xff")), fault.Uncertain, fault.Unavailable},
		{"oversized answer", answerWith(raw.Response(http.StatusOK, protoType, strings.Repeat("x", 5000))),
			fault.Uncertain, fault.Unavailable},
		{"endless header", answerWith("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1<<20)), fault.Uncertain, fault.Unavailable},
		{"page from a gateway", answerWith(raw.Response(http.StatusServiceUnavailable, "text/plain", "down")),
			fault.Uncertain, fault.Unavailable},
		{"JSON from a gateway", answerWith(raw.Response(http.StatusServiceUnavailable, jsonType, `{"message":"down"}`)),
			fault.Uncertain, fault.Unavailable},
		{"truncated error", answerWith("HTTP/1.1 503 X\r\nContent-Type: application/json\r\nContent-Length: 99\r\n\r\n" +
			`{"code":"unavailable"}`), fault.Uncertain, fault.Unavailable},
		{"redirect", redirect, fault.Uncertain, fault.Unavailable},
		{"server unavailable", answerWith(connectErrorResponse("unavailable")), fault.Unavailable, fault.Unavailable},
		{"server internal", answerWith(connectErrorResponse("internal")), fault.Uncertain, fault.Unavailable},
		{"server refuses", answerWith(connectErrorResponse("failed_precondition")), fault.Refused, fault.Refused},
		{"aborted without detail", answerWith(connectErrorResponse("aborted")), fault.Uncertain, fault.Unavailable},
		{"conflict", answerWith(conflictResponse(t)), fault.Conflict, fault.Conflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, err := raw.Listen(c.script)
			must.NoError(t, err)
			t.Cleanup(server.Close)
			_, err = NewTable(longTimeouts(server.Address())).Commit(t.Context(), port.Txn{})
			must.Eq(t, c.commit, fault.CodeOf(err), must.Sprint(err))
			// The server closed the connection, so the read uses a new one.
			_, err = NewTable(longTimeouts(server.Address())).Get(t.Context(), "a")
			must.Eq(t, c.get, fault.CodeOf(err), must.Sprint(err))
			must.LessEq(t, 2, server.Requests(), must.Sprint("a request was resent"))
		})
	}
}

func TestConflictReportsKeys(t *testing.T) {
	t.Parallel()
	server, err := raw.Listen(answerWith(conflictResponse(t)))
	must.NoError(t, err)
	t.Cleanup(server.Close)
	_, err = NewTable(longTimeouts(server.Address())).Commit(t.Context(), port.Txn{})
	var conflict *port.ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, []string{"a", "b"}, conflict.Keys)
}

func TestUnansweredCallTimesOut(t *testing.T) {
	t.Parallel()
	server, err := raw.Listen(func(c *raw.Conn) { c.Drain() })
	must.NoError(t, err)
	t.Cleanup(server.Close)
	s := longTimeouts(server.Address())
	// The timeout includes the opening of the connection, which took more than 1 s on a busy
	// machine. If it takes all of the timeout, the call is rightly unavailable.
	s.CommitTimeout = 5 * time.Second
	s.MaxServiceConns = 1
	table := NewTable(s)
	_, err = table.Commit(t.Context(), port.Txn{})
	must.Eq(t, fault.Uncertain, fault.CodeOf(err))
	_, err = table.Commit(t.Context(), port.Txn{})
	must.Eq(t, fault.Uncertain, fault.CodeOf(err))
	must.Eq(t, 2, server.Accepted(), must.Sprint("a stalled connection was reused"))
}

func TestUnsentCallIsUnavailable(t *testing.T) {
	t.Parallel()
	arrived := make(chan struct{})
	server, err := raw.Listen(func(c *raw.Conn) {
		if c.ReadRequest() {
			close(arrived)
			c.Drain()
		}
	})
	must.NoError(t, err)
	t.Cleanup(server.Close)

	t.Run("connection refused", func(t *testing.T) {
		closed, err := raw.Listen(func(*raw.Conn) {})
		must.NoError(t, err)
		closed.Close()
		_, err = NewTable(longTimeouts(closed.Address())).Commit(t.Context(), port.Txn{})
		must.Eq(t, fault.Unavailable, fault.CodeOf(err))
	})
	t.Run("cancelled before the call", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := NewTable(longTimeouts(server.Address())).Commit(ctx, port.Txn{})
		must.Eq(t, fault.Unavailable, fault.CodeOf(err))
	})
	t.Run("no free connection", func(t *testing.T) {
		s := longTimeouts(server.Address())
		s.MaxServiceConns = 1
		table := NewTable(s)
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error)
		go func() {
			_, err := table.Commit(ctx, port.Txn{})
			first <- err
		}()
		<-arrived
		waiting, cancelWaiting := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancelWaiting()
		_, err := table.Commit(waiting, port.Txn{})
		must.Eq(t, fault.Unavailable, fault.CodeOf(err))
		cancel()
		must.Eq(t, fault.Uncertain, fault.CodeOf(<-first))
	})
}

func TestWorkerErrorCodes(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		response string
		want     fault.Code
	}{
		{"lease isn't held", connectErrorResponse("not_found"), fault.Fenced},
		{"agent refuses", connectErrorResponse("failed_precondition"), fault.Refused},
		{"agent is unavailable", connectErrorResponse("unavailable"), fault.Unavailable},
		{"agent exceeds its deadline", connectErrorResponse("deadline_exceeded"), fault.Uncertain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, err := raw.Listen(answerWith(c.response))
			must.NoError(t, err)
			t.Cleanup(server.Close)
			worker := structs.Worker{ID: "w", Address: server.Address()}
			err = NewWorkers(longTimeouts("127.0.0.1:1")).Reserve(t.Context(), worker, "l", 1, time.Second)
			must.Eq(t, c.want, fault.CodeOf(err), must.Sprint(err))
		})
	}
}

func TestRenewRejectsMismatchedLeases(t *testing.T) {
	t.Parallel()
	reserved := platformv1.TaskState_TASK_STATE_RESERVED
	_, err := leaseStatuses([]structs.LeaseID{"a"}, []*platformv1.LeaseStatus{{LeaseId: "b", State: reserved}})
	must.Eq(t, fault.Uncertain, fault.CodeOf(err))
	_, err = leaseStatuses([]structs.LeaseID{"a", "b"}, []*platformv1.LeaseStatus{{LeaseId: "b", State: reserved}})
	must.Eq(t, fault.Uncertain, fault.CodeOf(err))
}
