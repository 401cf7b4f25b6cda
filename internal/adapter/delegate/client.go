package delegate

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/delegation"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// firstLinkWait is how long calls wait at first for a link to be opened, so that
	// a takeover doesn't begin with a direct call to every worker.
	firstLinkWait = 150 * time.Millisecond
	// chooseInterval is how often the delegates are chosen anew.
	chooseInterval = time.Second
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

var _ port.WorkerClient = (*Client)(nil)
