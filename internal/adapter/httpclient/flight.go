package httpclient

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// InFlight tracks one request and the connections that it uses.
type InFlight struct {
	// bytesWritten counts the bytes that were written or are being written.
	bytesWritten atomic.Int64

	mu      sync.Mutex
	aborted bool
	conns   []*trackedConn
}

// Track returns a context whose request is tracked by the InFlight. Each
// request needs its own context.
func Track(ctx context.Context) (context.Context, *InFlight) {
	f := &InFlight{}
	trace := &httptrace.ClientTrace{GotConn: f.gotConn}
	return httptrace.WithClientTrace(ctx, trace), f
}

// Abort prevents any further byte of the request from being sent, closes the
// connection if it still carries the request, and reports whether any byte may
// have been sent.
func (f *InFlight) Abort() (sent bool) {
	f.mu.Lock()
	f.aborted = true
	conns := f.conns
	f.mu.Unlock()
	for _, c := range conns {
		c.abort(f)
	}
	return f.bytesWritten.Load() > 0
}

// gotConn binds the connection to the request before the request is written.
func (f *InFlight) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.bind(f)
	f.conns = append(f.conns, c)
	// A further connection after a byte was written means a resend.
	if f.aborted || f.bytesWritten.Load() > 0 {
		c.abort(f)
	}
}

// trackedConn counts the bytes that it writes for the request that it carries.
// With HTTP/1.1 a connection carries one request at a time.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	flight  *InFlight
	aborted bool
}

func (c *trackedConn) bind(f *InFlight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flight = f
}

// abort closes the connection and rejects further writes, unless the connection
// carries another request by now.
func (c *trackedConn) abort(f *InFlight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flight != f || c.aborted {
		return
	}
	c.aborted = true
	// The connection is abandoned, so its error is ignored.
	_ = c.Conn.Close()
}

// Write implements net.Conn. Bytes are counted before they are passed to the
// kernel, so that a write in progress counts as sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	f, err := c.countWrite(len(p))
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if f != nil {
		f.bytesWritten.Add(int64(n - len(p)))
	}
	return n, err
}

// countWrite counts n bytes as written by the current request, which it returns.
// It fails with net.ErrClosed after abort.
func (c *trackedConn) countWrite(n int) (*InFlight, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil, net.ErrClosed
	}
	if c.flight != nil {
		c.flight.bytesWritten.Add(int64(n))
	}
	return c.flight, nil
}
