package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// limits bounds the time that a client can occupy a connection.
type limits struct {
	header time.Duration
	// request bounds the reading of a request with its body, so that a slow
	// sender can't occupy a connection indefinitely. It doesn't bound the
	// handler.
	request time.Duration
	idle    time.Duration
	// stop bounds the wait for calls in progress at shutdown.
	stop time.Duration
}

func defaultLimits() limits {
	return limits{
		header:  5 * time.Second,
		request: 30 * time.Second,
		idle:    2 * time.Minute,
		stop:    2 * time.Second,
	}
}

// Listen opens a TCP listener. It fails with fault.Unavailable.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "listen on "+address, err)
	}
	return l, nil
}

// Serve serves a handler until ctx ends. It then waits up to 2 s for calls in
// progress and closes the connections of the remaining ones. It fails with
// fault.Internal if the listener fails.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	return serve(ctx, l, h, defaultLimits())
}

func serve(ctx context.Context, l net.Listener, h http.Handler, lim limits) error {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: lim.header,
		ReadTimeout:       lim.request,
		IdleTimeout:       lim.idle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown(server, lim.stop)
	})
	err := server.Serve(l)
	if !stop() {
		<-stopped
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(fault.Internal, "serve", err)
	}
	return nil
}

func shutdown(server *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// Closes the connections of calls that hang because of an injected
		// fault.
		_ = server.Close()
	}
}
