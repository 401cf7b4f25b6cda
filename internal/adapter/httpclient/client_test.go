package httpclient

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/standin/raw"
)

func newRequest(t *testing.T, address string) (*http.Request, *TrackedRequest) {
	ctx, tracked := Track(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader("body"))
	must.NoError(t, err)
	return r, tracked
}

// Guards against a resend by net/http, which retries an idempotent request when
// the server closes a reused connection. gotConn prevents it by its check for a
// second connection.
func TestRequestIsNotResent(t *testing.T) {
	server, err := raw.Listen(func(c *raw.Conn) {
		if c.ReadRequest() {
			c.Send(raw.Response(http.StatusOK, "text/plain", "ok"))
		}
		c.ReadRequest()
	})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	client := New(Settings{})
	t.Cleanup(client.CloseIdle)

	first, _ := newRequest(t, server.Address())
	resp, err := client.Do(first)
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())

	second, tracked := newRequest(t, server.Address())
	second.Header.Set("Idempotency-Key", "k")
	_, err = client.Do(second)
	must.Error(t, err)
	must.True(t, tracked.Abort())
	must.Eq(t, 2, server.Requests())
}

// Guards against writes after Abort has reported that nothing was sent, which
// happen without the check of aborted in countWrite.
func TestAbortedRequestIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { must.Close(t, far) })
	c := &trackedConn{Conn: near}
	tracked := &TrackedRequest{}
	tracked.gotConn(traceInfo(c))
	must.False(t, tracked.Abort())
	_, err := c.Write([]byte("late"))
	must.ErrorIs(t, err, net.ErrClosed)

	secondConn := &trackedConn{Conn: near}
	tracked.gotConn(traceInfo(secondConn))
	_, err = secondConn.Write([]byte("late"))
	must.ErrorIs(t, err, net.ErrClosed)
}

// Abort must not close a connection that already carries another request.
func TestAbortKeepsConnectionOfNextRequest(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { must.Close(t, near) })
	c := &trackedConn{Conn: near}
	first, second := &TrackedRequest{}, &TrackedRequest{}
	first.gotConn(traceInfo(c))
	second.gotConn(traceInfo(c))
	first.Abort()
	go func() { _, _ = c.Write([]byte("x")) }()
	_, err := io.ReadFull(far, make([]byte, 1))
	must.NoError(t, err)
	must.True(t, second.Abort())
}

func traceInfo(c net.Conn) httptrace.GotConnInfo {
	return httptrace.GotConnInfo{Conn: c}
}

// Reads responses at and beyond the limit. Guards against a body that boundedBody
// doesn't wrap.
func TestAnswerSizeIsBounded(t *testing.T) {
	for _, size := range []int{0, 7, 8, 9, 10000} {
		server, err := raw.Listen(func(c *raw.Conn) {
			c.ReadRequest()
			c.Send(raw.Response(http.StatusOK, "text/plain", strings.Repeat("x", size)))
		})
		must.NoError(t, err)
		r, _ := newRequest(t, server.Address())
		resp, err := New(Settings{MaxAnswerBytes: 8}).Do(r)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.Eq(t, min(size, 8), len(body))
		var oversized *OversizedError
		must.Eq(t, size > 8, errors.As(err, &oversized))
		must.NoError(t, resp.Body.Close())
		server.Close()
	}
}
