// Package replica maintains a local replica of the jobs, owners and instances in
// the store by watching their table, and notifies subscribers of changes.
package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/follow"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/transfer"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// watchWait bounds the wait for a change, and so the replica's age while
	// nothing changes.
	watchWait = time.Second
	// ownerMinWatchInterval is the minimum delay between two watch calls on an
	// instance that owns a pool. It bounds the wake-ups while many jobs change.
	// followerMinWatchInterval is that of other instances, which only answer queries;
	// it saves calls to the store.
	ownerMinWatchInterval    = 60 * time.Millisecond
	followerMinWatchInterval = 200 * time.Millisecond
	// scanTimeout is how long a full read of the table may receive nothing. Partitions
	// that aren't read when nothing has arrived for half of it are left for later.
	scanTimeout = 5 * time.Second
	// maxConcurrentScans bounds the partitions read at once. Concurrent reads keep
	// the initial read short on a slow store.
	maxConcurrentScans = 8
)

// Replica is a local replica of the store's rows. It is safe for concurrent use.
type Replica struct {
	store port.RowStore
	log   *zap.Logger
	now   func() time.Duration

	mu    sync.Mutex
	pools map[string]*PoolView
	jobs  map[string]*JobView
	// cancelled is kept apart from the jobs, as a full read may find a
	// cancellation before its job.
	cancelled map[string]bool
	instances map[string]Instance
	subs      map[*Subscription]struct{}
	// undecodable holds the jobs' rows that this build can't decode. Another build may
	// carry out their jobs.
	undecodable map[port.RowKey]struct{}
	// hurry ends the delay before the next watch. New subscriptions signal it, as a
	// takeover waits for the next watch.
	hurry chan struct{}
	// missingPartitions holds the partitions that couldn't be read yet.
	missingPartitions []string
	ready             bool
	version           int64 // version of the store up to which changes are applied
	moment            moment
	advanced          chan struct{} // closed when version grows
	held              heldVersions
	updatedAt         time.Duration
	// failedAt is when a full read or a watch last failed. It starts at the
	// replica's creation, as earlier failures are unknown.
	failedAt time.Duration
}

// New returns an empty replica, which Run fills. now is a monotonic clock.
func New(store port.RowStore, log *zap.Logger, now func() time.Duration) *Replica {
	r := &Replica{store: store, log: log, now: now, subs: map[*Subscription]struct{}{}, failedAt: now(), advanced: make(chan struct{}), hurry: make(chan struct{}, 1)}
	r.reset()
	return r
}

func (r *Replica) reset() {
	r.pools, r.jobs = map[string]*PoolView{}, map[string]*JobView{}
	r.cancelled, r.instances = map[string]bool{}, map[string]Instance{}
	r.undecodable = map[port.RowKey]struct{}{}
}

// Run follows the store's changes until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	follow.Run(ctx, r.log, follow.Source{
		Name: "jobs", MinWatchInterval: r.minWatchInterval, Hurry: r.hurry,
		List:  func(ctx context.Context) (int64, error) { return r.recordFailure(r.list(ctx)) },
		Watch: func(ctx context.Context, after int64) (int64, error) { return r.recordFailure(r.watch(ctx, after)) },
	})
}

// minWatchInterval returns the minimum delay between two watch calls.
func (r *Replica) minWatchInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.subs) > 0 {
		return ownerMinWatchInterval
	}
	return followerMinWatchInterval
}

// recordFailure records the time of a failure and returns its arguments.
func (r *Replica) recordFailure(version int64, err error) (int64, error) {
	if err != nil {
		r.mu.Lock()
		r.failedAt = r.now()
		r.mu.Unlock()
	}
	return version, err
}

func (r *Replica) list(ctx context.Context) (int64, error) {
	ctx, _, cancel := transfer.WithStallTimeout(ctx, scanTimeout)
	defer cancel()
	// Watching resumes after the version that the store had before the partitions
	// were listed, since a partition created after that is not read here.
	_, after, err := r.store.Scan(ctx, Table, "", "", "")
	if err != nil {
		return 0, err
	}
	partitions, err := r.store.Partitions(ctx, Table)
	if err != nil {
		return 0, err
	}
	rows, missing := r.scanPartitions(ctx, append(partitions, ""))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.apply(rows)
	r.missingPartitions = missing
	r.ready = true
	r.moment.scanned()
	r.advance(after)
	return after, nil
}

// nextWatchWait returns how long the next watch may wait for a change. After a
// failure it doesn't wait, so that recovery of the store is detected at once, nor while
// the replica is of no single moment.
func (r *Replica) nextWatchWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedAt > r.updatedAt || !r.moment.reached(r.version) {
		return 0
	}
	return watchWait
}

// scanPartitions reads partitions concurrently. It returns those that can't be read
// as missing.
func (r *Replica) scanPartitions(ctx context.Context, partitions []string) (rows []port.VersionedRow, missing []string) {
	ctx, _, cancel := transfer.WithStallTimeout(ctx, scanTimeout/2)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentScans)
	for _, partition := range partitions {
		group.Go(func() error {
			list, _, err := r.store.Scan(ctx, Table, partition, "", "")
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, list...)
			if err != nil {
				missing = append(missing, partition)
				r.log.Warn("part not read", zap.String("part", partition), zap.Error(err))
			}
			return nil
		})
	}
	_ = group.Wait() // failures are in missing
	return rows, missing
}

