package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// waitTimeout bounds every wait, so that a hung test ends.
const waitTimeout = 30 * time.Second

// site is a gate with a server that receives bodies of up to maxBody bytes.
type site struct {
	*Gate
	t       *testing.T
	address string
	accepts *Listener
	mu      sync.Mutex
	refused map[Reason]int
	// deadline bounds the receiving of a body.
	deadline time.Duration
}

const maxBody = 1 << 20

func newSite(t *testing.T, limits Limits, maxConns int) *site {
	s := &site{t: t, refused: map[Reason]int{}, deadline: waitTimeout}
	s.Gate = New(limits, zap.NewNop(), func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused[r]++
	})
	l, err := s.Listen(t.Context(), "127.0.0.1:0", maxConns)
	must.NoError(t, err)
	s.address, s.accepts = l.Addr().String(), l
	server := s.Server(http.HandlerFunc(s.serve), waitTimeout)
	go func() { _ = server.Serve(l) }() // returns ErrServerClosed
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/read" {
		http.NotFound(w, r)
		return
	}
	status := http.StatusOK
	b, err := s.Receive(w, r, maxBody, time.Now().Add(s.deadline))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case fault.Is(err, fault.Unavailable):
		status = http.StatusServiceUnavailable
	case err != nil:
		status = http.StatusBadRequest
	default:
		defer b.Close()
		text, err := b.Text(r.Context(), 1)
		if err != nil || strings.Trim(string(text), "x") != "" {
			status = http.StatusInternalServerError
		}
		fmt.Fprintf(w, "%d", len(text))
		return
	}
	w.WriteHeader(status)
}

// dial opens a connection and sends text.
func (s *site) dial(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	must.NoError(s.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(c, text)
	must.NoError(s.t, err)
	return c, bufio.NewReader(c)
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

func (s *site) response(r *bufio.Reader) (int, string) {
	s.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	must.NoError(s.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(s.t, err)
	return resp.StatusCode, string(body)
}

func (s *site) eventually(condition string, holds func() bool) {
	s.t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			s.t.Fatal("no " + condition)
		}
	}
}

func TestBodiesOfAllSizesAreServedOnOneConnection(t *testing.T) {
	s := newSite(t, Derive(64<<20), 10)
	c, r := s.dial("")
	for _, n := range []int{0, 1, firstBlockBytes, firstBlockBytes + 1, firstBlockBytes + blockBytes, firstBlockBytes + 2*blockBytes + 7, maxBody} {
		go func() { _, _ = io.WriteString(c, post("/read", n, strings.Repeat("x", n))) }()
		status, body := s.response(r)
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, fmt.Sprint(n), body)
	}
	s.eventually("return of all bytes", func() bool { return s.Stats().BytesHeld == 0 })
	must.EqOp(t, 1, s.Stats().Connections)
	must.MapEmpty(t, s.refused)
}

// The response of a call that is refused must not wait for its body.
func TestUnreadBodyIsNotDrained(t *testing.T) {
	s := newSite(t, Derive(64<<20), 10)
	for path, want := range map[string]int{"/none": http.StatusNotFound, "/read": http.StatusRequestEntityTooLarge} {
		_, r := s.dial(post(path, 2*maxBody, "xxx"))
		status, _ := s.response(r)
		must.EqOp(t, want, status)
		_, err := r.ReadByte()
		must.Error(t, err, must.Sprint("the connection is closed"))
	}
	s.eventually("closed connections", func() bool { return s.Stats().Connections == 0 })
}

