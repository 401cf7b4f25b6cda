// Package replica keeps a copy of the jobs, the owners and the instances that
// the store holds, by its change feed, and tells subscribers what changed.
package replica

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/follow"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Table is the store's table that holds all rows of the product.
const Table = "lentilwinch"

// Keys of rows. A pool's rows share the part that is named like the pool.
const (
	EpochKey     = "epoch"
	BeatKey      = "beat"
	LoadKey      = "load"
	WorkersKey   = "workers"
	JobPrefix    = "job/"
	jobEnd       = "job0" // '0' follows '/'
	CancelPrefix = "cancel/"
	cancelEnd    = "cancel0"
	nodePrefix   = "node/"
)

const (
	// feedWait bounds a silent store's effect on the copy's age.
	feedWait = time.Second
	// feedSpacing bounds the wake-ups while many jobs change.
	feedSpacing = 60 * time.Millisecond
	scanTimeout = 5 * time.Second
)

// Epoch names a pool's owner. Number is its fencing token.
type Epoch struct {
	Number int64  `cbor:"1,keyasint"`
	Owner  string `cbor:"2,keyasint,omitempty"`
	// Incarnation tells two lives of one owner apart.
	Incarnation string `cbor:"3,keyasint,omitempty"`
}

// Node is an instance that peers may relay through.
type Node struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Load is what an owner tells the others about its queue.
type Load struct {
	// Backlog is the time that the work ahead of a new job takes, by priority.
	Backlog map[int]time.Duration `cbor:"1,keyasint,omitempty"`
	// Largest is the room of the largest worker.
	Largest work.Resources `cbor:"2,keyasint"`
}

// JobView is a job as the copy knows it.
type JobView struct {
	Record    work.Record
	Version   int64
	Cancelled bool
}

// PoolView is what the copy knows about a pool's ownership.
type PoolView struct {
	Epoch        Epoch
	EpochVersion int64
	BeatVersion  int64
	Load         Load
}

type pool struct {
	view PoolView
	jobs map[string]*JobView
	// cancelled outlives the order of rows: reading anew finds a cancellation
	// before its job.
	cancelled map[string]bool
}

// Replica is the copy. It is safe for concurrent use.
type Replica struct {
	store port.RowStore
	log   *zap.Logger
	now   func() time.Duration

	mu     sync.Mutex
	pools  map[string]*pool
	nodes  map[string]Node
	subs   map[*Subscription]struct{}
	ready  bool
	seenAt time.Duration
	// failedAt is when the store was last found not to answer.
	failedAt time.Duration
}

// New returns an empty copy.
func New(store port.RowStore, log *zap.Logger, now func() time.Duration) *Replica {
	return &Replica{store: store, log: log, now: now, pools: map[string]*pool{},
		nodes: map[string]Node{}, subs: map[*Subscription]struct{}{}}
}

// Run follows the store until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	follow.Run(ctx, r.log, follow.Source{
		Name: "jobs", Spacing: feedSpacing,
		List:  func(ctx context.Context) (int64, error) { return r.marked(r.list(ctx)) },
		Watch: func(ctx context.Context, after int64) (int64, error) { return r.marked(r.watch(ctx, after)) },
	})
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
	parts, err := r.store.Parts(ctx, Table)
	if err != nil {
		return 0, err
	}
	var rows []port.VersionedRow
	after := int64(-1)
	for _, part := range append(parts, "") {
		list, version, err := r.store.Scan(ctx, Table, part, "", "")
		if err != nil {
			return 0, err
		}
		if after < 0 || version < after {
			after = version
		}
		rows = append(rows, list...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools, r.nodes = map[string]*pool{}, map[string]Node{}
	r.apply(rows)
	r.ready = true
	r.seenAt = r.now()
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

func (r *Replica) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+scanTimeout/2)
	defer cancel()
	rows, next, err := r.store.Feed(ctx, Table, after, r.patience())
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(rows)
	r.seenAt = r.now()
	return next, nil
}

func (r *Replica) apply(rows []port.VersionedRow) {
	for i := range rows {
		if err := r.applyRow(&rows[i]); err != nil {
			r.log.Error("row left out", zap.String("part", rows[i].Part), zap.String("key", rows[i].Key), zap.Error(err))
		}
	}
	for s := range r.subs {
		s.wake()
	}
}

func (r *Replica) poolOf(part string) *pool {
	p := r.pools[part]
	if p == nil {
		p = &pool{jobs: map[string]*JobView{}, cancelled: map[string]bool{}}
		r.pools[part] = p
	}
	return p
}

