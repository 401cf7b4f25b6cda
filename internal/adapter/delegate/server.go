package delegate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

const (
	// maxCallsInFlight limits the calls of one link that are being carried out.
	maxCallsInFlight = 4096
	// maxLinks limits the open links. Each instance opens one per pool that it owns, and
	// there are up to 147 instances.
	maxLinks = 512
	// frameCost is the memory that decoding a frame takes, as a multiple of its size. A
	// call has at least 12 bytes and takes 200.
	frameCost = 16
	// replyBatchDelay is how long replies wait for others, which saves the owner
	// wake-ups. It delays a result by less than a tenth of an urgent task's slack.
	replyBatchDelay = 8 * time.Millisecond
	// maxCallDelay is how much longer than the quickest one a call may have been on
	// its way. One that took longer was held up by a suspended process or a cut link,
	// and the owner may have decided otherwise since.
	maxCallDelay = 500 * time.Millisecond
)

// Server carries out the calls of pool owners. It is safe for concurrent use.
type Server struct {
	workers port.WorkerClient
	now     func() time.Duration
	log     *zap.Logger
	ingress *ingress.Gate
	links   atomic.Int64 // open now
}

// NewServer returns a server that calls workers through a client. now is a monotonic
// clock that includes time spent suspended. The frames of the links count towards the
// budget of the gate.
func NewServer(workers port.WorkerClient, now func() time.Duration, log *zap.Logger, gate *ingress.Gate) *Server {
	return &Server{workers: workers, now: now, log: log, ingress: gate}
}

// ServeHTTP implements http.Handler for Path.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.links.Add(-1)
	if s.links.Add(1) > maxLinks {
		s.log.Warn("link refused, too many", zap.String("peer", r.RemoteAddr))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		s.log.Info("link rejected", zap.String("peer", r.RemoteAddr), zap.Error(err))
		return
	}
	l := &serverLink{server: s, slots: make(chan struct{}, maxCallsInFlight)}
	receive := func(ctx context.Context, m io.Reader, abort func(), decode func([]byte)) error {
		return s.ingress.Read(ctx, ingress.Message{Remote: r.RemoteAddr, Reader: m, Abort: abort, Cost: frameCost}, decode)
	}
	l.conn = newConn(ws, "replies to "+r.RemoteAddr, receive, 2*maxCallsInFlight, replyBatchDelay, s.now, func(f *frame, batch []reply) { f.Replies = batch })
	s.log.Info("link of an owner opened", zap.String("peer", r.RemoteAddr))
	err = l.conn.run(r.Context(), l.handle)
	l.calls.Wait()
	s.log.Info("link of an owner closed", zap.String("peer", r.RemoteAddr), zap.Error(err))
}

// serverLink is the link of one owner.
type serverLink struct {
	server *Server
	conn   *conn[reply]
	calls  sync.WaitGroup
	slots  chan struct{}
	// offset is the least difference seen between this instance's clock at the
	// arrival of a frame and the owner's clock at its sending.
	offset    time.Duration
	hasOffset bool
}

// handle starts the calls of a frame. Calls that have been on their way for too long
// fail without an effect.
func (l *serverLink) handle(ctx context.Context, f *frame) {
	now := l.server.now()
	difference := now - f.SentAt
	if !l.hasOffset {
		l.offset, l.hasOffset = difference, true
		l.reply(ctx, reply{ID: greetingID})
	}
	l.offset = min(l.offset, difference)
	sentAt := f.SentAt + l.offset // on this instance's clock
	for i := range f.Calls {
		c := &f.Calls[i]
		select {
		case l.slots <- struct{}{}:
		default:
			l.reply(ctx, reply{ID: c.ID, Code: fault.Overloaded, Message: "too many calls in flight"})
			continue
		}
		l.calls.Go(func() {
			defer func() { <-l.slots }()
			l.reply(ctx, l.server.carryOut(ctx, c, sentAt))
		})
	}
}

func (l *serverLink) reply(ctx context.Context, r reply) {
	_ = l.conn.outgoing.PushWait(ctx, r) // fails only with the link, and the owner's calls with it
}

// carryOut makes a call that was sent at sentAt. A panic fails only this call.
func (s *Server) carryOut(ctx context.Context, c *call, sentAt time.Duration) (out reply) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("call panicked", zap.String("worker", c.Target.ID), zap.Any("panic", p), zap.Stack("stack"))
			out = reply{ID: c.ID, Code: fault.Uncertain, Message: fmt.Sprint("the delegate failed: ", p)}
		}
	}()
	if delay := s.now() - sentAt; delay > maxCallDelay {
		s.log.Warn("call not carried out, too long on its way", zap.String("worker", c.Target.ID), zap.Duration("delay", delay))
		return reply{ID: c.ID, Code: fault.Unavailable, Message: "the call was too long on its way"}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	out.ID = c.ID
	var err error
	switch {
	case c.Start != nil:
		out.Clock, out.Rejected, err = s.workers.Start(ctx, c.Target, *c.Start)
	case c.Stop != nil:
		out.Clock, err = s.workers.Stop(ctx, c.Target, c.Stop.Task, c.Stop.Run, c.Stop.FencingToken)
	default:
		var h port.HoldReply
		h, err = s.workers.Hold(ctx, c.Target, *c.Hold)
		out.setHold(h)
	}
	if err != nil {
		out = reply{ID: c.ID, Code: fault.CodeOf(err), Message: err.Error()}
	}
	return out
}