// Guards against a refusal that the caller doesn't see: a connection that is closed while
// bytes of the body are unread is reset, and the caller's write fails before it reads the
// response.
func TestRefusalOfUnreadBodyIsNotFollowedByReset(t *testing.T) {
	s := newSite(t, Derive(64<<20), 10)
	body := strings.Repeat("x", 100<<10)
	for name, request := range map[string]string{
		"known length": post("/none", len(body)+1, body),
		"chunked":      fmt.Sprintf("POST /none HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body)+1, body),
	} {
		t.Run(name, func(t *testing.T) {
			_, r := s.dial(request)
			status, _ := s.response(r)
			must.EqOp(t, http.StatusNotFound, status)
			_, err := r.ReadByte()
			must.ErrorIs(t, err, io.EOF)
		})
	}
	s.eventually("closed connections", func() bool { return s.Stats().Connections == 0 })
}

func TestTooLargeChunkedBodyIsRefused(t *testing.T) {
	s := newSite(t, Derive(64<<20), 10)
	c, r := s.dial("POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	go func() {
		for range maxBody>>10 + 1 {
			if _, err := fmt.Fprintf(c, "400\r\n%s\r\n", strings.Repeat("x", 1<<10)); err != nil {
				return
			}
		}
	}()
	status, _ := s.response(r)
	must.EqOp(t, http.StatusRequestEntityTooLarge, status)
}

func TestBodyThatIsNotCompleteByItsDeadlineIsRefused(t *testing.T) {
	s := newSite(t, Derive(64<<20), 10)
	s.deadline = 50 * time.Millisecond
	_, r := s.dial(post("/read", 10, "xxxxxxxxx"))
	status, _ := s.response(r)
	must.EqOp(t, http.StatusServiceUnavailable, status)
	must.EqOp(t, 1, s.refused[ReasonStalled])
	s.eventually("return of all bytes", func() bool { return s.Stats().BytesHeld == 0 })
}

// An ordinary body gets the bytes of one that stalls just before its end, whose caller
// learns that the call wasn't carried out.
func TestStalledBodyIsAbortedForAnotherOne(t *testing.T) {
	s := newSite(t, Limits{ReceivingBytes: maxBody, ProcessingBytes: 4 * maxBody, Conns: 10}, 10)
	const large = maxBody / 2
	_, stalled := s.dial(post("/read", large, strings.Repeat("x", large-1)))
	s.eventually("stalled body", func() bool { return s.Stats().BytesHeld >= large-blockBytes })
	_, r := s.dial(post("/read", large, strings.Repeat("x", large)))
	status, _ := s.response(r)
	must.EqOp(t, http.StatusOK, status)
	status, _ = s.response(stalled)
	must.EqOp(t, http.StatusServiceUnavailable, status)
	must.EqOp(t, 1, s.refused[ReasonBudget])
}

func TestConnectionsAreLimitedAndIdleOnesClosedForNewOnes(t *testing.T) {
	const limit = 4
	s := newSite(t, Derive(64<<20), limit)
	for range 5 * limit {
		_, r := s.dial(post("/read", 1, "x"))
		status, _ := s.response(r)
		must.EqOp(t, http.StatusOK, status)
	}
	must.LessEq(t, limit, s.Stats().Connections)
	must.GreaterEq(t, 4*limit, s.refused[ReasonConnections])
}

// The HTTP server keeps a connection for 500 ms after a request that it didn't read
// whole. Clients that reconnect at once must not make it keep ever more of them.
func TestEvictedConnectionsAreLimited(t *testing.T) {
	const limit = 4
	s := newSite(t, Derive(64<<20), limit)
	for range 5 * limit {
		_, r := s.dial(post("/none", 2*maxBody, "xxx"))
		status, _ := s.response(r)
		must.EqOp(t, http.StatusNotFound, status)
		s.accepts.mu.Lock()
		evicted := s.accepts.evicted
		s.accepts.mu.Unlock()
		must.LessEq(t, limit, evicted)
	}
	s.eventually("closed connections", func() bool {
		s.accepts.mu.Lock()
		defer s.accepts.mu.Unlock()
		return s.accepts.evicted == 0
	})
}

// Guards against connections that the HTTP server has given up already, and that only linger,
// which keep new callers waiting: Accept waits while too many evicted ones are held.
func TestEvictedLingeringConnectionsDoNotCount(t *testing.T) {
	s := newSite(t, Derive(64<<20), 1)
	l := s.newListener(nil, 1)
	lingering := &Conn{listener: l, state: connClosing}
	_, ok := l.admit(lingering)
	must.True(t, ok)
	lingering.release()
	victim, ok := l.admit(&Conn{listener: l})
	must.True(t, ok)
	must.EqOp(t, lingering, victim)
	must.EqOp(t, 0, l.evicted)
}

// A new connection waits until the process has handled what the others sent, instead of
// displacing one whose request may have arrived.
func TestConnectionsAreNotClosedBeforeTheirInputIsHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Derive(64<<20), zap.NewNop(), func(Reason) {}).newListener(nil, 2)
		connect := func() *Conn {
			client, server := net.Pipe()
			t.Cleanup(func() { client.Close() })
			return l.newConn(server)
		}
		first, second := connect(), connect()
		for _, c := range []*Conn{first, second} {
			_, ok := l.admit(c)
			must.True(t, ok)
		}
		var victim *Conn
		admitted := make(chan struct{})
		go func() {
			defer close(admitted)
			victim, _ = l.admit(connect())
		}()
		synctest.Wait()
		select {
		case <-admitted:
			t.Fatal("a connection was closed before its input was handled")
		default:
		}
		go func() { _, _ = second.Read(make([]byte, 1)) }() // fails at the end of the test
		<-admitted
		must.EqOp(t, second, victim, must.Sprint("the one that waits for its client"))
	})
}