// readMissing retries the partitions that were unavailable.
func (r *Replica) readMissing(ctx context.Context) {
	r.mu.Lock()
	partitions := r.missingPartitions
	r.mu.Unlock()
	if len(partitions) == 0 {
		return
	}
	rows, missing := r.scanPartitions(ctx, partitions)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(rows)
	r.missingPartitions = missing
	if len(rows) > 0 || len(missing) < len(partitions) {
		r.moment.scanned()
	}
	if len(missing) < len(partitions) {
		r.log.Info("missing partitions read", zap.Int("read", len(partitions)-len(missing)), zap.Strings("missing", missing))
	}
}

// MayLackRow reports whether the replica may lack a row of the job, in any pool, that was
// stored before the newest one that it holds: a partition couldn't be read yet, or the
// partitions were read at different moments. Before Ready it returns false.
func (r *Replica) MayLackRow(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayLackRow(id)
}

func (r *Replica) mayLackRow(id string) bool {
	return !r.moment.reached(r.version) || slices.ContainsFunc(r.missingPartitions, func(partition string) bool { return mayHoldJob(partition, id) })
}

// IsUnread reports whether a partition couldn't be read yet. Before Ready it returns
// false.
func (r *Replica) IsUnread(partition string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.missingPartitions, partition)
}

// Complete reports whether every partition has been read, and the replica is of a single
// moment. Before Ready it returns true.
func (r *Replica) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.missingPartitions) == 0 && r.moment.reached(r.version)
}

func (r *Replica) watch(ctx context.Context, after int64) (int64, error) {
	ctx, _, cancel := transfer.WithStallTimeout(ctx, watchWait+scanTimeout/2)
	defer cancel()
	r.readMissing(ctx)
	r.readMoment(ctx)
	rows, next, err := r.store.Watch(ctx, Table, after, r.nextWatchWait())
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
	r.updatedAt = r.now()
	if version > r.version {
		r.version = version
		r.held.add(version, r.updatedAt)
		close(r.advanced)
		r.advanced = make(chan struct{})
	}
}

// Await waits until the replica holds all changes up to version. It fails with
// fault.Timeout if ctx ends first.
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
			return fault.Wrap(fault.Timeout, "the replica is behind", ctx.Err())
		}
	}
}

// Hurry ends the delay before the next watch, for a caller of Await. It doesn't end a watch
// in progress, which returns at the next change or after watchWait.
func (r *Replica) Hurry() {
	select {
	case r.hurry <- struct{}{}:
	default: // a signal is already pending
	}
}

// Absent reports whether the store had no row of the job, in any pool, at the version that
// the replica holds. It returns false if that isn't known: before Ready, or if a row may be
// in a partition that couldn't be read yet or can't be decoded.
func (r *Replica) Absent(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready || r.jobs[id] != nil || r.mayLackRow(id) {
		return false
	}
	for key := range r.undecodable {
		if key.Key == jobPrefix+id {
			return false
		}
	}
	return true
}

// Ready reports whether the initial read has finished. Partitions may still be
// missing; see Complete.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// StableFor returns the time since a full read or a watch last failed, or since the
// replica's creation if none has. A partition that can't be read doesn't count.
func (r *Replica) StableFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() - r.failedAt
}

// Age returns the time since a full read or a watch last succeeded. Before Ready it
// has no meaning.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() - r.updatedAt
}

// Job returns the job with an ID, in any pool. It reports false if the replica has
// no such job.
func (r *Replica) Job(id string) (JobView, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j != nil {
		return *j, true
	}
	return JobView{}, false
}

// Jobs returns a pool's jobs, sorted by ID.
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

// Waiting returns the number of a queue's jobs without a started task. Cancelled
// jobs don't count.
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

// Pool returns the state of a pool, the zero value if the replica has none.
func (r *Replica) Pool(name string) PoolView {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[name]; p != nil {
		return *p
	}
	return PoolView{}
}

// PoolNames returns the names of the pools that the replica knows, in no particular order.
func (r *Replica) PoolNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.pools))
}

// Instances returns the registered instances other than the one named self, in no
// particular order.
func (r *Replica) Instances(self string) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Instance
	for _, instance := range r.instances {
		if instance.Name != self {
			out = append(out, instance)
		}
	}
	return out
}

// Register stores this instance's entry, by which its peers find it. It fails with
// the store's error.
func (r *Replica) Register(ctx context.Context, instance Instance) error {
	value, err := work.Encode(instance)
	if err != nil {
		return err
	}
	key := port.RowKey{Table: Table, Key: instancePrefix + instance.Name}
	_, err = r.store.Commit(ctx, port.RowTxn{Puts: map[port.RowKey][]byte{key: value}})
	return err
}
