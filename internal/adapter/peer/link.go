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

// link is a WebSocket connection to a peer after the exchange of hellos.
type link struct {
	mesh *Mesh
	conn *websocket.Conn
	peer port.PeerHello
	// dialed is true if this instance dialed, false if the peer did.
	dialed   bool
	outgoing *ring.Ring[port.PeerMessage]
	// heartbeat is the last heartbeat of the peer.
	heartbeat atomic.Pointer[port.PeerHeartbeat]
	// lastReceived is the time at which the last complete message arrived.
	lastReceived atomic.Pointer[time.Time]
	// pendingConfigs is the number of configurations requested but not yet
	// received. A peer that has no newer one sends none, so the number may stay
	// above 0.
	pendingConfigs atomic.Int64

	stopOnce sync.Once
	stopped  chan struct{}
	// cause is the reason for the stop. It is set before stopped is closed.
	cause error
}

func newLink(m *Mesh, conn *websocket.Conn, peer port.PeerHello, dialed bool) *link {
	l := &link{
		mesh:     m,
		conn:     conn,
		peer:     peer,
		dialed:   dialed,
		outgoing: ring.New[port.PeerMessage]("link to "+peer.Instance, m.cfg.OutgoingQueueSize),
		stopped:  make(chan struct{}),
	}
	l.heartbeat.Store(new(port.PeerHeartbeat))
	l.markReceived(time.Now())
	l.updateReadLimit()
	return l
}

// updateReadLimit sets the read limit, which allows large messages only while a
// configuration is pending.
func (l *link) updateReadLimit() {
	if l.pendingConfigs.Load() > 0 {
		l.conn.SetReadLimit(l.mesh.cfg.MaxBytes)
		return
	}
	l.conn.SetReadLimit(min(maxHintBytes, l.mesh.cfg.MaxBytes))
}

func (l *link) markReceived(now time.Time) {
	l.lastReceived.Store(&now)
}

// isLive reports whether a message arrived within the read deadline.
func (l *link) isLive(now time.Time) bool {
	return now.Sub(*l.lastReceived.Load()) <= l.mesh.cfg.ReadDeadline
}

// offer queues a message and reports whether the queue had free capacity.
func (l *link) offer(msg port.PeerMessage) bool {
	if l.outgoing.TryPush(msg) {
		return true
	}
	l.mesh.stats.outgoingDropped.Add(1)
	return false
}

// stop makes run close the link. Only the cause of the first call is kept.
func (l *link) stop(cause error) {
	l.stopOnce.Do(func() {
		l.cause = cause
		close(l.stopped)
	})
}

// run sends and receives messages until the link fails, is replaced or ctx is
// done.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { l.stop(l.read(ctx)) })
	wg.Go(func() { l.stop(l.write(ctx)) })
	select {
	case <-l.stopped:
	case <-ctx.Done():
		l.stop(ctx.Err())
	}
	// Unregister before the closing handshake, which may hang, so that the peer
	// can open a new link meanwhile.
	l.mesh.unregister(l)
	timer := time.AfterFunc(closeTimeout, cancel)
	closeConn(l.conn, l.cause)
	timer.Stop()
	cancel()
	wg.Wait()
}

// read receives messages until it fails. Each must arrive complete within the
// read deadline, so that a silent or very slow peer doesn't keep the link open.
func (l *link) read(ctx context.Context) error {
	for {
		var msg port.PeerMessage
		var decodeErr error
		if err := l.mesh.receive(ctx, l.conn, l.mesh.cfg.ReadDeadline, func(data []byte) {
			l.mesh.stats.recordReceived(len(data))
			msg, decodeErr = decodeMessage(data)
		}); err != nil {
			return err
		}
		if decodeErr != nil {
			return decodeErr
		}
		l.markReceived(time.Now())
		l.handle(msg)
	}
}

