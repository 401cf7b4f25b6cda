// Package relay is a small TCP relay for tests: it can cut, hold, delay and
// silence the connections through it, in each direction, and heal.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Direction is that of the bytes.
type Direction int

// The directions.
const (
	ToServer Direction = iota
	ToClient
	directions
)

// dialTimeout bounds the connecting to the target.
const dialTimeout = 5 * time.Second

// conditions is what a relay does in one direction.
type conditions struct {
	delay time.Duration
	hold  bool
	// silence drops bytes and ends alike.
	silence bool
}

// Relay forwards TCP connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	done     sync.WaitGroup

	mu     sync.Mutex
	state  [directions]conditions
	refuse bool
	links  map[*link]struct{}
	closed bool
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
}

// Listen returns a healthy relay on a free port of 127.0.0.1.
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
	r.done.Go(r.accept)
	return r, nil
}

// Address returns the relay's host:port.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Links counts the open connections.
func (r *Relay) Links() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Delay holds up all bytes of a direction by d.
func (r *Relay) Delay(dir Direction, d time.Duration) {
	r.change(func() { r.state[dir].delay = d })
}

// Hold keeps back all bytes of a direction until Heal.
func (r *Relay) Hold(dir Direction) {
	r.change(func() { r.state[dir].hold = true })
}

// Silence drops all bytes of a direction, on open and new connections, with no
// sign to either end. A connection that lost bytes stays silent for good.
func (r *Relay) Silence(dir Direction) {
	r.change(func() { r.state[dir].silence = true })
}

// SilenceOpen silences the open connections for good; new ones work.
func (r *Relay) SilenceOpen() {
	r.change(func() {
		for l := range r.links {
			l.silence()
		}
	})
}

// Cut resets the open connections; new ones work.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.reset()
	}
}

// Refuse closes new connections at once.
func (r *Relay) Refuse() {
	r.change(func() { r.refuse = true })
}

// Heal ends all faults. Connections that lost bytes stay silent.
func (r *Relay) Heal() {
	r.change(func() {
		r.state = [directions]conditions{}
		r.refuse = false
	})
}

// Close closes the listener and all connections and waits for their ends.
func (r *Relay) Close() {
	// Closing twice is harmless.
	_ = r.listener.Close()
	r.change(func() {
		r.closed = true
		for l := range r.links {
			l.reset()
		}
	})
	r.done.Wait()
}

func (r *Relay) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// conditions returns what holds for a direction and a channel that is closed
// at the next change.
func (r *Relay) conditions(dir Direction) (conditions, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state[dir], r.changed
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.serve(client) })
	}
}

func (r *Relay) serve(client net.Conn) {
	if r.refuses() {
		// Orderly, so that the client's dialling doesn't fail by chance.
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

func (r *Relay) refuses() bool {
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
