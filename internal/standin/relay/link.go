package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes bounds the data of a chunk.
	chunkBytes = 32 << 10
	// queuedChunks bounds the chunks that are queued in one direction of a link.
	queuedChunks = 64
)

// link is one relayed connection.
type link struct {
	relay *Relay
	pipes [directions]*pipe
	// closed is closed when the link is reset.
	closed    chan struct{}
	resetOnce sync.Once
}

// pipe forwards one direction of a link.
type pipe struct {
	link *link
	dir  Direction
	from net.Conn
	to   net.Conn
	// silent makes the pipe drop all further bytes and the end of the stream. It
	// is never cleared.
	silent atomic.Bool
	queue  chan chunk
}

// chunk is data to forward. Empty data marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time // time at which to forward it
}

func newLink(r *Relay, client, server net.Conn) *link {
	l := &link{relay: r, closed: make(chan struct{})}
	l.pipes[ToServer] = newPipe(l, ToServer, client, server)
	l.pipes[ToClient] = newPipe(l, ToClient, server, client)
	return l
}

func newPipe(l *link, dir Direction, from, to net.Conn) *pipe {
	return &pipe{link: l, dir: dir, from: from, to: to, queue: make(chan chunk, queuedChunks)}
}

// run forwards data until both directions have ended. If one side of a silent link
// closes, the other side stays open.
func (l *link) run() {
	var wg sync.WaitGroup
	for _, p := range l.pipes {
		wg.Go(p.read)
		wg.Go(p.write)
	}
	wg.Wait()
	l.reset()
}

// silence makes both directions drop all further data.
func (l *link) silence() {
	for _, p := range l.pipes {
		p.silent.Store(true)
	}
}

// reset closes both connections immediately.
func (l *link) reset() {
	l.resetOnce.Do(func() {
		close(l.closed)
		for _, p := range l.pipes {
			abort(p.from)
		}
	})
}

// abort closes a connection with a TCP reset instead of an orderly close.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// If this fails, the close is orderly, which ends the connection too.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// read queues incoming data until the end of the stream.
func (p *pipe) read() {
	defer close(p.queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := p.from.Read(buf)
		faults, _ := p.link.relay.faultsOf(p.dir)
		due := time.Now().Add(faults.delay)
		if n > 0 && !p.push(chunk{data: buf[:n], due: due}) {
			return
		}
		if err != nil {
			p.push(chunk{due: due})
			return
		}
	}
}

// push queues a chunk. It returns false if the link is reset.
func (p *pipe) push(c chunk) bool {
	select {
	case p.queue <- c:
		return true
	case <-p.link.closed:
		return false
	}
}

// write forwards each queued chunk when it is due.
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

// forward writes data, or closes the write side if data is empty. It reports
// whether it succeeded.
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

// await waits until a chunk is due and its direction isn't held. It marks the pipe
// silent if the direction is silent. It returns false if the link is reset.
func (p *pipe) await(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.link.closed:
		return false
	}
	for {
		faults, changed := p.link.relay.faultsOf(p.dir)
		if faults.silence {
			p.silent.Store(true)
		}
		if !faults.hold || p.silent.Load() {
			return true
		}
		select {
		case <-changed:
		case <-p.link.closed:
			return false
		}
	}
}