func TestTooManyHeaderLinesAreRefused(t *testing.T) {
	s := newSite(t, Derive(64<<20), 10)
	_, r := s.dial("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n" + strings.Repeat("a: b\r\n", maxHeaderLines) + "\r\n")
	status, _ := s.response(r)
	must.EqOp(t, http.StatusRequestHeaderFieldsTooLarge, status)
}

// A body whose decoding is expected to take more than all memory is processed alone.
func TestProcessingWaitsForMemory(t *testing.T) {
	s := newSite(t, Limits{ReceivingBytes: maxBody, ProcessingBytes: 100, Conns: 10}, 10)
	receive := func() *Body {
		b := s.open("test", func() {})
		must.NoError(t, b.receive(strings.NewReader("xxx")))
		return b
	}
	first, second := receive(), receive()
	_, err := first.Text(t.Context(), 1_000)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = second.Text(ctx, 1_000)
	must.True(t, fault.Is(err, fault.Unavailable))
	must.EqOp(t, 1, s.refused[ReasonProcessing])
	first.Close()
	text, err := second.Text(t.Context(), 1_000)
	must.NoError(t, err)
	must.EqOp(t, "xxx", string(text))
	second.Close()
}

// A body whose bytes were given to others just before its end must be refused, as its
// abort was counted and its connection can't be read any more.
func TestBodyAbortedAtItsEndIsRefused(t *testing.T) {
	s := newSite(t, Limits{ReceivingBytes: maxBody, ProcessingBytes: 400, Conns: 10}, 10)
	aborted := make(chan struct{})
	b, other := s.open("test", func() { close(aborted) }), s.open("test", func() {})
	defer other.Close()
	reserved := make(chan error, 1)
	err := b.receive(readerFunc(func([]byte) (int, error) {
		go func() { reserved <- s.reserve(other, maxBody) }()
		<-aborted
		return 0, io.EOF
	}))
	must.True(t, fault.Is(err, fault.Unavailable))
	select {
	case <-reserved:
		t.Fatal("the memory was given to another body before it was returned")
	case <-time.After(20 * time.Millisecond):
	}
	b.Close()
	must.NoError(t, <-reserved)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(into []byte) (int, error) { return f(into) }

// A store that is slow keeps decoded bodies in memory for as long as their callers wait.
// They must not hold what only decoding needs.
func TestDecodedBodyKeepsPartOfItsMemory(t *testing.T) {
	s := newSite(t, Limits{ReceivingBytes: maxBody, ProcessingBytes: 400, Conns: 10}, 10)
	var open []*Body
	for range decodedShare {
		b := s.open("test", func() {})
		must.NoError(t, b.receive(strings.NewReader("xxx")))
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		_, err := b.Text(ctx, 40)
		cancel()
		must.NoError(t, err)
		b.Decoded()
		open = append(open, b)
	}
	for _, b := range open {
		b.Close()
	}
	must.True(t, s.small.TryAcquire(s.small.size), must.Sprint("all memory is returned"))
}

// Links must not wait for callers whose bodies take all of their memory.
func TestMessagesOfLinksDoNotWaitForBodies(t *testing.T) {
	s := newSite(t, Limits{ReceivingBytes: maxBody, ProcessingBytes: 400, Conns: 10}, 10)
	must.True(t, s.small.TryAcquire(s.small.size))
	must.True(t, s.processing.TryAcquire(s.processing.size))
	got := ""
	message := Message{Remote: "peer", Reader: strings.NewReader("xxx"), Abort: func() {}, Cost: 16}
	must.NoError(t, s.Read(t.Context(), message, func(text []byte) { got = string(text) }))
	must.EqOp(t, "xxx", got)
	must.True(t, s.links.TryAcquire(s.links.size), must.Sprint("all memory is returned"))
}

// A link's message counts towards the budget of all bodies.
func TestMessageOfLinkIsAbortedForOthers(t *testing.T) {
	s := newSite(t, Limits{ReceivingBytes: maxBody, ProcessingBytes: 4 * maxBody, Conns: 10}, 10)
	r, w := io.Pipe()
	done := make(chan error)
	go func() {
		done <- s.Read(t.Context(), Message{Remote: "peer", Reader: r, Abort: func() { r.Close() }, Cost: 1}, func([]byte) {})
	}()
	_, err := io.WriteString(w, strings.Repeat("x", maxBody/2))
	must.NoError(t, err)
	_, response := s.dial(post("/read", maxBody/2, strings.Repeat("x", maxBody/2)))
	status, _ := s.response(response)
	must.EqOp(t, http.StatusOK, status)
	must.True(t, fault.Is(<-done, fault.Unavailable))
}
