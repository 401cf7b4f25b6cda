package peer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// Handler returns the HTTP handler for Path. It responds with status 503 while
// the mesh isn't running or too many connections are awaiting a hello.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(m.serve)
}

func (m *Mesh) serve(w http.ResponseWriter, r *http.Request) {
	ctx, ok := m.admit()
	if !ok {
		m.reject(w)
		return
	}
	defer m.wg.Done()
	select {
	case m.handshakes <- struct{}{}:
	default:
		m.reject(w)
		return
	}
	l, err := m.accept(ctx, w, r)
	<-m.handshakes
	if err != nil {
		m.stats.handshakesRejected.Add(1)
		return
	}
	l.run(ctx)
}

func (m *Mesh) reject(w http.ResponseWriter) {
	m.stats.handshakesRejected.Add(1)
	http.Error(w, string(fault.Unavailable), http.StatusServiceUnavailable)
}

// admit adds an accepted connection to m.wg if the mesh is running and returns the
// context of Run.
func (m *Mesh) admit() (context.Context, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runCtx == nil || m.runCtx.Err() != nil {
		return nil, false
	}
	m.wg.Add(1)
	return m.runCtx, true
}

// accept completes the WebSocket handshake and exchanges hellos.
func (m *Mesh) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) (*link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "accept peer", err)
	}
	conn.SetReadLimit(maxHelloBytes)
	l, err := m.acceptHello(ctx, conn)
	if err != nil {
		closeConn(conn, err)
		return nil, err
	}
	return l, nil
}

// acceptHello receives the peer's hello, sends this instance's and registers the
// link.
func (m *Mesh) acceptHello(ctx context.Context, conn *websocket.Conn) (*link, error) {
	peer, err := m.receiveHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if peer.Instance == m.self().Instance {
		return nil, fault.New(fault.Exists, "instance "+peer.Instance+" dialed itself")
	}
	if err := m.sendHello(ctx, conn); err != nil {
		return nil, err
	}
	l := newLink(m, conn, peer, false)
	if err := m.register(l); err != nil {
		return nil, err
	}
	return l, nil
}

func (m *Mesh) sendHello(ctx context.Context, conn *websocket.Conn) error {
	data, err := encode(hello{Version: protocolVersion, Hello: m.self()})
	if err != nil {
		return err
	}
	return transmit(ctx, conn, m.cfg.ReadDeadline, data)
}

func (m *Mesh) receiveHello(ctx context.Context, conn *websocket.Conn) (port.PeerHello, error) {
	var peer port.PeerHello
	var decodeErr error
	err := m.receive(ctx, conn, m.cfg.ReadDeadline, func(data []byte) { peer, decodeErr = decodeHello(data) })
	if err == nil {
		err = decodeErr
	}
	return peer, err
}
