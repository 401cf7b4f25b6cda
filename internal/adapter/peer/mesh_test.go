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

// patience is how long a condition may take on a busy machine.
const patience = 30 * time.Second

var fast = Config{Heartbeat: 20 * time.Millisecond, ReadDeadline: 300 * time.Millisecond, Grace: 50 * time.Millisecond}

type node struct {
	*Mesh
	name, address string
}

func startNode(t *testing.T, name string, cfg Config) *node {
	m := New(cfg, func() port.PeerHello {
		return port.PeerHello{Instance: name, Incarnation: name + "-1", Domain: "east", Address: "127.0.0.1:1"}
	})
	mux := http.NewServeMux()
	mux.Handle(Path, m.Handler())
	server := httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { _ = m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		work.Wait()
		server.Close()
	})
	eventually(t, "running", func() bool {
		_, ok := m.enter()
		if ok {
			m.work.Done()
		}
		return ok
	})
	return &node{Mesh: m, name: name, address: strings.TrimPrefix(server.URL, "http://")}
}

func (n *node) target() Target { return Target{Instance: n.name, Address: n.address} }

func (n *node) sees(other *node) bool {
	for _, info := range n.Live() {
		if info.Hello.Instance == other.name {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(patience), wait.Gap(2*time.Millisecond)), must.Sprint(what))
}

func TestOneLinkPerPairCarriesMessages(t *testing.T) {
	a, b := startNode(t, "a", fast), startNode(t, "b", fast)
	must.Eq(t, fault.Unavailable, fault.CodeOf(a.Send(t.Context(), "b", port.PeerMessage{})))
	a.SetPeers([]Target{a.target(), b.target()})
	b.SetPeers([]Target{a.target(), b.target()})
	eventually(t, "link", func() bool { return a.sees(b) && b.sees(a) })

	a.Broadcast(port.PeerMessage{Load: &port.PeerLoad{ConfigNumber: 7, Leaving: []string{"s1"}}})
	event := next(t, b)
	must.Eq(t, []string{"s1"}, event.Message.Load.Leaving)
	must.Eq(t, "a", event.From.Instance)
	must.NoError(t, b.Send(t.Context(), "a", port.PeerMessage{ConfigRequest: &port.PeerConfigRequest{After: 3}}))
	must.Eq(t, 3, next(t, a).Message.ConfigRequest.After)
	large := &port.PeerConfig{Number: 4}
	large.Workspaces = append(large.Workspaces, workspaceOf(2*maxHintBytes))
	must.NoError(t, a.Send(t.Context(), "b", port.PeerMessage{Config: large}))
	must.Eq(t, large, next(t, b).Message.Config)
	must.Eq(t, 1, a.Stats().Links)
	must.Eq(t, 1, b.Stats().Links)
}

func TestHigherInstanceDialsWhenItAloneKnows(t *testing.T) {
	a, b := startNode(t, "a", fast), startNode(t, "b", fast)
	b.SetPeers([]Target{a.target()})
	eventually(t, "link", func() bool { return a.sees(b) && b.sees(a) })
}

func next(t *testing.T, n *node) port.PeerEvent {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	event, err := n.Events().Pop(ctx)
	must.NoError(t, err)
	return event
}

// relay forwards TCP connections. A muted one stays open and carries nothing,
// while new ones work.
type relay struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	muted    []chan struct{}
	conns    []net.Conn
	work     sync.WaitGroup
}

func startRelay(t *testing.T, to string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{listener: listener, to: to}
	r.work.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		for _, conn := range r.conns {
			_ = conn.Close()
		}
		r.mu.Unlock()
		r.work.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		mute := make(chan struct{})
		r.mu.Lock()
		r.muted = append(r.muted, mute)
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		r.work.Go(func() { forward(out, in, mute) })
		r.work.Go(func() { forward(in, out, mute) })
	}
}

func forward(to, from net.Conn, mute chan struct{}) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-mute:
		default:
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}

func (r *relay) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mute := range r.muted {
		close(mute)
	}
	r.muted = nil
}

// TestSilentConnectionIsReplaced is seen to fail with a read that has no
// deadline.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := startNode(t, "a", fast), startNode(t, "b", fast)
	r := startRelay(t, b.address)
	a.SetPeers([]Target{{Instance: "b", Address: r.listener.Addr().String()}})
	eventually(t, "link", func() bool { return a.sees(b) && b.sees(a) })
	for i := range int64(3) {
		r.mute()
		eventually(t, "drop", func() bool { return a.Stats().LinksDropped > i && b.Stats().LinksDropped > i })
		eventually(t, "replacement", func() bool { return a.sees(b) && b.sees(a) })
	}
}

// TestHostilePeerEndsOnlyItsOwnLink is seen to fail without the read limit, the
// version check and the check of the message's kind, each in its own case.
func TestHostilePeerEndsOnlyItsOwnLink(t *testing.T) {
	n, good := startNode(t, "n", fast), startNode(t, "good", fast)
	hi := mustEncode(t, hello{Version: protocolVersion, Hello: port.PeerHello{Instance: "x", Incarnation: "x-1"}})
	newer := mustEncode(t, hello{Version: protocolVersion + 1, Hello: port.PeerHello{Instance: "x", Incarnation: "x-1"}})
	self := mustEncode(t, hello{Version: protocolVersion, Hello: port.PeerHello{Instance: "n", Incarnation: "n-2"}})
	for _, c := range []struct {
		name     string
		messages [][]byte
		kind     websocket.MessageType
		code     websocket.StatusCode
	}{
		{"garbage first", [][]byte{[]byte("garbage")}, websocket.MessageBinary, closeInvalid},
		{"another version", [][]byte{newer}, websocket.MessageBinary, closeVersion},
		{"itself", [][]byte{self}, websocket.MessageBinary, closeDuplicate},
		{"large hello", [][]byte{make([]byte, maxHelloBytes+1)}, websocket.MessageBinary, websocket.StatusMessageTooBig},
		{"text", [][]byte{hi}, websocket.MessageText, closeInvalid},
		{"garbage later", [][]byte{hi, []byte("garbage")}, websocket.MessageBinary, closeInvalid},
		{"empty message", [][]byte{hi, mustEncode(t, port.PeerMessage{})}, websocket.MessageBinary, closeInvalid},
		{"large hint", [][]byte{hi, make([]byte, maxHintBytes+1)}, websocket.MessageBinary, websocket.StatusMessageTooBig},
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
	eventually(t, "link after hostile ones", func() bool { return n.sees(good) && good.sees(n) })
	must.SliceEmpty(t, n.Events().Drain(nil, 1))
}

// TestHalfMessageIsNotWaitedFor sends a frame's header and part of its body.
func TestHalfMessageIsNotWaitedFor(t *testing.T) {
	n := startNode(t, "n", fast)
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
