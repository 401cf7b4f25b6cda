package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// proxyMode selects how a proxy handles its connections.
type proxyMode int32

const (
	forward     proxyMode = iota
	slow                  // delays each chunk by slowDelay
	reset                 // closes all connections with RST
	silent                // holds all data and closes no connection
	holdReplies           // forwards requests and holds replies
	lastMode    = holdReplies
)

var modeNames = [...]string{"forward", "slow", "reset", "silent", "replies held"}

func (m proxyMode) String() string { return modeNames[m] }

const (
	// slowDelay is the delay of each chunk in slow mode.
	slowDelay = 80 * time.Millisecond
	// modePollInterval is the interval between checks whether held data may be
	// forwarded.
	modePollInterval = 20 * time.Millisecond
)

// proxy forwards TCP connections on loopback to one target and injects faults.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	handlers sync.WaitGroup
	closed   chan struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	p.handlers.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mode.Store(int32(m))
	if m == reset {
		p.dropAll()
	}
}

func (p *proxy) dropAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with RST instead of FIN
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	close(p.closed)
	_ = p.listener.Close()
	p.dropAll()
	p.handlers.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		p.handlers.Go(func() { p.serve(c) })
	}
}

// track adds a connection to those that dropAll closes. The returned function
// removes and closes it.
func (p *proxy) track(c net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
		_ = c.Close()
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.track(client)()
	if proxyMode(p.mode.Load()) == reset {
		p.dropAll()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return // the server is down, so the client's connection is closed
	}
	defer p.track(server)()
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(server, client, false) })
	pumps.Go(func() { p.pump(client, server, true) })
	pumps.Wait()
}

func (p *proxy) pump(to, from net.Conn, isReply bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.awaitForward(isReply) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitForward waits until data may be forwarded, in slow mode for slowDelay. It
// returns false if the proxy is closed while it holds the data.
func (p *proxy) awaitForward(isReply bool) bool {
	if proxyMode(p.mode.Load()) == slow {
		time.Sleep(slowDelay)
	}
	for {
		m := proxyMode(p.mode.Load())
		if m != silent && (m != holdReplies || !isReply) {
			return true
		}
		select {
		case <-time.After(modePollInterval):
		case <-p.closed:
			return false
		}
	}
}
