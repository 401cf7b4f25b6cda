package gangs

import (
	"context"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/gang"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	// maxStartCalls bounds the calls that start one member.
	maxStartCalls = 3
	// callRetryInterval is the delay after a failed release or reload.
	callRetryInterval = 250 * time.Millisecond
)

// operation is a sequence of commits under the grant and calls to workers for
// one job.
type operation struct {
	runner   *Runner
	job      structs.Job
	revision int64
	// leaseExpiry is entry.leaseExpiry at the start of the operation.
	leaseExpiry time.Time
	// moved is set once the job was moved to another failure domain.
	moved bool
	// withdrawn is set if the start was abandoned before anything was written.
	withdrawn bool
	// failedWorkers lists the workers on which a member's reservation or start
	// failed.
	failedWorkers []string
}

// commit writes the job's next state. If the write was rejected or its result is
// unknown, commit reloads the job and fails with fault.Uncertain, or with
// fault.Fenced if the grant was lost. If ctx ends first, it fails with the error
// of Store.Commit.
func (o *operation) commit(ctx context.Context, next structs.Job) error {
	return o.commitTxn(ctx, next, new(store.Txn))
}

// commitTxn is like commit and adds the job's next state to the writes and
// conditions in txn. For a final state it also deletes the job's queue index row
// and cancellation.
func (o *operation) commitTxn(ctx context.Context, next structs.Job, txn *store.Txn) error {
	r := o.runner
	key := next.Spec.Key
	txn.Update(store.JobKey(key), o.revision, next)
	r.grant.Require(txn)
	if next.State.Final() {
		txn.Delete(store.QueueKey(r.grant.Domain, key))
		txn.Delete(store.CancellationKey(r.grant.Domain, key))
	}
	revision, err := r.deps.Store.Commit(ctx, txn)
	switch fault.CodeOf(err) {
	case "":
		o.job = next
		o.revision = revision
		return nil
	case fault.Conflict, fault.Uncertain:
		return o.reload(ctx, err)
	default:
		return err
	}
}

// reload reads the job's row and the owner row after a commit that was rejected
// or whose result is unknown. It retries failed reads until ctx ends and then
// returns cause, the commit's error.
func (o *operation) reload(ctx context.Context, cause error) error {
	r := o.runner
	key := store.JobKey(o.job.Spec.Key)
	for {
		rows, err := r.deps.Store.Get(ctx, key, store.OwnerKey(r.grant.Domain))
		if err == nil {
			return o.applyReloaded(rows[key].Revision, rows[store.OwnerKey(r.grant.Domain)].Revision, func(j *structs.Job) error {
				return store.Decode(rows[key], j)
			}, cause)
		}
		if wait.For(ctx, callRetryInterval) != nil {
			return cause
		}
	}
}

// applyReloaded replaces the operation's job by the reloaded one and returns
// fault.Uncertain. It fails with fault.Fenced if the grant was lost, and with the
// error of decode.
func (o *operation) applyReloaded(revision, ownerRevision int64, decode func(*structs.Job) error, cause error) error {
	if ownerRevision != o.runner.grant.Revision {
		return fault.Wrap(fault.Fenced, "domain "+o.runner.grant.Domain+" has another owner", cause)
	}
	var j structs.Job
	if err := decode(&j); err != nil {
		return err
	}
	o.job = j
	o.revision = revision
	return fault.Wrap(fault.Uncertain, "job row was reloaded", cause)
}

// start reserves every member and then starts them all. If a reservation fails,
// or the failure domain is evacuated in the meantime, it releases them all and
// requeues the job. An evacuation that is in force before the first write withdraws
// the start, which then doesn't count as an attempt.
func (o *operation) start(ctx context.Context, st scheduler.Start) error {
	if o.runner.evacuated() {
		o.withdrawn = true
		return nil
	}
	next, err := gang.Reserve(o.job, st)
	if err != nil {
		return err
	}
	if err := o.commit(ctx, next); err != nil {
		return err
	}
	o.runner.leases.add(o.job.Members)
	if err := o.reserveAll(ctx); err != nil {
		return o.stop(ctx, structs.JobQueued, "a reservation was refused: "+err.Error(), false)
	}
	if o.runner.evacuated() {
		return o.stop(ctx, structs.JobQueued, scheduler.EvacuatedReason(o.job.Domain), false)
	}
	running, err := gang.Run(o.job, time.Now())
	if err != nil {
		return err
	}
	if err := o.commit(ctx, running); err != nil {
		return err
	}
	return o.startAll(ctx)
}

