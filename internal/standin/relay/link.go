package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 32 << 10
	// queuedChunks bounds what is held back in one direction.
	queuedChunks = 64
)

// link is one connection through the relay.
type link struct {
	relay *Relay
	pipes [directions]*pipe
	// ended is closed when the link is reset.
	ended chan struct{}
	once  sync.Once
}

// pipe forwards one direction of a link.
type pipe struct {
	link *link
	dir  Direction
	from net.Conn
	to   net.Conn
	// silent drops everything, for good.
	silent atomic.Bool
	queue  chan chunk
}

// chunk is bytes to forward; no bytes mean the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

func newLink(r *Relay, client, server net.Conn) *link {
	l := &link{relay: r, ended: make(chan struct{})}
	l.pipes[ToServer] = newPipe(l, ToServer, client, server)
	l.pipes[ToClient] = newPipe(l, ToClient, server, client)
	return l
}

func newPipe(l *link, dir Direction, from, to net.Conn) *pipe {
	return &pipe{link: l, dir: dir, from: from, to: to, queue: make(chan chunk, queuedChunks)}
}

// run forwards until both directions ended. The end of one side of a silent
// link leaves the other side open.
func (l *link) run() {
	var wg sync.WaitGroup
	for _, p := range l.pipes {
		wg.Go(p.read)
		wg.Go(p.write)
	}
	wg.Wait()
	l.reset()
}

func (l *link) silence() {
	for _, p := range l.pipes {
		p.silent.Store(true)
	}
}

// reset closes both connections at once.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.ended)
		for _, p := range l.pipes {
			abort(p.from)
		}
	})
}

// abort closes a connection with a reset instead of an orderly end.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without it the close is orderly, which ends the connection too.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// read queues what arrives until the stream's end.
func (p *pipe) read() {
	defer close(p.queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := p.from.Read(buf)
		state, _ := p.link.relay.conditions(p.dir)
		due := time.Now().Add(state.delay)
		if n > 0 && !p.push(chunk{data: buf[:n], due: due}) {
			return
		}
		if err != nil {
			p.push(chunk{due: due})
			return
		}
	}
}

func (p *pipe) push(c chunk) bool {
	select {
	case p.queue <- c:
		return true
	case <-p.link.ended:
		return false
	}
}

// write forwards what was queued when it is due.
func (p *pipe) write() {
	for c := range p.queue {
		if !p.await(c.due) {
			return
		}
		if p.silent.Load() {
			continue
		}
		if !p.forward(c.data) {
			p.link.reset()
			return
		}
	}
}

// forward writes bytes, or the end of the stream.
func (p *pipe) forward(data []byte) bool {
	if len(data) == 0 {
		return p.closeWrite()
	}
	_, err := p.to.Write(data)
	return err == nil
}

func (p *pipe) closeWrite() bool {
	tcp, ok := p.to.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}

// await waits until a chunk is due and the direction isn't held. It turns the
// pipe silent where the direction is.
func (p *pipe) await(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.link.ended:
		return false
	}
	for {
		state, changed := p.link.relay.conditions(p.dir)
		if state.silence {
			p.silent.Store(true)
		}
		if !state.hold || p.silent.Load() {
			return true
		}
		select {
		case <-changed:
		case <-p.link.ended:
			return false
		}
	}
}
