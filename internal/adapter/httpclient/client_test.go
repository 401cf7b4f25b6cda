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

func post(t *testing.T, address string) (*http.Request, *Flight) {
	ctx, flight := Track(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader("body"))
	must.NoError(t, err)
	return r, flight
}

// TestRequestIsNeverSentAgain lets net/http believe that it may resend, which
// it does on a used connection that the server closed. Seen to fail without
// the check for a second connection in gotConn.
func TestRequestIsNeverSentAgain(t *testing.T) {
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

	first, _ := post(t, server.Address())
	resp, err := client.Do(first)
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())

	second, flight := post(t, server.Address())
	second.Header.Set("Idempotency-Key", "k")
	_, err = client.Do(second)
	must.Error(t, err)
	must.True(t, flight.Seal())
	must.Eq(t, 2, server.Requests())
}

// TestSealedRequestCannotLeave holds that nothing is written after Seal said
// that nothing was. Seen to fail without the check of sealed in begin.
func TestSealedRequestCannotLeave(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { must.Close(t, far) })
	c := &trackedConn{Conn: near}
	flight := &Flight{}
	flight.gotConn(traceInfo(c))
	must.False(t, flight.Seal())
	_, err := c.Write([]byte("late"))
	must.ErrorIs(t, err, net.ErrClosed)

	late := &trackedConn{Conn: near}
	flight.gotConn(traceInfo(late))
	_, err = late.Write([]byte("late"))
	must.ErrorIs(t, err, net.ErrClosed)
}

// TestSealSparesTheNextRequest holds that a connection which carries another
// request by now stays open.
func TestSealSparesTheNextRequest(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { must.Close(t, near) })
	c := &trackedConn{Conn: near}
	first, second := &Flight{}, &Flight{}
	first.gotConn(traceInfo(c))
	second.gotConn(traceInfo(c))
	first.Seal()
	go func() { _, _ = c.Write([]byte("x")) }()
	_, err := io.ReadFull(far, make([]byte, 1))
	must.NoError(t, err)
	must.True(t, second.Seal())
}

func traceInfo(c net.Conn) httptrace.GotConnInfo {
	return httptrace.GotConnInfo{Conn: c}
}

// TestAnswerIsBounded reads answers just within and beyond the bound. Seen to
// fail without boundedBody.
func TestAnswerIsBounded(t *testing.T) {
	for _, size := range []int{0, 7, 8, 9, 10000} {
		server, err := raw.Listen(func(c *raw.Conn) {
			c.ReadRequest()
			c.Send(raw.Response(http.StatusOK, "text/plain", strings.Repeat("x", size)))
		})
		must.NoError(t, err)
		r, _ := post(t, server.Address())
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
