package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// mode says what a proxy does to its connections.
type mode int32

const (
	pass mode = iota
	slow
	reset
	silent     // nothing gets through, nothing is closed
	muteBack   // requests get through, answers don't
	lastOfMode = muteBack
)

var modeNames = [...]string{"pass", "slow", "reset", "silent", "answers lost"}

func (m mode) String() string { return modeNames[m] }

const (
	// slowDelay is what a slow proxy adds to each piece of data.
	slowDelay = 80 * time.Millisecond
	// modePoll is how often held data looks whether it may go on.
	modePoll = 20 * time.Millisecond
)

// proxy stands between one process and one server on loopback.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	done     sync.WaitGroup
	closed   chan struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	p.done.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
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
			_ = tcp.SetLinger(0) // a reset instead of an orderly end
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	close(p.closed)
	_ = p.listener.Close()
	p.dropAll()
	p.done.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.done.Go(func() { p.serve(c) })
	}
}

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
	if mode(p.mode.Load()) == reset {
		p.dropAll()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return // the server is gone; so is the connection
	}
	defer p.track(server)()
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(server, client, false) })
	pumps.Go(func() { p.pump(client, server, true) })
	pumps.Wait()
}

func (p *proxy) pump(to, from net.Conn, back bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.hold(back) {
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

// hold waits until data may go on; it reports false once the proxy is closed.
func (p *proxy) hold(back bool) bool {
	if mode(p.mode.Load()) == slow {
		time.Sleep(slowDelay)
	}
	for {
		m := mode(p.mode.Load())
		if m != silent && (m != muteBack || !back) {
			return true
		}
		select {
		case <-time.After(modePoll):
		case <-p.closed:
			return false
		}
	}
}
