package delegate

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/delegation"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// workerCount makes an owner with one core use delegates.
const workerCount = 300

var target = port.WorkerTarget{ID: "w", Address: "10.0.0.1:1", Domain: "east"}

// countingWorkers counts the calls that one instance makes.
type countingWorkers struct {
	port.WorkerClient
	calls atomic.Int64
	panic atomic.Bool
}

func (c *countingWorkers) Hold(ctx context.Context, t port.WorkerTarget, req port.HoldRequest) (port.HoldReply, error) {
	c.calls.Add(1)
	if c.panic.Load() {
		panic("unexpected state")
	}
	return c.WorkerClient.Hold(ctx, t, req)
}

// clock is a clock that a test may set forward.
type clock struct {
	began time.Time
	ahead atomic.Int64
}

func newClock() *clock { return &clock{began: time.Now()} }

func (c *clock) now() time.Duration { return time.Since(c.began) + time.Duration(c.ahead.Load()) }

// env is an owner's client with some delegates.
type env struct {
	t         *testing.T
	network   *network
	pool      *fake.Pool
	direct    *countingWorkers
	client    *Client
	clock     *clock
	delegates []*testDelegate
	instances []delegation.Instance
}

type testDelegate struct {
	workers *countingWorkers
	clock   *clock
	server  *httptest.Server
}

func newEnv(t *testing.T, delegates int) *env {
	e := &env{t: t, network: newNetwork(), pool: fake.NewPool(), clock: newClock()}
	e.pool.Add(work.Worker{ID: target.ID, Address: target.Address, Pool: "p", Capacity: work.Resources{CPU: 8000}})
	e.direct = &countingWorkers{WorkerClient: e.pool}
	for i := range delegates {
		d := &testDelegate{workers: &countingWorkers{WorkerClient: e.pool}, clock: newClock()}
		mux := http.NewServeMux()
		mux.Handle(Path, NewServer(d.workers, d.clock.now, zap.NewNop(), ingress.New(ingress.Derive(64<<20), zap.NewNop(), func(ingress.Reason) {})))
		d.server = e.serve(mux)
		e.delegates = append(e.delegates, d)
		e.instances = append(e.instances, delegation.Instance{
			Name: fmt.Sprintf("d%d", i), Domain: target.Domain, Address: strings.TrimPrefix(d.server.URL, "http://"), Cores: 1,
		})
	}
	e.begin()
	return e
}

// serve starts a server in the environment's network.
func (e *env) serve(h http.Handler) *httptest.Server {
	server := &httptest.Server{Listener: e.network.listen(), Config: &http.Server{Handler: h}}
	server.Start()
	return server
}

func (e *env) begin() {
	transport := &http.Transport{DialContext: e.network.dial}
	e.client = NewClient(Config{Direct: e.direct, HTTPClient: &http.Client{Transport: transport}, Now: e.clock.now, Cores: 1, Log: zap.NewNop(),
		Instances: func() []delegation.Instance { return e.instances }})
	ctx, cancel := context.WithCancel(context.Background())
	wait := e.client.Begin(ctx, func() int { return workerCount })
	e.t.Cleanup(func() {
		cancel()
		wait()
		transport.CloseIdleConnections()
		for _, d := range e.delegates {
			d.server.CloseClientConnections()
			d.server.Close()
		}
	})
	if len(e.delegates) > 0 {
		e.awaitLinks(len(e.delegates))
	}
}

func (e *env) awaitLinks(n int) {
	e.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for len(e.client.routes.Load().links) != n {
		must.True(e.t, time.Now().Before(deadline), must.Sprintf("not %d links", n))
		time.Sleep(time.Millisecond)
	}
}

func (e *env) hold(wait time.Duration) (port.HoldReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+400*time.Millisecond)
	defer cancel()
	return e.client.Hold(ctx, target, port.HoldRequest{FencingToken: 1, Wait: wait, LeaseEnd: time.Minute})
}

func (e *env) start(token int64, id work.TaskID) (port.StartRejection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	_, rejected, err := e.client.Start(ctx, target, port.StartOrder{Task: id, Run: 1, Spec: "s", FencingToken: token, LeaseEnd: time.Minute})
	return rejected, err
}

