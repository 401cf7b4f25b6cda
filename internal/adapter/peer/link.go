package peer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
)

// link is one WebSocket after the hellos.
type link struct {
	mesh   *Mesh
	conn   *websocket.Conn
	peer   port.PeerHello
	dialed bool
	out    *ring.Ring[port.PeerMessage]
	load   atomic.Pointer[port.PeerLoad]
	// heard is when the last whole message arrived.
	heard atomic.Pointer[time.Time]
	// asked is the number of configurations asked for and not received.
	asked atomic.Int64

	stopOnce sync.Once
	stopped  chan struct{}
	cause    error
}

func newLink(m *Mesh, conn *websocket.Conn, peer port.PeerHello, dialed bool) *link {
	l := &link{
		mesh:    m,
		conn:    conn,
		peer:    peer,
		dialed:  dialed,
		out:     ring.New[port.PeerMessage]("link to "+peer.Instance, m.cfg.Outgoing),
		stopped: make(chan struct{}),
	}
	l.load.Store(new(port.PeerLoad))
	l.touch(time.Now())
	l.limitReads()
	return l
}

// limitReads admits a large message only while a configuration was asked for.
func (l *link) limitReads() {
	if l.asked.Load() > 0 {
		l.conn.SetReadLimit(l.mesh.cfg.MaxBytes)
		return
	}
	l.conn.SetReadLimit(min(maxHintBytes, l.mesh.cfg.MaxBytes))
}

func (l *link) touch(now time.Time) {
	l.heard.Store(&now)
}

// fresh reports whether the peer was heard from within the read deadline.
func (l *link) fresh(now time.Time) bool {
	return now.Sub(*l.heard.Load()) <= l.mesh.cfg.ReadDeadline
}

// offer queues a message unless the link is full.
func (l *link) offer(msg port.PeerMessage) bool {
	if l.out.Offer(msg) {
		return true
	}
	l.mesh.stats.outgoingDropped.Add(1)
	return false
}

// stop ends the link; the first cause counts.
func (l *link) stop(cause error) {
	l.stopOnce.Do(func() {
		l.cause = cause
		close(l.stopped)
	})
}

// run carries messages until the link fails, is replaced or ctx ends.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { l.stop(l.read(ctx)) })
	work.Go(func() { l.stop(l.write(ctx)) })
	select {
	case <-l.stopped:
	case <-ctx.Done():
		l.stop(ctx.Err())
	}
	// The peer's place is free before the closing handshake, which may hang.
	l.mesh.detach(l)
	timer := time.AfterFunc(closeLimit, cancel)
	closeConn(l.conn, l.cause)
	timer.Stop()
	cancel()
	work.Wait()
}

// read takes in messages. Each must arrive whole within the read deadline, so
// that a silent or dribbling peer ends the link.
func (l *link) read(ctx context.Context) error {
	for {
		data, err := receive(ctx, l.conn, l.mesh.cfg.ReadDeadline)
		if err != nil {
			return err
		}
		l.mesh.stats.received(len(data))
		msg, err := decodeMessage(data)
		if err != nil {
			return err
		}
		l.touch(time.Now())
		l.accept(msg)
	}
}

func (l *link) accept(msg port.PeerMessage) {
	if msg.Hello != nil {
		return
	}
	if msg.Load != nil {
		last := l.load.Swap(msg.Load)
		if !actionable(*last, *msg.Load) {
			return
		}
	}
	if msg.Config != nil && !l.answered() {
		l.mesh.stats.eventsDropped.Add(1)
		return
	}
	if !l.mesh.events.Offer(port.PeerEvent{From: l.peer, Message: msg}) {
		l.mesh.stats.eventsDropped.Add(1)
	}
}

// answered reports whether a configuration was asked for, and counts it as
// received.
func (l *link) answered() bool {
	if l.asked.Load() == 0 {
		return false
	}
	l.asked.Add(-1)
	l.limitReads()
	return true
}

// actionable reports whether a heartbeat tells something to act on at once.
func actionable(last, load port.PeerLoad) bool {
	return load.ConfigNumber != last.ConfigNumber ||
		load.Draining != last.Draining ||
		!slices.Equal(load.Leaving, last.Leaving)
}

// write sends queued messages, and the load with each heartbeat.
func (l *link) write(ctx context.Context) error {
	ticker := time.NewTicker(l.mesh.cfg.Heartbeat)
	defer ticker.Stop()
	msg := port.PeerMessage{Load: l.mesh.load.Load()}
	for {
		if err := l.send(ctx, msg); err != nil {
			return err
		}
		select {
		case msg = <-l.out.C():
		case <-ticker.C:
			msg = port.PeerMessage{Load: l.mesh.load.Load()}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *link) send(ctx context.Context, msg port.PeerMessage) error {
	data, err := encode(msg)
	if err != nil {
		return err
	}
	if int64(len(data)) > l.mesh.cfg.MaxBytes {
		l.mesh.stats.outgoingDropped.Add(1)
		return nil
	}
	if msg.ConfigRequest != nil {
		l.asked.Add(1)
		l.limitReads()
	}
	if err := transmit(ctx, l.conn, l.mesh.cfg.ReadDeadline, data); err != nil {
		return err
	}
	l.mesh.stats.sent(len(data))
	return nil
}

// receive reads one binary message within a limit of time. It fails with
// fault.Invalid for a text message and fault.Unavailable otherwise.
func receive(ctx context.Context, conn *websocket.Conn, limit time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "read from peer", err)
	}
	if kind != websocket.MessageBinary {
		return nil, fault.New(fault.Invalid, "peer sent a text message")
	}
	return data, nil
}

// transmit writes one message within a limit of time. It fails with
// fault.Unavailable.
func transmit(ctx context.Context, conn *websocket.Conn, limit time.Duration, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fault.Wrap(fault.Unavailable, "write to peer", err)
	}
	return nil
}

// closeConn tells the peer why the link ends and closes it within closeLimit:
// a read whose context ends cuts the library's closing handshake short.
func closeConn(conn *websocket.Conn, cause error) {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	var reading sync.WaitGroup
	reading.Go(func() { discard(ctx, conn) })
	code, reason := closeFor(cause)
	// The connection may be broken already, which is as good.
	_ = conn.Close(code, reason)
	reading.Wait()
}

// discard reads until the connection ends.
func discard(ctx context.Context, conn *websocket.Conn) {
	for {
		if _, _, err := conn.Read(ctx); err != nil {
			return
		}
	}
}