// handle records a heartbeat and queues the message as an event. It drops hellos,
// heartbeats without an actionable change and configurations that weren't
// requested.
func (l *link) handle(msg port.PeerMessage) {
	if msg.Hello != nil {
		return
	}
	if msg.Heartbeat != nil {
		previous := l.heartbeat.Swap(msg.Heartbeat)
		if !hasActionableChange(*previous, *msg.Heartbeat) {
			return
		}
	}
	if msg.Config != nil && !l.takePendingConfig() {
		l.mesh.stats.eventsDropped.Add(1)
		return
	}
	if !l.mesh.events.TryPush(port.PeerEvent{From: l.peer, Message: msg}) {
		l.mesh.stats.eventsDropped.Add(1)
	}
}

// takePendingConfig reports whether a configuration is pending and counts one
// as received.
func (l *link) takePendingConfig() bool {
	if l.pendingConfigs.Load() == 0 {
		return false
	}
	l.pendingConfigs.Add(-1)
	l.updateReadLimit()
	return true
}

// hasActionableChange reports whether the latest heartbeat has a change that the
// receiver must act on at once.
func hasActionableChange(previous, latest port.PeerHeartbeat) bool {
	return latest.ConfigNumber != previous.ConfigNumber ||
		latest.Draining != previous.Draining ||
		!slices.Equal(latest.Leaving, previous.Leaving)
}

// write sends queued messages, and the current heartbeat at each interval.
func (l *link) write(ctx context.Context) error {
	ticker := time.NewTicker(l.mesh.cfg.HeartbeatInterval)
	defer ticker.Stop()
	msg := port.PeerMessage{Heartbeat: l.mesh.heartbeat.Load()}
	for {
		if err := l.send(ctx, msg); err != nil {
			return err
		}
		select {
		case msg = <-l.outgoing.C():
		case <-ticker.C:
			msg = port.PeerMessage{Heartbeat: l.mesh.heartbeat.Load()}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// send encodes and writes msg. It drops a message that is longer than MaxBytes.
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
		l.pendingConfigs.Add(1)
		l.updateReadLimit()
	}
	if err := transmit(ctx, l.conn, l.mesh.cfg.ReadDeadline, data); err != nil {
		return err
	}
	l.mesh.stats.recordSent(len(data))
	return nil
}

// receive reads one binary message within timeout and decodes it. It fails with
// fault.Invalid for a text message and with fault.Unavailable otherwise.
func (m *Mesh) receive(ctx context.Context, conn *websocket.Conn, timeout time.Duration, decode func([]byte)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	kind, r, err := conn.Reader(ctx)
	if err != nil {
		return fault.Wrap(fault.Unavailable, "read from peer", err)
	}
	if kind != websocket.MessageBinary {
		return fault.New(fault.Invalid, "peer sent a text message")
	}
	if err := m.cfg.Receive(ctx, r, cancel, decode); err != nil {
		return fault.Wrap(fault.Unavailable, "read from peer", err)
	}
	return nil
}

// transmit writes one message within timeout. It fails with fault.Unavailable.
func transmit(ctx context.Context, conn *websocket.Conn, timeout time.Duration, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fault.Wrap(fault.Unavailable, "write to peer", err)
	}
	return nil
}

// closeConn sends the close code for cause and closes the connection within
// closeTimeout. The library waits longer than that for the peer's close frame, so
// a concurrent read closes the connection when its context expires.
func closeConn(conn *websocket.Conn, cause error) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var reading sync.WaitGroup
	reading.Go(func() { discardMessages(ctx, conn) })
	code, reason := closeStatus(cause)
	// The connection may have failed already, so the error is ignored.
	_ = conn.Close(code, reason)
	reading.Wait()
}

// discardMessages reads and drops messages until the connection fails or is
// closed.
func discardMessages(ctx context.Context, conn *websocket.Conn) {
	for {
		if _, _, err := conn.Read(ctx); err != nil {
			return
		}
	}
}
