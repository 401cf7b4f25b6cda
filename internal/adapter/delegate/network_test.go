package delegate

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// network connects clients and listeners within the process, so that the tests run in
// virtual time: the delays of a busy machine would otherwise end links and calls.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

func newNetwork() *network { return &network{listeners: map[string]*listener{}} }

// listener accepts the connections to one address.
type listener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (n *network) listen() *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: fmt.Sprintf("10.1.0.%d:80", len(n.listeners)+1), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[l.address] = l
	return l
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, fault.New(fault.Unavailable, "connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return listenerAddress(l.address) }

type listenerAddress string

func (listenerAddress) Network() string  { return "pipe" }
func (a listenerAddress) String() string { return string(a) }