func (o *operation) reserveAll(ctx context.Context) error {
	accelerators := o.job.Spec.Accelerators
	ttl := o.runner.settings.LeaseTTL
	timeout := o.runner.settings.CallTimeout
	return o.eachMember(ctx, timeout, func(ctx context.Context, _ int, m structs.Member, w structs.Worker) error {
		return o.runner.deps.Workers.Reserve(ctx, w, m.Lease, accelerators, ttl)
	})
}

// startAll sends every member's start, which is idempotent. If a member can't be
// started, it stops the gang and requeues the job.
func (o *operation) startAll(ctx context.Context) error {
	err := o.eachMember(ctx, o.runner.settings.CallTimeout, o.startMember)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return o.stop(ctx, structs.JobQueued, "a member could not be started: "+err.Error(), false)
}

func (o *operation) startMember(ctx context.Context, i int, m structs.Member, w structs.Worker) error {
	checkpoint := ""
	if o.job.Checkpoint != "" {
		checkpoint = memberCheckpoint(o.job.Checkpoint, i)
	}
	var err error
	for range maxStartCalls {
		err = o.runner.deps.Workers.Start(ctx, w, m.Lease, o.job.Spec.Payload, checkpoint)
		code := fault.CodeOf(err)
		if code != fault.Uncertain && code != fault.Unavailable {
			return err
		}
	}
	return err
}

func memberCheckpoint(name string, member int) string {
	return name + "/" + strconv.Itoa(member)
}

// memberCall is a call to one member's worker.
type memberCall func(ctx context.Context, i int, m structs.Member, w structs.Worker) error

// eachMember calls f for every member concurrently, each bounded by timeout,
// and returns the first error, which cancels the other calls. A member whose
// worker isn't in the inventory fails with fault.Unavailable.
func (o *operation) eachMember(ctx context.Context, timeout time.Duration, f memberCall) error {
	var mu sync.Mutex
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentMemberCalls)
	for i, m := range o.job.Members {
		g.Go(func() error {
			err := o.callMember(gctx, timeout, i, f)
			if err != nil && gctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()
				o.failedWorkers = append(o.failedWorkers, m.Worker)
			}
			return err
		})
	}
	return g.Wait()
}

func (o *operation) callMember(ctx context.Context, timeout time.Duration, i int, f memberCall) error {
	m := o.job.Members[i]
	w, ok := o.runner.deps.Fleet.Worker(m.Worker)
	if !ok {
		return fault.New(fault.Unavailable, "worker "+m.Worker+" is not in the inventory")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx, i, m, w)
}

// stop ends the attempt, releases its leases and moves the job to its next
// state.
func (o *operation) stop(ctx context.Context, next structs.JobState, reason string, checkpoint bool) error {
	j := o.job
	if checkpoint {
		j = o.checkpoint(ctx, j)
	}
	stopping, err := gang.Stop(j, next, reason)
	if err != nil {
		return err
	}
	if !next.Final() {
		// The remaining members of a broken gang must not keep running while the
		// table is unavailable. If the row is never written, the next owner's
		// renewals find no leases, and it requeues the job.
		o.releaseOnce(ctx)
	}
	if err := o.commit(ctx, stopping); err != nil {
		return err
	}
	return o.finishStop(ctx)
}

// checkpoint saves every member's progress, each bounded by CheckpointTimeout. If
// a member's checkpoint fails, the job keeps its previous checkpoint.
func (o *operation) checkpoint(ctx context.Context, j structs.Job) structs.Job {
	timeout := o.runner.settings.CheckpointTimeout
	object := checkpointObject(j)
	err := o.eachMember(ctx, timeout, func(ctx context.Context, i int, m structs.Member, w structs.Worker) error {
		return o.runner.deps.Workers.Checkpoint(ctx, w, m.Lease, memberCheckpoint(object, i))
	})
	// A failed checkpoint is no reason for the next attempt to avoid the worker.
	o.failedWorkers = nil
	if err != nil {
		return j
	}
	return gang.WithCheckpoint(j, object)
}

