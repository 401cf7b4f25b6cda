package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// start serves h with short limits. It returns the address and a function that
// starts the shutdown. The end of the test starts it too.
func start(t *testing.T, h http.HandlerFunc) (string, context.CancelFunc) {
	l, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	short := limits{header: 50 * time.Millisecond, request: 50 * time.Millisecond, idle: time.Minute, stop: 50 * time.Millisecond}
	go func() { served <- serve(ctx, l, h, short) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-served)
	})
	return l.Addr().String(), cancel
}

// TestSlowSendersAreDisconnected sends a part of a request and waits for the
// server to close the connection. It hangs without the limits on the header and
// the request.
func TestSlowSendersAreDisconnected(t *testing.T) {
	address, stop := start(t, func(w http.ResponseWriter, r *http.Request) {
		var v struct{}
		ReadDocument(w, r, &v)
	})
	defer stop()
	for _, part := range []string{"", "POST / HT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"} {
		c, err := net.Dial("tcp", address)
		must.NoError(t, err)
		_, err = io.WriteString(c, part)
		must.NoError(t, err)
		_, err = io.ReadAll(c)
		must.NoError(t, err)
		must.Close(t, c)
	}
}

// TestRequestLimitDoesNotBoundHandler checks that the limit on reading a request
// doesn't end its handler. It fails if the limit is set as the write timeout.
func TestRequestLimitDoesNotBoundHandler(t *testing.T) {
	address, stop := start(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(300 * time.Millisecond):
			w.WriteHeader(http.StatusNoContent)
		}
	})
	defer stop()
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader("body"))
	must.NoError(t, err)
	must.Close(t, resp.Body)
	must.Eq(t, http.StatusNoContent, resp.StatusCode)
}

// TestShutdownClosesHangingCalls checks that the shutdown closes the connection of
// a call that never returns. It hangs without the forced close.
func TestShutdownClosesHangingCalls(t *testing.T) {
	arrived := make(chan struct{})
	address, stop := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { must.Close(t, c) })
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	<-arrived
	stop()
	_, err = io.ReadAll(c)
	must.NoError(t, err)
}

func TestConnectionsOverLimitAreClosed(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	limited := LimitConns(l, 1)
	t.Cleanup(func() { must.Close(t, limited) })
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		return c
	}
	first := dial()
	served := <-accepted
	rejected := dial()
	_, err = rejected.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 1, limited.Rejected())
	must.Close(t, served)
	last := dial()
	must.Close(t, <-accepted)
	for _, c := range []net.Conn{first, rejected, last} {
		must.Close(t, c)
	}
}
