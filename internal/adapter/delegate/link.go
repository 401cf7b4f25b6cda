package delegate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/delegation"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	// dialTimeout bounds the opening of a link.
	dialTimeout = 500 * time.Millisecond
	// The delay between attempts to open a link grows between these two.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// callQueueSize is the capacity of a link's queue of calls.
	callQueueSize = 4096
	// callBatchDelay is how long calls wait for others of a link.
	callBatchDelay = 2 * time.Millisecond
)

// link is the owner's side of a link to a delegate.
type link struct {
	client   *Client
	instance delegation.Instance
	cancel   context.CancelFunc

	mu      sync.Mutex
	conn    *conn[call]           // nil while the link isn't open
	pending map[uint64]chan reply // calls without a reply, by ID
	nextID  uint64
}

// run keeps the link open until ctx ends.
func (l *link) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRedialDelay, maxRedialDelay
	log := l.client.cfg.Log.With(zap.String("delegate", l.instance.Name))
	for ctx.Err() == nil {
		ws, err := l.dial(ctx)
		if err == nil {
			openedAt := time.Now()
			err = l.serve(ctx, ws)
			if time.Since(openedAt) > maxRedialDelay {
				retry.Reset()
			}
		}
		if ctx.Err() != nil {
			return
		}
		log.Warn("delegate not linked", zap.Error(err))
		_ = wait.For(ctx, retry.NextBackOff()) // ends early only with ctx, which the loop checks
	}
}

func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+l.instance.Address+Path, &websocket.DialOptions{HTTPClient: l.client.cfg.HTTPClient})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close() // is empty after a handshake
	}
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "open link", err)
	}
	return ws, nil
}

// serve uses an open connection until it fails or ctx ends. All calls without a
// reply then fail as uncertain.
func (l *link) serve(ctx context.Context, ws *websocket.Conn) error {
	c := newConn(ws, "calls to "+l.instance.Name, receiveAll, callQueueSize, callBatchDelay, l.client.cfg.Now, l.fill)
	c.greets = true
	greeted := false
	err := c.run(ctx, func(_ context.Context, f *frame) {
		if !greeted && isGreeting(f) {
			greeted = true
			l.open(c)
		}
		l.handle(f)
	})
	l.client.setOpen(l, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	for id, waiting := range l.pending {
		close(waiting)
		delete(l.pending, id)
	}
	return err
}

// isGreeting reports whether a frame answers the owner's first one.
func isGreeting(f *frame) bool {
	return slices.ContainsFunc(f.Replies, func(r reply) bool { return r.ID == greetingID })
}

// open makes the link available to calls.
func (l *link) open(c *conn[call]) {
	l.client.cfg.Log.Info("delegate linked", zap.String("delegate", l.instance.Name), zap.String("address", l.instance.Address))
	l.mu.Lock()
	l.conn = c
	l.mu.Unlock()
	l.client.setOpen(l, true)
}

// fill adds the calls of a batch to a frame. It leaves out those that have waited
// for longer than their timeout, as after a suspension of this process: it may no
// longer be the owner.
func (l *link) fill(f *frame, batch []call) {
	for i := range batch {
		if f.SentAt-batch[i].queuedAt <= batch[i].Timeout {
			f.Calls = append(f.Calls, batch[i])
		}
	}
}

// handle passes the replies of a frame to their calls.
func (l *link) handle(f *frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range f.Replies {
		if waiting := l.pending[f.Replies[i].ID]; waiting != nil {
			delete(l.pending, f.Replies[i].ID)
			waiting <- f.Replies[i]
		}
	}
}

// call sends a call and waits for its reply. It fails with the delegate's error,
// with fault.Unavailable if the call wasn't sent, and with fault.Uncertain if the
// link is lost or ctx ends first.
func (l *link) call(ctx context.Context, c call) (reply, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return reply{}, fault.New(fault.Internal, "a call to a worker needs a deadline")
	}
	c.Timeout = time.Until(deadline)
	if c.Timeout <= 0 {
		return reply{}, fault.New(fault.Unavailable, "no time left for the call")
	}
	waiting := make(chan reply, 1)
	if err := l.enqueue(&c, waiting); err != nil {
		return reply{}, err
	}
	select {
	case r, ok := <-waiting:
		if !ok {
			return reply{}, fault.New(fault.Uncertain, "the link to the delegate was lost")
		}
		return r, r.err()
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, c.ID)
		l.mu.Unlock()
		return reply{}, fault.Wrap(fault.Uncertain, "no answer through the delegate", ctx.Err())
	}
}

func (l *link) enqueue(c *call, waiting chan reply) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return fault.New(fault.Unavailable, "the link to the delegate isn't open")
	}
	l.nextID++
	c.ID, c.queuedAt = l.nextID, l.client.cfg.Now()
	if err := l.conn.outgoing.Push(*c); err != nil {
		return err
	}
	l.pending[c.ID] = waiting
	return nil
}
