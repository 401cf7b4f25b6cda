package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Listen returns a listener for TCP with at most maxConns connections. It fails with
// fault.Unavailable.
func (g *Gate) Listen(ctx context.Context, address string, maxConns int) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Connections inherit the size. It has to be set before they are opened,
		// because the window that was announced isn't taken back.
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
		return errors.Join(err, setErr)
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "listen on "+address, err)
	}
	return g.newListener(l, maxConns), nil
}

func (g *Gate) newListener(l net.Listener, maxConns int) *Listener {
	out := &Listener{Listener: l, gate: g, maxConns: maxConns, conns: map[*Conn]struct{}{}}
	out.changed.L = &out.mu
	return out
}

// Listener accepts connections. If there are too many, it closes one that makes no
// progress, and otherwise the new one.
type Listener struct {
	net.Listener
	gate     *Gate
	maxConns int

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// evicted is the number of connections that were closed for new ones and that the
	// HTTP server hasn't given up yet. After a request with a large unread body it holds a
	// connection, with its buffers, for 500 ms. Lingering connections don't count.
	evicted int
	// changed is signalled when evicted falls or a connection may have become one that
	// can be closed for a new one, while isFull is set.
	changed sync.Cond
	isFull  atomic.Bool // Accept waits for changed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := l.newConn(raw)
		victim, ok := l.admit(c)
		if victim != nil {
			l.gate.refuse(ReasonConnections, victim.RemoteAddr().String(), 0)
			_ = victim.Conn.Close() // the HTTP server calls victim.Close
		}
		if ok {
			return c, nil
		}
		l.gate.refuse(ReasonConnections, raw.RemoteAddr().String(), 0)
		_ = raw.Close()
	}
}

func (l *Listener) newConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, listener: l, state: connNew, since: l.gate.now()}
	c.hasInput.Store(true)
	return c
}

// admit adds a connection if there are few enough, or instead of the returned one. It
// waits while there are too many of which the process hasn't handled what they sent, so
// that clients which open connections faster than that don't displace each other unserved.
func (l *Listener) admit(c *Conn) (victim *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFull.Store(true) // before the states are read
	defer l.isFull.Store(false)
	// Clients that open connections faster than the server gives them up must not make
	// it keep ever more of them.
	for l.evicted >= l.maxConns {
		l.changed.Wait()
	}
	for len(l.conns) >= l.maxConns {
		open, infos := make([]*Conn, 0, len(l.conns)), make([]connInfo, 0, len(l.conns))
		hasInput := false
		for o := range l.conns {
			info := connInfo{o.state, o.since, o.hasInput.Load()}
			open, infos = append(open, o), append(infos, info)
			hasInput = hasInput || info.isUnhandled()
		}
		i := chooseVictim(infos, l.gate.now())
		if i < 0 && hasInput {
			l.changed.Wait()
			continue
		}
		if i < 0 {
			return nil, false
		}
		victim = open[i]
		l.forget(victim)
		if !victim.isReleased {
			victim.isEvicted = true
			l.evicted++
		}
	}
	l.conns[c] = struct{}{}
	l.gate.conns.Add(1)
	return victim, true
}

// forget removes a connection. The caller holds l.mu.
func (l *Listener) forget(c *Conn) {
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.gate.conns.Add(-1)
		l.changed.Signal()
	}
}

// signal wakes Accept if it waits.
func (l *Listener) signal() {
	if l.isFull.Load() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.changed.Signal()
	}
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener
	state    connState // guarded by listener.mu, as is since
	since    time.Duration
	// isReleased is set once the HTTP server has given the connection up, which may linger
	// then. isEvicted is set from its eviction until then. Both are guarded by listener.mu.
	isReleased, isEvicted bool

	mu      sync.Mutex
	aborted bool // reads fail at once
	// shouldLinger is set if the last request wasn't read whole. isHalfClosed is set once
	// nothing more can be written.
	shouldLinger, isHalfClosed bool

	// hasInput is set while the process has yet to handle what the client sent, and
	// not while it waits for the client or for the turn of a body.
	hasInput atomic.Bool
	// receiving is the body that is being received, nil if none is.
	receiving atomic.Pointer[reception]
}

// reception is the receiving of a body over a connection.
type reception struct {
	ctx  context.Context // ends when the body is aborted, and at its deadline
	turn *turn
}

// Read implements net.Conn. What it returns for a body is parsed in turn with others.
func (c *Conn) Read(into []byte) (int, error) {
	c.hasInput.Store(false)
	c.listener.signal()
	defer c.hasInput.Store(true)
	r := c.receiving.Load()
	if r == nil {
		return c.Conn.Read(into)
	}
	r.turn.release()
	n, err := c.Conn.Read(into)
	if n == 0 {
		return n, err
	}
	if turnErr := r.turn.take(r.ctx, n); turnErr != nil {
		return 0, turnErr
	}
	return n, err
}

