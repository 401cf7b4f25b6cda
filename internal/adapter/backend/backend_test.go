package backend

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	backendv1 "github.com/lentilwinch/lentilwinch/gen/backend/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/standin/raw"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const protoType = "application/proto"

func execution(id string) port.Execution {
	return port.Execution{
		Attempt: "a1",
		Request: structs.Request{
			Key:      structs.RequestKey{Workspace: "w", ID: id},
			Body:     []byte(id),
			Deadline: time.Now().Add(time.Minute),
		},
	}
}

func instanceAt(address string) structs.Instance {
	return structs.Instance{Address: address}
}

// answer returns a script that sends the correct answer to execution("r1"),
// modified by change.
func answer(t *testing.T, change func(*backendv1.ExecuteResponse)) func(*raw.Conn) {
	body := []byte("whole")
	digest := sha256.Sum256(body)
	m := &backendv1.ExecuteResponse{
		RequestId:    "r1",
		AttemptId:    "a1",
		Answer:       body,
		AnswerLength: int64(len(body)),
		AnswerSha256: digest[:],
	}
	change(m)
	encoded, err := proto.Marshal(m)
	must.NoError(t, err)
	return answerWith(raw.Response(http.StatusOK, protoType, string(encoded)))
}

func answerWith(response string) func(*raw.Conn) {
	return func(c *raw.Conn) {
		if c.ReadRequest() {
			c.Send(response)
		}
	}
}

// refusalBody returns the body of a refusal of the request with the given ID.
func refusalBody(t *testing.T, requestID string) string {
	detail, err := connect.NewErrorDetail(&backendv1.RefusalDetail{
		Reason:    backendv1.RefusalReason_REFUSAL_REASON_LEAVING,
		RequestId: requestID,
		AttemptId: "a1",
		Load:      &backendv1.Load{Slots: 8, Leaving: true},
	})
	must.NoError(t, err)
	e := connect.NewError(connect.CodeResourceExhausted, nil)
	e.AddDetail(detail)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set("Content-Type", protoType)
	recorder := httptest.NewRecorder()
	must.NoError(t, connect.NewErrorWriter().Write(recorder, r, e))
	return recorder.Body.String()
}

func refuse(body string) func(*raw.Conn) {
	return answerWith(raw.Response(http.StatusTooManyRequests, "application/json", body))
}

// TestExecuteDistinguishesNotStartedFromUnknown checks the code and defect
// of every possible result of a dispatch. It guards against an executeError that
// always returns Uncertain or Unavailable, refusals accepted without a check of
// their IDs, and a missing check in findDefect.
func TestExecuteDistinguishesNotStartedFromUnknown(t *testing.T) {
	t.Parallel()
	type response = backendv1.ExecuteResponse
	ownRefusal, otherRefusal := refusalBody(t, "r1"), refusalBody(t, "r2")
	cases := []struct {
		name   string
		script func(*raw.Conn)
		code   fault.Code
		defect AnswerDefect
	}{
		{"complete answer", answer(t, func(*response) {}), "", ""},
		{"closed during the request", func(c *raw.Conn) { _, _ = c.ReadByte() }, fault.Uncertain, ""},
		{"closed after the request", func(c *raw.Conn) { c.ReadRequest() }, fault.Uncertain, ""},
		{"truncated header", answerWith("HTTP/1.1 200 OK\r\nConte"), fault.Uncertain, ""},
		{"truncated answer", answerWith("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 99\r\n\r\nab"),
			fault.Uncertain, ""},
		{"garbage", answerWith("\x00\x01\x02\r\n\r\n"), fault.Uncertain, ""},
		{"empty answer", answerWith(raw.Response(http.StatusOK, protoType, "")), fault.Uncertain, WrongRequestID},
		{"HTML from a gateway", answerWith(raw.Response(http.StatusServiceUnavailable, "text/html", "x")), fault.Uncertain, ""},
		{"JSON from a gateway", refuse(`{"message":"busy"}`), fault.Uncertain, ""},
		{"error without a refusal", refuse(`{"code":"unavailable"}`), fault.Uncertain, ""},
		{"refusal", refuse(ownRefusal), fault.Refused, ""},
		{"refusal of another request", refuse(otherRefusal), fault.Uncertain, WrongRefusal},
		{"truncated refusal", answerWith(strings.Replace(
			raw.Response(http.StatusTooManyRequests, "application/json", ownRefusal), "Content-Length: ", "Content-Length: 9", 1)),
			fault.Uncertain, ""},
		{"answer to another request", answer(t, func(m *response) { m.RequestId = "r2" }), fault.Uncertain, WrongRequestID},
		{"answer to another attempt", answer(t, func(m *response) { m.AttemptId = "a0" }), fault.Uncertain, WrongAttemptID},
		{"wrong length", answer(t, func(m *response) { m.AnswerLength++ }), fault.Uncertain, WrongLength},
		{"wrong digest", answer(t, func(m *response) { m.Answer[0]++ }), fault.Uncertain, WrongDigest},
		{"oversized", answer(t, func(m *response) { m.Answer = make([]byte, 64<<10) }), fault.Uncertain, Oversized},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, err := raw.Listen(c.script)
			must.NoError(t, err)
			t.Cleanup(server.Close)
			s := DefaultSettings()
			s.MaxAnswerBytes = 1024
			_, err = New(s).Execute(t.Context(), instanceAt(server.Address()), execution("r1"))
			must.Eq(t, c.code, fault.CodeOf(err), must.Sprint(err))
			must.Eq(t, c.defect, defect(err))
			must.LessEq(t, 1, server.Requests())
		})
	}
}

