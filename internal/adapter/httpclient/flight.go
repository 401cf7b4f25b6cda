package httpclient

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Flight follows one request from its first connection to its end.
type Flight struct {
	// written counts the bytes that a connection took or is now taking.
	written atomic.Int64

	mu     sync.Mutex
	sealed bool
	conns  []*trackedConn
}

// Track returns a context whose request is followed by the Flight. Each
// request needs a context of its own.
func Track(ctx context.Context) (context.Context, *Flight) {
	f := &Flight{}
	trace := &httptrace.ClientTrace{GotConn: f.gotConn}
	return httptrace.WithClientTrace(ctx, trace), f
}

// Seal makes sure that no further byte of the request leaves, drops the
// connection if it still carries the request, and reports whether any byte may
// have left.
func (f *Flight) Seal() (sent bool) {
	f.mu.Lock()
	f.sealed = true
	conns := f.conns
	f.mu.Unlock()
	for _, c := range conns {
		c.seal(f)
	}
	return f.written.Load() > 0
}

// gotConn binds the connection to the flight before its request is written.
func (f *Flight) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.bind(f)
	f.conns = append(f.conns, c)
	// A second connection after a written byte would be a resend.
	if f.sealed || f.written.Load() > 0 {
		c.seal(f)
	}
}

// trackedConn counts what it writes for the flight that it carries. HTTP/1.1
// carries one request at a time.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	flight *Flight
	sealed bool
}

func (c *trackedConn) bind(f *Flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flight = f
}

// seal stops writing and closes the connection, unless it carries another
// flight by now.
func (c *trackedConn) seal(f *Flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flight != f || c.sealed {
		return
	}
	c.sealed = true
	// The connection is given up; its error would change nothing.
	_ = c.Conn.Close()
}

// Write implements net.Conn. Bytes count from before they are handed to the
// kernel, so that a write in progress counts as sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	f, err := c.begin(len(p))
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if f != nil {
		f.written.Add(int64(n - len(p)))
	}
	return n, err
}

func (c *trackedConn) begin(n int) (*Flight, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return nil, net.ErrClosed
	}
	if c.flight != nil {
		c.flight.written.Add(int64(n))
	}
	return c.flight, nil
}