func TestCallsAreCarriedOutByDelegate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 1)
		e.pool.SetProfile("s", fake.Profile{RunTime: 200 * time.Millisecond})
		task := work.TaskID{Job: "a", Occurrence: 2, Step: 1, Index: 7}
		rejected, err := e.start(1, task)
		must.NoError(t, err)
		must.EqOp(t, port.NotRejected, rejected)
		reply, err := e.hold(0)
		must.NoError(t, err)
		must.Len(t, 1, reply.Running)
		must.EqOp(t, task, reply.Running[0].Task)
		must.NotEqOp(t, 0, reply.Clock.Incarnation)
		reply, err = e.hold(time.Second)
		must.NoError(t, err)
		must.Len(t, 1, reply.Results)
		must.EqOp(t, port.RunResult{Sequence: 1, Task: task, Run: 1, Kind: port.ResultSucceeded}, reply.Results[0])
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = e.client.Stop(ctx, target, task, 1, 1)
		must.NoError(t, err)
		must.EqOp(t, 0, e.direct.calls.Load())
		must.EqOp(t, 2, e.delegates[0].workers.calls.Load())
	})
}

func TestRejectionsAndErrorsKeepTheirMeaning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 1)
		_, err := e.hold(0)
		must.NoError(t, err)
		_, err = e.start(5, work.TaskID{Job: "a"})
		must.NoError(t, err)
		rejected, err := e.start(4, work.TaskID{Job: "b"})
		must.NoError(t, err)
		must.EqOp(t, port.RejectedFencingToken, rejected)
		_, err = e.hold(0) // has a lower fencing token
		must.True(t, fault.Is(err, fault.Fenced))
		e.pool.SetFaults(target.Address, fake.PoolFaults{DropCalls: true})
		_, err = e.start(6, work.TaskID{Job: "c"})
		must.True(t, fault.Is(err, fault.Uncertain))
	})
}

func TestSmallPoolIsCalledDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 0)
		_, err := e.hold(0)
		must.NoError(t, err)
		must.EqOp(t, 1, e.direct.calls.Load())
	})
}

func TestCallsInFlightAreUncertainWhenDelegateIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 2)
		route := e.client.route(t.Context(), target)
		lost := 0
		if route.instance.Name == "d1" {
			lost = 1
		}
		result := make(chan error, 1)
		go func() {
			_, err := e.hold(time.Second)
			result <- err
		}()
		time.Sleep(100 * time.Millisecond)
		e.delegates[lost].server.Listener.Close()
		e.delegates[lost].server.CloseClientConnections()
		route.conn.ws.CloseNow()
		closedAt := time.Now()
		must.True(t, fault.Is(<-result, fault.Uncertain))
		must.Less(t, 500*time.Millisecond, time.Since(closedAt))
		e.awaitLinks(1)
		_, err := e.hold(0)
		must.NoError(t, err)
		must.EqOp(t, 1, e.delegates[1-lost].workers.calls.Load())
	})
}

// A listener that accepts connections and says nothing, like a suspended process.
func TestSilentDelegateGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 0)
		silent := e.network.listen()
		go func() {
			for conn, err := silent.Accept(); err == nil; conn, err = silent.Accept() {
				t.Cleanup(func() { must.Close(t, conn) })
			}
		}()
		defer silent.Close()
		e.instances = []delegation.Instance{{Name: "silent", Domain: target.Domain, Address: silent.Addr().String(), Cores: 1}}
		e.begin()
		began := time.Now()
		_, err := e.hold(0)
		must.NoError(t, err)
		must.Less(t, 2*firstLinkWait, time.Since(began))
		must.EqOp(t, 1, e.direct.calls.Load())
	})
}

// scriptedDelegate accepts links, sends the given frames and then says nothing.
func (e *env) scriptedDelegate(frames ...frame) {
	server := e.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return // the client has given up
		}
		defer ws.CloseNow()
		for i := range frames {
			data, err := encodeFrame(&frames[i])
			must.NoError(e.t, err)
			if ws.Write(r.Context(), websocket.MessageBinary, data) != nil {
				return // the client has closed the link
			}
		}
		for {
			if _, _, err := ws.Read(r.Context()); err != nil {
				return
			}
		}
	}))
	e.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	e.instances = []delegation.Instance{{Name: "scripted", Domain: target.Domain, Address: strings.TrimPrefix(server.URL, "http://"), Cores: 1}}
}