func defect(err error) AnswerDefect {
	var e *AnswerError
	if errors.As(err, &e) {
		return e.Defect
	}
	return ""
}

func TestRefusalCarriesLoad(t *testing.T) {
	t.Parallel()
	server, err := raw.Listen(refuse(refusalBody(t, "r1")))
	must.NoError(t, err)
	t.Cleanup(server.Close)
	_, err = New(DefaultSettings()).Execute(t.Context(), instanceAt(server.Address()), execution("r1"))
	var refused *port.RefusedError
	must.True(t, errors.As(err, &refused))
	must.Eq(t, port.RefusedError{
		Reason: port.RefusedLeaving,
		Load:   port.BackendLoad{Slots: 8, Leaving: true},
	}, *refused)
}

func TestUnsentRequestIsUnavailable(t *testing.T) {
	t.Parallel()
	closed, err := raw.Listen(func(*raw.Conn) {})
	must.NoError(t, err)
	closed.Close()
	b := New(DefaultSettings())
	_, err = b.Execute(t.Context(), instanceAt(closed.Address()), execution("r1"))
	must.Eq(t, fault.Unavailable, fault.CodeOf(err))

	expired := execution("r1")
	expired.Request.Deadline = time.Now().Add(-time.Second)
	_, err = b.Execute(t.Context(), instanceAt(closed.Address()), expired)
	must.Eq(t, fault.Unavailable, fault.CodeOf(err))
}

// Guards against an Execute without a deadline, which would keep a connection
// that has stalled while new connections work.
func TestStalledConnectionIsClosed(t *testing.T) {
	t.Parallel()
	var once sync.Once
	good := answer(t, func(*backendv1.ExecuteResponse) {})
	server, err := raw.Listen(func(c *raw.Conn) {
		stalled := false
		once.Do(func() { stalled = true })
		if stalled {
			c.Drain()
			return
		}
		good(c)
	})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	s := DefaultSettings()
	s.MaxConns = 1
	s.AnswerMargin = 10 * time.Millisecond
	b := New(s)
	e := execution("r1")
	e.Request.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err = b.Execute(t.Context(), instanceAt(server.Address()), e)
	must.Eq(t, fault.Uncertain, fault.CodeOf(err))
	_, err = b.Execute(t.Context(), instanceAt(server.Address()), execution("r1"))
	must.NoError(t, err)
}

// Guards against a missing MaxConnsPerHost. While requests use all connections,
// the next request must not be sent.
func TestConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	arrived := make(chan struct{}, 16)
	server, err := raw.Listen(func(c *raw.Conn) {
		c.ReadRequest()
		arrived <- struct{}{}
		c.Drain()
	})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	s := DefaultSettings()
	s.MaxConns = 4
	b := New(s)
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error)
	for range s.MaxConns - probeConns {
		go func() {
			_, err := b.Execute(ctx, instanceAt(server.Address()), execution("r1"))
			errs <- err
		}()
		<-arrived
	}
	e := execution("r2")
	e.Request.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err = b.Execute(t.Context(), instanceAt(server.Address()), e)
	must.Eq(t, fault.Unavailable, fault.CodeOf(err))
	must.Eq(t, 3, server.Accepted())
	cancel()
	for range s.MaxConns - probeConns {
		must.Eq(t, fault.Uncertain, fault.CodeOf(<-errs))
	}
}

func TestUnusedServersAreDropped(t *testing.T) {
	t.Parallel()
	b := New(DefaultSettings())
	now := time.Now()
	busy := b.acquire(now, "127.0.0.1:1")
	b.release(b.acquire(now, "127.0.0.1:2"))
	b.acquire(now.Add(time.Hour), "127.0.0.1:3")
	must.MapLen(t, 2, b.servers)
	must.MapContainsKey(t, b.servers, "127.0.0.1:1")
	b.release(busy)
}