// finishStop releases the leases of a stopping job and moves it to its next
// state.
func (o *operation) finishStop(ctx context.Context) error {
	o.runner.leases.remove(o.job.Members)
	if err := o.releaseAll(ctx); err != nil {
		return err
	}
	stopped, err := gang.CompleteStop(o.job, time.Now())
	if err != nil {
		return err
	}
	return o.commit(ctx, stopped)
}

// releaseOnce makes one attempt to release every lease of the job's members.
func (o *operation) releaseOnce(ctx context.Context) {
	o.runner.leases.remove(o.job.Members)
	var g errgroup.Group
	g.SetLimit(maxConcurrentMemberCalls)
	for worker, leases := range o.leasesByWorker() {
		g.Go(func() error {
			o.tryRelease(ctx, worker, leases)
			return nil
		})
	}
	// finishStop releases all of them again, so failures need no handling here.
	_ = g.Wait()
}

func (o *operation) leasesByWorker() map[string][]structs.LeaseID {
	byWorker := make(map[string][]structs.LeaseID)
	for _, m := range o.job.Members {
		byWorker[m.Worker] = append(byWorker[m.Worker], m.Lease)
	}
	return byWorker
}

// releaseAll returns once each lease was released or must have expired. It fails
// only with ctx's error.
func (o *operation) releaseAll(ctx context.Context) error {
	expiry := time.Now().Add(o.runner.settings.LeaseExpiry())
	if o.leaseExpiry.After(expiry) {
		expiry = o.leaseExpiry
	}
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentMemberCalls)
	for worker, leases := range o.leasesByWorker() {
		g.Go(func() error { return o.release(gctx, worker, leases, expiry) })
	}
	return g.Wait()
}

// release retries until the worker released the leases or expiry has passed.
func (o *operation) release(ctx context.Context, worker string, leases []structs.LeaseID, expiry time.Time) error {
	for time.Now().Before(expiry) {
		if o.tryRelease(ctx, worker, leases) {
			return nil
		}
		if err := wait.For(ctx, callRetryInterval); err != nil {
			return err
		}
	}
	return nil
}

// tryRelease makes one call to a worker to release leases. It reports whether
// the worker released them or rejected the call as fenced.
func (o *operation) tryRelease(ctx context.Context, worker string, leases []structs.LeaseID) bool {
	w, ok := o.runner.deps.Fleet.Worker(worker)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, o.runner.settings.CallTimeout)
	defer cancel()
	err := o.runner.deps.Workers.Release(ctx, w, leases)
	return err == nil || fault.Is(err, fault.Fenced)
}

// movedTo returns the failure domain that the job was moved to, or "".
func (o *operation) movedTo() string {
	if o.moved {
		return o.job.Domain
	}
	return ""
}

// finish moves a queued job to a final state.
func (o *operation) finish(ctx context.Context, state structs.JobState, reason string) error {
	next, err := gang.Finish(o.job, state, reason, time.Now())
	if err != nil {
		return err
	}
	return o.commit(ctx, next)
}

// move transfers a queued job to another failure domain.
func (o *operation) move(ctx context.Context, to string) error {
	r := o.runner
	key := o.job.Spec.Key
	next := o.job
	next.Domain = to
	txn := new(store.Txn)
	txn.Delete(store.QueueKey(r.grant.Domain, key))
	txn.Put(store.QueueKey(to, key), QueueRecord{Key: key})
	txn.Put(store.SubmissionKey(to, key), InboxRecord{Key: key})
	// A cancellation that hasn't been read here yet must not be left behind.
	txn.RequireAbsent(store.CancellationKey(r.grant.Domain, key))
	if err := o.commitTxn(ctx, next, txn); err != nil {
		return err
	}
	o.moved = true
	return nil
}
