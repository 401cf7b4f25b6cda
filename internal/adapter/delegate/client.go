package delegate

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/delegation"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// dialTimeout bounds the opening of a link.
	dialTimeout = 500 * time.Millisecond
	// firstLinkWait is how long calls wait at first for a link to be opened, so that
	// a takeover doesn't begin with a direct call to every worker.
	firstLinkWait = 150 * time.Millisecond
	// The delay between attempts to open a link grows between these two.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// chooseInterval is how often the delegates are chosen anew.
	chooseInterval = time.Second
	// callQueueSize is the capacity of a link's queue of calls.
	callQueueSize = 4096
	// callBatchDelay is how long calls wait for others of a link.
	callBatchDelay = 2 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// Direct calls workers without a delegate.
	Direct port.WorkerClient
	// HTTPClient opens the links.
	HTTPClient *http.Client
	// Now is a monotonic clock that includes time spent suspended.
	Now func() time.Duration
	// Instances returns the instances that may be delegates.
	Instances func() []delegation.Instance
	// Cores is the number of cores of this instance.
	Cores float64
	Log   *zap.Logger
}

// Client is a WorkerClient that calls workers through delegates while it runs and
// the pool is large, and directly otherwise. It is safe for concurrent use.
type Client struct {
	cfg    Config
	routes atomic.Pointer[routes]
	// opened is closed once the first links are open or firstLinkWait has passed. It
	// is nil while calls don't wait.
	opened atomic.Pointer[chan struct{}]

	mu    sync.Mutex // guards links
	links map[string]*link
}

// routes are the open links and their instances, by the same index.
type routes struct {
	instances []delegation.Instance
	links     []*link
}

// NewClient returns a client that calls directly until Begin.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg, links: map[string]*link{}}
	c.routes.Store(&routes{})
	return c
}

// Begin starts to choose delegates for a pool and to open links to them, until ctx
// ends. workers returns the pool's current number of workers. The returned function
// waits until all links are closed.
func (c *Client) Begin(ctx context.Context, workers func() int) (wait func()) {
	var group sync.WaitGroup
	if c.choose(ctx, &group, workers()) > 0 {
		opened := make(chan struct{})
		c.opened.Store(&opened)
		group.Go(func() {
			c.awaitFirstLinks(ctx)
			close(opened)
			c.opened.Store(nil)
		})
	}
	group.Go(func() {
		ticker := time.NewTicker(chooseInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.choose(ctx, &group, workers())
			case <-ctx.Done():
				c.choose(ctx, &group, 0)
				return
			}
		}
	})
	return group.Wait
}

// choose opens links to the delegates that aren't linked and closes those to
// instances that no longer are. It returns the number of delegates.
func (c *Client) choose(ctx context.Context, group *sync.WaitGroup, workers int) int {
	var chosen []delegation.Instance
	if ctx.Err() == nil && delegation.Needed(workers, c.cfg.Cores) {
		chosen = delegation.Choose(c.cfg.Instances(), workers)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, l := range c.links {
		if !slices.Contains(chosen, l.instance) {
			l.cancel()
			delete(c.links, name)
		}
	}
	for _, in := range chosen {
		if c.links[in.Name] != nil {
			continue
		}
		l := &link{client: c, instance: in, pending: map[uint64]chan reply{}}
		var linkCtx context.Context
		linkCtx, l.cancel = context.WithCancel(ctx)
		c.links[in.Name] = l
		group.Go(func() { l.run(linkCtx) })
	}
	return len(chosen)
}

// awaitFirstLinks waits until all links are open, at most for firstLinkWait.
func (c *Client) awaitFirstLinks(ctx context.Context) {
	deadline := time.Now().Add(firstLinkWait)
	for time.Now().Before(deadline) && wait.For(ctx, firstLinkWait/10) == nil {
		c.mu.Lock()
		chosen := len(c.links)
		c.mu.Unlock()
		if len(c.routes.Load().links) >= chosen {
			return
		}
	}
}

// setOpen adds or removes a link's route.
func (c *Client) setOpen(l *link, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.routes.Load()
	next := &routes{}
	for i := range old.links {
		if old.links[i] != l {
			next.links, next.instances = append(next.links, old.links[i]), append(next.instances, old.instances[i])
		}
	}
	if open {
		next.links, next.instances = append(next.links, l), append(next.instances, l.instance)
	}
	c.routes.Store(next)
}

// route returns the open link for a worker, nil for a direct call.
func (c *Client) route(ctx context.Context, target port.WorkerTarget) *link {
	if opened := c.opened.Load(); opened != nil {
		select {
		case <-*opened:
		case <-ctx.Done():
		}
	}
	r := c.routes.Load()
	if i := delegation.Route(target.ID, target.Domain, r.instances); i >= 0 {
		return r.links[i]
	}
	return nil
}

// Start implements port.WorkerClient.
func (c *Client) Start(ctx context.Context, target port.WorkerTarget, order port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	l := c.route(ctx, target)
	if l == nil {
		return c.cfg.Direct.Start(ctx, target, order)
	}
	r, err := l.call(ctx, call{Target: target, Start: &order})
	return r.Clock, r.Rejected, err
}

// Stop implements port.WorkerClient.
func (c *Client) Stop(ctx context.Context, target port.WorkerTarget, task work.TaskID, run, fencingToken int64) (port.WorkerClock, error) {
	l := c.route(ctx, target)
	if l == nil {
		return c.cfg.Direct.Stop(ctx, target, task, run, fencingToken)
	}
	r, err := l.call(ctx, call{Target: target, Stop: &stopOrder{Task: task, Run: run, FencingToken: fencingToken}})
	return r.Clock, err
}

// Hold implements port.WorkerClient.
func (c *Client) Hold(ctx context.Context, target port.WorkerTarget, req port.HoldRequest) (port.HoldReply, error) {
	l := c.route(ctx, target)
	if l == nil {
		return c.cfg.Direct.Hold(ctx, target, req)
	}
	r, err := l.call(ctx, call{Target: target, Hold: &req})
	return r.hold(), err
}

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
	c := newConn(ws, "calls to "+l.instance.Name, callQueueSize, callBatchDelay, l.client.cfg.Now, l.fill)
	c.greets = true
	greeted := false
	err := c.run(ctx, func(f *frame) {
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

var _ port.WorkerClient = (*Client)(nil)
