// Package replica keeps a copy of the jobs, the owners and the instances that
// the store holds, by its change feed, and tells subscribers what changed.
package replica

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/follow"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// feedWait bounds a silent store's effect on the copy's age.
	feedWait = time.Second
	// ownerSpacing bounds the wake-ups while many jobs change, where an owner
	// waits for them; followerSpacing does so where only callers' questions are
	// answered, as each of the store's calls has its price.
	ownerSpacing    = 60 * time.Millisecond
	followerSpacing = 200 * time.Millisecond
	scanTimeout     = 5 * time.Second
	// scansAtOnce keeps a copy's first reading short on a slow store.
	scansAtOnce = 8
)

// Replica is the copy. It is safe for concurrent use.
type Replica struct {
	store port.RowStore
	log   *zap.Logger
	now   func() time.Duration

	mu    sync.Mutex
	pools map[string]*PoolView
	jobs  map[string]*JobView
	// cancelled outlives the order of rows: reading anew finds a cancellation
	// before its job.
	cancelled map[string]bool
	nodes     map[string]Node
	subs      map[*Subscription]struct{}
	// missing holds the parts that couldn't be read yet.
	missing  []string
	ready    bool
	version  int64         // of the store, up to which changes are in
	advanced chan struct{} // closed when version grows
	seenAt   time.Duration
	// failedAt is when the store was last found not to answer. A new copy
	// begins with its creation, as it can't tell what was before.
	failedAt time.Duration
}

// New returns an empty copy.
func New(store port.RowStore, log *zap.Logger, now func() time.Duration) *Replica {
	r := &Replica{store: store, log: log, now: now, subs: map[*Subscription]struct{}{}, failedAt: now(), advanced: make(chan struct{})}
	r.reset()
	return r
}

func (r *Replica) reset() {
	r.pools, r.jobs = map[string]*PoolView{}, map[string]*JobView{}
	r.cancelled, r.nodes = map[string]bool{}, map[string]Node{}
}

// Run follows the store until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	follow.Run(ctx, r.log, follow.Source{
		Name: "jobs", Spacing: r.spacing,
		List:  func(ctx context.Context) (int64, error) { return r.marked(r.list(ctx)) },
		Watch: func(ctx context.Context, after int64) (int64, error) { return r.marked(r.watch(ctx, after)) },
	})
}

func (r *Replica) spacing() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.subs) > 0 {
		return ownerSpacing
	}
	return followerSpacing
}

// marked notes the time of a failure.
func (r *Replica) marked(version int64, err error) (int64, error) {
	if err != nil {
		r.mu.Lock()
		r.failedAt = r.now()
		r.mu.Unlock()
	}
	return version, err
}

func (r *Replica) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	// The feed goes on from before the parts were listed: a part that is new
	// since then is not read here.
	_, after, err := r.store.Scan(ctx, Table, "", "", "")
	if err != nil {
		return 0, err
	}
	parts, err := r.store.Parts(ctx, Table)
	if err != nil {
		return 0, err
	}
	rows, missing := r.scanParts(ctx, append(parts, ""))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.apply(rows)
	r.missing = missing
	r.ready = true
	r.advance(after)
	return after, nil
}

// patience is how long the feed may wait for a change. After a failure it is
// asked for a plain answer, which tells at once that the store is back.
func (r *Replica) patience() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedAt > r.seenAt {
		return 0
	}
	return feedWait
}

// scanParts reads parts side by side. missing are those that can't be read.
func (r *Replica) scanParts(ctx context.Context, parts []string) (rows []port.VersionedRow, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout/2)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(scansAtOnce)
	for _, part := range parts {
		group.Go(func() error {
			list, _, err := r.store.Scan(ctx, Table, part, "", "")
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, list...)
			if err != nil {
				missing = append(missing, part)
				r.log.Warn("part not read", zap.String("part", part), zap.Error(err))
			}
			return nil
		})
	}
	_ = group.Wait() // failures are in missing
	return rows, missing
}

// readMissing tries again to read the parts that were away.
func (r *Replica) readMissing(ctx context.Context) {
	r.mu.Lock()
	parts := r.missing
	r.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	rows, missing := r.scanParts(ctx, parts)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(rows)
	r.missing = missing
	if len(missing) < len(parts) {
		r.log.Info("missing parts read", zap.Int("read", len(parts)-len(missing)), zap.Strings("missing", missing))
	}
}

// Uncertain reports whether a row of the job may lie in a part that couldn't be
// read yet.
func (r *Replica) Uncertain(pool, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 {
		return false
	}
	for _, part := range jobPlaces(pool, id) {
		if slices.Contains(r.missing, part) {
			return true
		}
	}
	return false
}

// Complete reports whether every part could be read.
func (r *Replica) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.missing) == 0
}

func (r *Replica) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+scanTimeout/2)
	defer cancel()
	r.readMissing(ctx)
	rows, next, err := r.store.Feed(ctx, Table, after, r.patience())
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(rows)
	r.advance(next)
	return next, nil
}

func (r *Replica) advance(version int64) {
	r.seenAt = r.now()
	if version > r.version {
		r.version = version
		close(r.advanced)
		r.advanced = make(chan struct{})
	}
}

// Await waits until the copy holds all changes up to version. It fails with
// fault.Timeout when ctx ends first.
func (r *Replica) Await(ctx context.Context, version int64) error {
	for {
		r.mu.Lock()
		reached, advanced := r.version >= version, r.advanced
		r.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, "the copy is behind", ctx.Err())
		}
	}
}

// Ready reports whether the copy was read once.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// QuietFor returns how long the store has answered without a failure.
func (r *Replica) QuietFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() - r.failedAt
}

// Age returns the time since the store was last heard.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() - r.seenAt
}

// Job finds a job by its ID in any pool.
func (r *Replica) Job(id string) (JobView, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j != nil {
		return *j, true
	}
	return JobView{}, false
}

// Jobs returns a pool's jobs.
func (r *Replica) Jobs(pool string) []JobView {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []JobView
	for _, j := range r.jobs {
		if j.Record.Job.Pool == pool {
			out = append(out, *j)
		}
	}
	slices.SortFunc(out, func(a, b JobView) int { return strings.Compare(a.Record.Job.ID, b.Record.Job.ID) })
	return out
}

// Waiting counts a queue's jobs of which no task has started.
func (r *Replica) Waiting(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if j.Record.Job.Queue == queue && j.Record.State == work.Queued && !j.Cancelled {
			n++
		}
	}
	return n
}

// Pool returns what is known of a pool's ownership.
func (r *Replica) Pool(name string) PoolView {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[name]; p != nil {
		return *p
	}
	return PoolView{}
}

// Nodes returns the other instances.
func (r *Replica) Nodes(self string) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Node
	for _, n := range r.nodes {
		if n.Name != self {
			out = append(out, n)
		}
	}
	return out
}

// Register stores this instance's address for its peers.
func (r *Replica) Register(ctx context.Context, n Node) error {
	value, err := work.Encode(n)
	if err != nil {
		return err
	}
	key := port.RowKey{Table: Table, Key: nodePrefix + n.Name}
	_, err = r.store.Commit(ctx, port.RowTxn{Puts: map[port.RowKey][]byte{key: value}})
	return err
}
