package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 64 << 10

// limits bounds what a client may cost.
type limits struct {
	header time.Duration
	// request bounds the reading of a whole request, so that a slow sender
	// doesn't hold a connection for ever. It doesn't bound the handler.
	request time.Duration
	idle    time.Duration
	// stop bounds how long calls in progress are awaited at the end.
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

// Listen opens a TCP listener.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "listen on "+address, err)
	}
	return l, nil
}

// Serve serves a handler until the context ends, then ends the calls in
// progress after a short time.
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
		// Calls that hang by request of a test are cut off.
		_ = server.Close()
	}
}