// A delegate that falls silent on an open link is dropped before its workers count
// as unreachable, and the calls that it holds fail with the link.
func TestLinkThatFallsSilentIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 0)
		e.scriptedDelegate(frame{Replies: []reply{{ID: greetingID}}})
		e.begin()
		e.awaitLinks(1)
		began := time.Now()
		_, err := e.hold(2 * time.Second)
		must.True(t, fault.Is(err, fault.Uncertain))
		must.Less(t, 900*time.Millisecond, time.Since(began))
		must.EqOp(t, 0, e.direct.calls.Load())
	})
}

// A delegate that sends heartbeats may not have read anything yet.
func TestDelegateThatHasNotAnsweredTheFirstFrameGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 0)
		e.scriptedDelegate(frame{}, frame{}, frame{})
		e.begin()
		_, err := e.hold(0)
		must.NoError(t, err)
		must.EqOp(t, 1, e.direct.calls.Load())
	})
}

// The delegate was suspended between the arrival of a call and its execution, by
// its clock.
func TestDelayedCallIsNotCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 1)
		_, err := e.hold(0)
		must.NoError(t, err)
		e.delegates[0].clock.ahead.Store(int64(3 * time.Second))
		rejected, err := e.start(1, work.TaskID{Job: "a"})
		must.True(t, fault.Is(err, fault.Unavailable), must.Sprint(rejected, err))
		must.False(t, e.pool.HasStarted("a"))
	})
}

// The owner was suspended while a call waited to be written.
func TestCallThatWaitedTooLongIsNotSent(t *testing.T) {
	l := &link{}
	var f frame
	f.SentAt = 10 * time.Second
	l.fill(&f, []call{{ID: 1, Timeout: 450 * time.Millisecond, queuedAt: 7 * time.Second}, {ID: 2, Timeout: 450 * time.Millisecond, queuedAt: 9900 * time.Millisecond}})
	must.Len(t, 1, f.Calls)
	must.EqOp(t, 2, f.Calls[0].ID)
}

func TestPanicFailsOnlyItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 1)
		e.delegates[0].workers.panic.Store(true)
		_, err := e.hold(0)
		must.True(t, fault.Is(err, fault.Uncertain))
		e.delegates[0].workers.panic.Store(false)
		_, err = e.hold(0)
		must.NoError(t, err)
		must.EqOp(t, 0, e.direct.calls.Load())
	})
}

func TestMalformedFrameClosesOnlyItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, 1)
		url := "ws://" + e.instances[0].Address + Path
		transport := &http.Transport{DialContext: e.network.dial}
		ws, _, err := websocket.Dial(t.Context(), url, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
		must.NoError(t, err)
		must.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, []byte("\xff\x00 no frame")))
		_, _, err = ws.Read(t.Context())
		must.Error(t, err)
		_ = ws.CloseNow()
		transport.CloseIdleConnections()
		_, err = e.hold(0)
		must.NoError(t, err)
		must.EqOp(t, 0, e.direct.calls.Load())
	})
}

func TestFrameNeedsOneOrderPerCall(t *testing.T) {
	for name, c := range map[string]call{
		"none": {ID: 1, Timeout: 1}, "two": {ID: 1, Timeout: 1, Hold: &port.HoldRequest{}, Stop: &stopOrder{}}, "no timeout": {ID: 1, Hold: &port.HoldRequest{}},
	} {
		data, err := encodeFrame(&frame{Calls: []call{c}})
		must.NoError(t, err)
		_, err = decodeFrame(data)
		must.True(t, fault.Is(err, fault.Invalid), must.Sprint(name))
	}
}

func FuzzDecodeFrame(f *testing.F) {
	data, err := encodeFrame(&frame{SentAt: 1, Calls: []call{{ID: 1, Target: target, Timeout: 1, Hold: &port.HoldRequest{}}}, Replies: []reply{{ID: 1, Results: []runResult{{Job: "a"}}}}})
	must.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x84})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := decodeFrame(data)
		if err != nil {
			must.True(t, fault.Is(err, fault.Invalid))
			return
		}
		_, err = encodeFrame(frame)
		must.NoError(t, err)
	})
}

// Without the mark, the owner takes runs that the reply lacks for lost.
func TestReplyTellsThatItIsIncomplete(t *testing.T) {
	for _, incomplete := range []bool{false, true} {
		var r reply
		r.setHold(port.HoldReply{Incomplete: incomplete})
		data, err := encodeFrame(&frame{Replies: []reply{r}})
		must.NoError(t, err)
		f, err := decodeFrame(data)
		must.NoError(t, err)
		must.EqOp(t, incomplete, f.Replies[0].hold().Incomplete)
	}
}