func (r *Replica) applyRow(row *port.VersionedRow) error {
	switch {
	case strings.HasPrefix(row.Key, JobPrefix):
		return r.applyJob(row, strings.TrimPrefix(row.Key, JobPrefix))
	case strings.HasPrefix(row.Key, CancelPrefix):
		r.applyCancel(row, strings.TrimPrefix(row.Key, CancelPrefix))
		return nil
	case strings.HasPrefix(row.Key, nodePrefix):
		name := strings.TrimPrefix(row.Key, nodePrefix)
		if row.Deleted {
			delete(r.nodes, name)
			return nil
		}
		var n Node
		err := work.Decode(row.Value, &n)
		if err == nil {
			r.nodes[name] = n
		}
		return err
	case row.Key == BeatKey:
		r.poolOf(row.Part).view.BeatVersion = row.Version
		return nil
	case row.Key == EpochKey:
		v := &r.poolOf(row.Part).view
		var e Epoch
		if err := work.Decode(row.Value, &e); err != nil {
			return err
		}
		v.Epoch, v.EpochVersion = e, row.Version
		return nil
	case row.Key == WorkersKey:
		return nil // read at a takeover only
	case row.Key == LoadKey:
		var l Load
		err := work.Decode(row.Value, &l)
		if err == nil {
			r.poolOf(row.Part).view.Load = l
		}
		return err
	}
	return fault.New(fault.Invalid, "unknown key")
}

func (r *Replica) applyCancel(row *port.VersionedRow, id string) {
	p := r.poolOf(row.Part)
	if row.Deleted {
		delete(p.cancelled, id)
		return
	}
	p.cancelled[id] = true
	if j := p.jobs[id]; j != nil {
		j.Cancelled = true
		r.notify(row.Part, id)
	}
}

func (r *Replica) applyJob(row *port.VersionedRow, id string) error {
	p := r.poolOf(row.Part)
	if row.Deleted {
		delete(p.jobs, id)
		return nil
	}
	old := p.jobs[id]
	if old != nil && old.Version >= row.Version {
		return nil
	}
	v := &JobView{Version: row.Version, Cancelled: p.cancelled[id]}
	if err := work.Decode(row.Value, &v.Record); err != nil {
		return err
	}
	p.jobs[id] = v
	if old == nil {
		r.notify(row.Part, id)
	}
	return nil
}

func (r *Replica) notify(part, id string) {
	for s := range r.subs {
		if s.pool == part {
			s.ids = append(s.ids, id)
		}
	}
}

// Ready reports whether the copy was read once.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
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
	for _, p := range r.pools {
		if j := p.jobs[id]; j != nil {
			return *j, true
		}
	}
	return JobView{}, false
}

// Waiting counts a queue's jobs of which no task has started.
func (r *Replica) Waiting(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.pools {
		for _, j := range p.jobs {
			if j.Record.Job.Queue == queue && j.Record.State == work.Queued && !j.Cancelled {
				n++
			}
		}
	}
	return n
}

// Pool returns what is known of a pool's ownership.
func (r *Replica) Pool(name string) PoolView {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[name]; p != nil {
		return p.view
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

// ReadPool reads a pool's jobs from the store itself.
func ReadPool(ctx context.Context, store port.RowStore, name string) ([]JobView, error) {
	rows, _, err := store.Scan(ctx, Table, name, JobPrefix, jobEnd)
	if err != nil {
		return nil, err
	}
	cancels, _, err := store.Scan(ctx, Table, name, CancelPrefix, cancelEnd)
	if err != nil {
		return nil, err
	}
	cancelled := map[string]bool{}
	for i := range cancels {
		cancelled[strings.TrimPrefix(cancels[i].Key, CancelPrefix)] = true
	}
	out := make([]JobView, 0, len(rows))
	for i := range rows {
		v := JobView{Version: rows[i].Version}
		if err := work.Decode(rows[i].Value, &v.Record); err != nil {
			return nil, err
		}
		v.Cancelled = cancelled[v.Record.Job.ID]
		out = append(out, v)
	}
	return out, nil
}

// ReadWorkers reads the workers that a pool's owner used last.
func ReadWorkers(ctx context.Context, store port.RowStore, name string) ([]string, error) {
	rows, _, err := store.Scan(ctx, Table, name, WorkersKey, WorkersKey+"\x00")
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	var ids []string
	err = work.Decode(rows[0].Value, &ids)
	return ids, err
}

// WorkersKeyOf returns the key of the list of a pool's workers.
func WorkersKeyOf(pool string) port.RowKey {
	return port.RowKey{Table: Table, Part: pool, Key: WorkersKey}
}

// JobKey returns the key of a job's row.
func JobKey(pool, id string) port.RowKey {
	return port.RowKey{Table: Table, Part: pool, Key: JobPrefix + id}
}

// CancelKey returns the key of a job's cancellation.
func CancelKey(pool, id string) port.RowKey {
	return port.RowKey{Table: Table, Part: pool, Key: CancelPrefix + id}
}
