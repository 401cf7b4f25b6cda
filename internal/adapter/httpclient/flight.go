package httpclient

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// TrackedRequest records the bytes that a request has written and the connections
// that it uses.
type TrackedRequest struct {
	// bytesWritten counts the bytes that were written or are being written.
	bytesWritten atomic.Int64

	mu      sync.Mutex
	aborted bool
	conns   []*trackedConn
}

// Track returns a context and the TrackedRequest that tracks the request sent
// with that context. Each request needs its own context.
func Track(ctx context.Context) (context.Context, *TrackedRequest) {
	r := &TrackedRequest{}
	trace := &httptrace.ClientTrace{GotConn: r.gotConn}
	return httptrace.WithClientTrace(ctx, trace), r
}

// Abort prevents any further byte of the request from being sent, closes its
// connection unless that already carries another request, and reports whether any
// byte may have been sent. It closes the connection of a completed request too.
func (r *TrackedRequest) Abort() (sent bool) {
	r.mu.Lock()
	r.aborted = true
	conns := r.conns
	r.mu.Unlock()
	for _, c := range conns {
		c.abort(r)
	}
	return r.bytesWritten.Load() > 0
}

// gotConn binds the connection to the request before the request is written.
func (r *TrackedRequest) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.bind(r)
	r.conns = append(r.conns, c)
	// A further connection after a byte was written means a resend, which abort
	// prevents.
	if r.aborted || r.bytesWritten.Load() > 0 {
		c.abort(r)
	}
}

// trackedConn counts the bytes that it writes for the request that it carries.
// With HTTP/1.1 a connection carries one request at a time.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	request *TrackedRequest
	aborted bool
}

func (c *trackedConn) bind(r *TrackedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = r
}

// abort closes the connection and rejects further writes, unless the connection
// already carries another request.
func (c *trackedConn) abort(r *TrackedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request != r || c.aborted {
		return
	}
	c.aborted = true
	// The connection is abandoned, so its error is ignored.
	_ = c.Conn.Close()
}

// Write implements net.Conn. Bytes are counted before they are passed to the
// kernel, so that a write in progress counts as sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	r, err := c.countWrite(len(p))
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if r != nil {
		r.bytesWritten.Add(int64(n - len(p)))
	}
	return n, err
}

// countWrite counts n bytes as written by the current request, which it returns.
// It fails with net.ErrClosed after abort.
func (c *trackedConn) countWrite(n int) (*TrackedRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil, net.ErrClosed
	}
	if c.request != nil {
		c.request.bytesWritten.Add(int64(n))
	}
	return c.request, nil
}
