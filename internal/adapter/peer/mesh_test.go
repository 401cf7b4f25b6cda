package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds the wait for a condition. It allows for a busy machine.
const waitTimeout = 30 * time.Second

var fastConfig = Config{HeartbeatInterval: 20 * time.Millisecond, ReadDeadline: 300 * time.Millisecond, DialDelay: 50 * time.Millisecond}

type instance struct {
	*Mesh
	name, address string
}

func startInstance(t *testing.T, name string, cfg Config) *instance {
	m := New(cfg, func() port.PeerHello {
		return port.PeerHello{Instance: name, Incarnation: name + "-1", Domain: "east", Address: "127.0.0.1:1"}
	})
	mux := http.NewServeMux()
	mux.Handle(Path, m.Handler())
	server := httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		server.Close()
	})
	eventually(t, "running", func() bool {
		_, ok := m.admit()
		if ok {
			m.wg.Done()
		}
		return ok
	})
	return &instance{Mesh: m, name: name, address: strings.TrimPrefix(server.URL, "http://")}
}

func (in *instance) target() Target { return Target{Instance: in.name, Address: in.address} }

func (in *instance) hasLivePeer(other *instance) bool {
	for _, info := range in.Live() {
		if info.Hello.Instance == other.name {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(waitTimeout), wait.Gap(2*time.Millisecond)), must.Sprint(condition))
}

func TestOneLinkPerPairCarriesMessages(t *testing.T) {
	a, b := startInstance(t, "a", fastConfig), startInstance(t, "b", fastConfig)
	must.Eq(t, fault.Unavailable, fault.CodeOf(a.Send(t.Context(), "b", port.PeerMessage{})))
	a.SetPeers([]Target{a.target(), b.target()})
	b.SetPeers([]Target{a.target(), b.target()})
	eventually(t, "link", func() bool { return a.hasLivePeer(b) && b.hasLivePeer(a) })

	a.Broadcast(port.PeerMessage{Heartbeat: &port.PeerHeartbeat{ConfigNumber: 7, Leaving: []string{"s1"}}})
	event := next(t, b)
	must.Eq(t, []string{"s1"}, event.Message.Heartbeat.Leaving)
	must.Eq(t, "a", event.From.Instance)
	must.NoError(t, b.Send(t.Context(), "a", port.PeerMessage{ConfigRequest: &port.PeerConfigRequest{After: 3}}))
	must.Eq(t, 3, next(t, a).Message.ConfigRequest.After)
	large := &port.PeerConfig{Number: 4}
	large.Workspaces = append(large.Workspaces, workspaceOfSize(2*maxHintBytes))
	must.NoError(t, a.Send(t.Context(), "b", port.PeerMessage{Config: large}))
	must.Eq(t, large, next(t, b).Message.Config)
	must.Eq(t, 1, a.Stats().Links)
	must.Eq(t, 1, b.Stats().Links)
}

func TestHigherInstanceDialsWhenOnlyItHasTarget(t *testing.T) {
	a, b := startInstance(t, "a", fastConfig), startInstance(t, "b", fastConfig)
	b.SetPeers([]Target{a.target()})
	eventually(t, "link", func() bool { return a.hasLivePeer(b) && b.hasLivePeer(a) })
}

func next(t *testing.T, n *instance) port.PeerEvent {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	event, err := n.Events().Pop(ctx)
	must.NoError(t, err)
	return event
}

// relay forwards TCP connections. A stalled connection stays open and forwards
// nothing, while new connections work.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	stalls   []chan struct{}
	conns    []net.Conn
	wg       sync.WaitGroup
}

func startRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{listener: listener, target: target}
	r.wg.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		for _, conn := range r.conns {
			_ = conn.Close()
		}
		r.mu.Unlock()
		r.wg.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		stalled := make(chan struct{})
		r.mu.Lock()
		r.stalls = append(r.stalls, stalled)
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		r.wg.Go(func() { forward(out, in, stalled) })
		r.wg.Go(func() { forward(in, out, stalled) })
	}
}

func forward(to, from net.Conn, stalled chan struct{}) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-stalled:
		default:
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}

