package control

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
	// bodyTimeout bounds the reading of a request's body, so that a slow sender
	// doesn't hold a connection for ever.
	bodyTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds how long calls in progress are awaited at the end.
	stopTimeout = 2 * time.Second
)

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
	server := &http.Server{
		Handler:           limitBodyTime(h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown(server)
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

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// Calls that hang by request of a test are cut off.
		_ = server.Close()
	}
}

// limitBodyTime bounds the time for a request's body but not for its handler:
// http.Server.ReadTimeout would end the context of a handler that runs longer.
func limitBodyTime(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			controller := http.NewResponseController(w)
			// It can't fail on the server's own writer.
			_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &timedBody{ReadCloser: r.Body, controller: controller}
		}
		h.ServeHTTP(w, r)
	})
}

// timedBody lifts the read deadline once the body was read.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// It can't fail on the server's own writer.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
