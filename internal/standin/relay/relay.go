// Package relay implements a TCP relay with injectable network faults for tests.
// It can refuse and reset connections, and hold, delay and drop their bytes in
// either direction.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Direction is the direction of a byte stream.
type Direction int

// The directions of the bytes of a connection.
const (
	ToServer Direction = iota
	ToClient
	directions // number of directions
)

// dialTimeout bounds the connection setup to the target.
const dialTimeout = 5 * time.Second

// directionFaults are the faults of one direction of all connections.
type directionFaults struct {
	delay time.Duration
	hold  bool
	// silence drops bytes and the ends of streams.
	silence bool
}

// Relay forwards TCP connections to a target. It is safe for concurrent use.
type Relay struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mu     sync.Mutex
	faults [directions]directionFaults
	refuse bool
	links  map[*link]struct{}
	closed bool
	// changed is closed and replaced by each update.
	changed chan struct{}
}

// Listen starts a healthy relay to a target on a free port of 127.0.0.1. It fails
// with fault.Unavailable.
func Listen(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "listen", err)
	}
	r := &Relay{
		listener: l,
		target:   target,
		links:    make(map[*link]struct{}),
		changed:  make(chan struct{}),
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the relay's host:port.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Links returns the number of open connections.
func (r *Relay) Links() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Delay delays all bytes of a direction by d. Bytes that have arrived before keep
// their delay.
func (r *Relay) Delay(dir Direction, d time.Duration) {
	r.update(func() { r.faults[dir].delay = d })
}

// Hold queues all bytes of a direction until ClearFaults.
func (r *Relay) Hold(dir Direction) {
	r.update(func() { r.faults[dir].hold = true })
}

// Silence drops all bytes of a direction on open and new connections without
// closing them. A connection that has lost bytes stays silent after ClearFaults.
func (r *Relay) Silence(dir Direction) {
	r.update(func() { r.faults[dir].silence = true })
}

// SilenceOpen drops all further bytes of the open connections without closing
// them, also after ClearFaults. It doesn't affect new connections.
func (r *Relay) SilenceOpen() {
	r.update(func() {
		for l := range r.links {
			l.silence()
		}
	})
}

// Reset resets the open connections. It doesn't affect new connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.reset()
	}
}

// Refuse closes new connections immediately until ClearFaults.
func (r *Relay) Refuse() {
	r.update(func() { r.refuse = true })
}

// ClearFaults clears all faults. Connections that have lost bytes or were open at
// SilenceOpen stay silent.
func (r *Relay) ClearFaults() {
	r.update(func() {
		r.faults = [directions]directionFaults{}
		r.refuse = false
	})
}

// Close closes the listener and all connections and waits for their goroutines.
func (r *Relay) Close() {
	// An error means that the listener is already closed.
	_ = r.listener.Close()
	r.update(func() {
		r.closed = true
		for l := range r.links {
			l.reset()
		}
	})
	r.goroutines.Wait()
}

func (r *Relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// faultsOf returns the faults of a direction and a channel that is closed at
// the next update.
func (r *Relay) faultsOf(dir Direction) (directionFaults, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[dir], r.changed
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serve(client) })
	}
}

func (r *Relay) serve(client net.Conn) {
	if r.refusing() {
		// The close is orderly, since a reset could make the client's dial fail,
		// depending on timing.
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		abort(client)
		return
	}
	l := newLink(r, client, server)
	if !r.add(l) {
		l.reset()
		return
	}
	l.run()
	r.remove(l)
}

func (r *Relay) refusing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refuse
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}