func (r *relay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, stalled := range r.stalls {
		close(stalled)
	}
	r.stalls = nil
}

// Guards against reads without a deadline, which keep a link whose connection
// has stalled.
func TestStalledConnectionIsReplaced(t *testing.T) {
	a, b := startInstance(t, "a", fastConfig), startInstance(t, "b", fastConfig)
	r := startRelay(t, b.address)
	a.SetPeers([]Target{{Instance: "b", Address: r.listener.Addr().String()}})
	eventually(t, "link", func() bool { return a.hasLivePeer(b) && b.hasLivePeer(a) })
	for i := range int64(3) {
		r.stall()
		eventually(t, "drop", func() bool { return a.Stats().LinksDropped > i && b.Stats().LinksDropped > i })
		eventually(t, "replacement", func() bool { return a.hasLivePeer(b) && b.hasLivePeer(a) })
	}
}

// Guards against a missing read limit, version check or message type check. Each
// has its own case.
func TestInvalidPeerClosesOnlyItsLink(t *testing.T) {
	n, good := startInstance(t, "n", fastConfig), startInstance(t, "good", fastConfig)
	valid := mustEncode(t, hello{Version: protocolVersion, Hello: port.PeerHello{Instance: "x", Incarnation: "x-1"}})
	nextVersion := mustEncode(t, hello{Version: protocolVersion + 1, Hello: port.PeerHello{Instance: "x", Incarnation: "x-1"}})
	self := mustEncode(t, hello{Version: protocolVersion, Hello: port.PeerHello{Instance: "n", Incarnation: "n-2"}})
	for _, c := range []struct {
		name     string
		messages [][]byte
		kind     websocket.MessageType
		code     websocket.StatusCode
	}{
		{"garbage first", [][]byte{[]byte("garbage")}, websocket.MessageBinary, closeInvalid},
		{"another version", [][]byte{nextVersion}, websocket.MessageBinary, closeVersionMismatch},
		{"own instance ID", [][]byte{self}, websocket.MessageBinary, closeDuplicate},
		{"large hello", [][]byte{make([]byte, maxHelloBytes+1)}, websocket.MessageBinary, websocket.StatusMessageTooBig},
		{"text message", [][]byte{valid}, websocket.MessageText, closeInvalid},
		{"garbage later", [][]byte{valid, []byte("garbage")}, websocket.MessageBinary, closeInvalid},
		{"empty message", [][]byte{valid, mustEncode(t, port.PeerMessage{})}, websocket.MessageBinary, closeInvalid},
		{"large hint", [][]byte{valid, make([]byte, maxHintBytes+1)}, websocket.MessageBinary, websocket.StatusMessageTooBig},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, _, err := websocket.Dial(t.Context(), "ws://"+n.address+Path, nil)
			must.NoError(t, err)
			for _, message := range c.messages {
				must.NoError(t, conn.Write(t.Context(), c.kind, message))
			}
			for err == nil {
				_, _, err = conn.Read(t.Context())
			}
			must.Eq(t, c.code, websocket.CloseStatus(err))
		})
	}
	n.SetPeers([]Target{good.target()})
	eventually(t, "link after the invalid ones", func() bool { return n.hasLivePeer(good) && good.hasLivePeer(n) })
	must.SliceEmpty(t, n.Events().Drain(nil, 1))
}

// Guards against a wait without a deadline for the rest of a message after the
// peer has sent only the frame header and part of the payload.
func TestIncompleteMessageTimesOut(t *testing.T) {
	n := startInstance(t, "n", fastConfig)
	conn, err := net.Dial("tcp", n.address)
	must.NoError(t, err)
	_, err = io.WriteString(conn, "GET "+Path+" HTTP/1.1\r\nHost: n\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\x82\xfe\x04\x00\x00\x00\x00\x00half")
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, conn)
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	eventually(t, "rejection", func() bool { return n.Stats().HandshakesRejected == 1 })
}

func mustEncode(t testing.TB, value any) []byte {
	data, err := encode(value)
	must.NoError(t, err)
	return data
}