// lingerTimeout is the time that a client has to read the response to a request that
// wasn't read whole. net/http waits as long itself, but only after bodies beyond 256 KB.
const lingerTimeout = 500 * time.Millisecond

// Close implements net.Conn. If the last request wasn't read whole, it ends only the sending
// side now, and closes the connection after lingerTimeout: a connection with unread bytes is reset when it is closed, and the client
// might not read the response.
func (c *Conn) Close() error {
	c.release()
	c.mu.Lock()
	linger := c.shouldLinger && !c.isHalfClosed
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		time.AfterFunc(lingerTimeout, func() { _ = c.closeNow() }) // fails only if it is closed already
		return nil
	}
	return c.closeNow()
}

// release records that the HTTP server has given the connection up.
func (c *Conn) release() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isReleased = true
	if c.isEvicted {
		c.isEvicted = false
		c.listener.evicted--
		c.listener.changed.Signal()
	}
}

// closeNow closes the connection and frees its place in the listener.
func (c *Conn) closeNow() error {
	c.listener.mu.Lock()
	c.listener.forget(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the response before the connection is closed, so that the peer gets
// all of it. The HTTP server calls it.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.isHalfClosed = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// setState changes the state and returns the previous one.
func (c *Conn) setState(s connState) connState {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	before := c.state
	c.state, c.since = s, c.listener.gate.now()
	c.listener.changed.Signal()
	return before
}

// end makes all further reads fail once the last response has been written.
func (c *Conn) end() {
	isUnread := c.setState(connClosing) == connReceiving
	c.abort()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shouldLinger = isUnread
}

// setReadDeadline sets the deadline unless the connection was aborted.
func (c *Conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.aborted {
		_ = c.Conn.SetReadDeadline(t) // fails only if the connection is closed, as the next read does
	}
}

// abort makes the current and all further reads fail. The response can still be
// written.
func (c *Conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

type connKey struct{}

// Server returns an HTTP server for one of the gate's listeners.
func (g *Gate) Server(handler http.Handler, readHeaderTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: g.guard(handler), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, s http.ConnState) {
			conn, ok := c.(*Conn)
			if !ok {
				return
			}
			switch s {
			case http.StateIdle:
				conn.setState(connIdle)
			case http.StateActive:
				conn.setState(connReceiving)
			case http.StateHijacked:
				conn.setState(connBusy)
			case http.StateNew, http.StateClosed:
			}
		},
	}
}

// guard refuses requests with too many header lines, and closes connections whose body
// the handler didn't read, without draining them.
func (g *Gate) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*Conn)
		if conn == nil {
			next.ServeHTTP(w, r) // in a test without a listener
			return
		}
		if r.ContentLength == 0 {
			conn.setState(connBusy)
		} else {
			// The server drains no body of a connection that it closes.
			w.Header().Set("Connection", "close")
		}
		lines := 0
		for _, values := range r.Header {
			lines += len(values)
		}
		if lines > maxHeaderLines {
			g.refuse(ReasonHeaders, r.RemoteAddr, 0)
			w.Header().Set("Connection", "close")
			http.Error(w, "too many header lines", http.StatusRequestHeaderFieldsTooLarge)
		} else {
			next.ServeHTTP(w, r)
		}
		switch w.Header().Get("Connection") {
		case "close":
			conn.end()
		case "": // otherwise the connection has become a link
			conn.setState(connSending)
		}
	})
}

// Receive reads the body of a request, at most limit bytes and until the deadline. It
// fails with *http.MaxBytesError if the body is larger, with a *fault.RetryError of
// code fault.Unavailable if the budget is exhausted or the body isn't complete in time
// or makes no progress, and with fault.Invalid if it can't be read. The connection is
// then closed after the response.
func (g *Gate) Receive(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	if r.ContentLength > limit {
		g.refuse(ReasonTooLarge, r.RemoteAddr, r.ContentLength)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	abort := func() {}
	var reader io.Reader = http.MaxBytesReader(w, r.Body, limit)
	if conn != nil { // nil in tests without a listener
		ctx, cancel := context.WithDeadline(r.Context(), deadline)
		defer cancel()
		abort = func() {
			conn.abort()
			cancel()
		}
		reader = &progress{reader, conn, deadline}
		defer conn.setReadDeadline(time.Time{})
		turn := g.turns.open()
		defer turn.close()
		conn.receiving.Store(&reception{ctx, turn})
		defer conn.receiving.Store(nil)
	}
	b := g.open(r.RemoteAddr, abort)
	err := b.receive(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		g.refuse(ReasonTooLarge, r.RemoteAddr, b.size)
		b.Close()
		return nil, tooLarge
	case err != nil:
		err = b.failure(err)
		b.Close()
		return nil, err
	}
	if conn != nil {
		conn.setState(connBusy)
		if !r.Close {
			w.Header().Del("Connection")
		}
	}
	return b, nil
}
