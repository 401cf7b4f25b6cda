package control

import (
	"net"
	"sync"
	"sync/atomic"
)

// LimitedListener closes new connections while the number of open connections is
// at its limit.
type LimitedListener struct {
	net.Listener
	max      int64
	open     atomic.Int64
	rejected atomic.Int64
}

// LimitConns limits the open connections of a listener to max; 0 means no limit.
func LimitConns(l net.Listener, max int) *LimitedListener {
	return &LimitedListener{Listener: l, max: int64(max)}
}

// Rejected returns the number of connections closed because of the limit.
func (l *LimitedListener) Rejected() int64 {
	return l.rejected.Load()
}

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if open := l.open.Add(1); l.max == 0 || open <= l.max {
			return &limitedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.rejected.Add(1)
		// The connection was never used, so an error has no effect.
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
