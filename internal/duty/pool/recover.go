package pool

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
)

// bypassReach is for how many epochs a bypass counts: owners that go before their
// recovery ends, and before they have announced that, leave it to the next ones.
const bypassReach = 3

// former is what is known of the owner before this one.
type former struct {
	gone bool // it handed the pool over, or was this process's former life
	// catchingUp is the read that catches up with it.
	catchingUp paced
	// caughtUp says that it can't act and that the copy holds what it stored.
	caughtUp bool
	// over says that what it stored is merged.
	over bool
}

// recover reads the jobs and the workers, and lets inherited jobs wait until
// each worker was heard or its leases must have expired.
func (o *Owner) recover(ctx context.Context) error {
	// Whatever was accepted before this epoch is in the copy once it is there.
	if err := o.deps.Replica.Await(ctx, o.epochVersion); err != nil {
		return err
	}
	jobs := o.deps.Replica.Jobs(o.pool)
	workers, _, err := o.deps.Registry.Workers(ctx)
	if err != nil {
		return err
	}
	o.holdingSince = o.now()
	for i := range workers {
		if w := workers[i]; w.Pool == o.pool {
			o.putWorker(ctx, w)
		}
	}
	if o.epoch > 1 {
		o.beginRecovery(ctx)
	}
	o.applyConfig()
	for i := range jobs {
		o.addJob(&jobs[i], o.epoch > 1)
	}
	waiting, running := o.planner.Counts()
	o.log.Info("pool taken over", zap.Int("jobs", len(jobs)), zap.Int("waiting", waiting), zap.Int("running", running),
		zap.Int("workers", len(o.sessions)))
	return nil
}

// beginRecovery holds inherited jobs until every worker was heard. Workers of
// the former owner that the registry doesn't name may come back to it: entries
// expire while the store is away.
func (o *Owner) beginRecovery(ctx context.Context) {
	registryAt := o.holdingSince
	for _, id := range o.deps.Replica.Pool(o.pool).Workers {
		if o.sessions[id] == nil {
			registryAt = o.holdingSince + registrySettles
			o.log.Info("former owner's worker not listed", zap.String("worker", id))
		}
	}
	newcomersAt := o.holdingSince + formerLearns
	if o.former.gone {
		newcomersAt = o.holdingSince
	}
	last := o.deps.Replica.Pool(o.pool).Bypassed
	bypassed := last > 0 && o.epoch-last <= bypassReach
	recorded := !bypassed && o.deps.Replica.QuietFor() > settledAfter && o.deps.Health.Latency() < slowStore
	o.log.Info("recovery begins", zap.Bool("placements_complete", recorded), zap.Bool("bypassed", bypassed), zap.Duration("store_quiet_for", o.deps.Replica.QuietFor()))
	o.planner.Recover(registryAt, newcomersAt, recorded)
	if !recorded {
		// An owner after this one inherits what isn't known yet.
		o.announceBypass(ctx, o.now())
	}
}

func (o *Owner) addJob(v *replica.JobView, inherited bool) {
	id := v.Record.Job.ID
	if v.Record.State.Ended() || o.storing.seen[id] {
		return
	}
	if o.deps.Replica.Uncertain(o.pool, id) {
		o.log.Info("job deferred, a row of it may be in a part that is away", zap.String("job", id))
		o.deferred[id] = true
		return
	}
	o.storing.seen[id] = true
	now := o.now()
	for _, row := range v.Rows {
		o.storing.versions[rowOf{row.Part, id}] = row.Version
	}
	age := max(o.deps.Store.Now()-v.Record.Job.SubmittedAt, 0)
	o.planner.AddJob(now, age, v.Record, inherited)
	o.log.Info("job queued", zap.String("job", id), zap.Duration("age", age), zap.Int64("sequence", v.Record.Sequence), zap.Bool("inherited", inherited))
	if !inherited && (v.Record.Sequence > 0 || age > knownWithin) {
		o.planner.HoldBack(id, now)
	}
	for i := range v.Rows {
		if v.Rows[i].Record.Sequence != v.Record.Sequence {
			o.planner.Merge(now, v.Rows[i].Record)
		}
	}
	if v.Cancelled {
		o.planner.Cancel(id, now)
	}
}

// takeJobs takes in what the copy told since the last time. Whether the copy is
// complete is asked first: what it told before that is all that was missing.
func (o *Owner) takeJobs(sub *replica.Subscription) {
	complete := o.deps.Replica.Complete()
	for _, v := range sub.Take() {
		o.addJob(&v, false)
		if v.Cancelled {
			o.planner.Cancel(v.Record.Job.ID, o.now())
		}
	}
	o.addDeferred()
	o.planner.SetPartial(!complete)
}

// addDeferred takes in the jobs whose rows can be read by now. What runs of
// them is seen by the next holds.
func (o *Owner) addDeferred() {
	for id := range o.deferred {
		if o.deps.Replica.Uncertain(o.pool, id) {
			continue
		}
		delete(o.deferred, id)
		if v, ok := o.deps.Replica.Job(id); ok {
			o.addJob(&v, false)
		}
	}
}

// mergeFormer takes in, once, what a former owner stored between the takeover
// and its own end.
func (o *Owner) mergeFormer(ctx context.Context, now time.Duration) {
	if o.former.over {
		return
	}
	alone := o.epoch == 1 || o.former.gone
	learned := now >= o.holdingSince+formerLearns && o.deps.Replica.Age() <= freshCopy
	if !alone && !learned && !o.former.caughtUp {
		o.catchUp(ctx, now)
		return
	}
	merged := 0
	for _, v := range o.deps.Replica.Jobs(o.pool) {
		for i := range v.Rows {
			if rec := &v.Rows[i].Record; !alone && rec.Sequence > 0 && rec.Sequence>>32 < o.epoch {
				o.planner.Merge(now, *rec)
				merged++
			}
		}
	}
	o.former.over = true
	o.planner.FormerOver()
	o.log.Info("former owner over", zap.Int("records", merged))
}

// catchUp reads the store's version once every worker has heard this owner's
// fencing token, and waits until the copy holds it. From then on a former owner
// can't acknowledge an end or start anything, and what it stored before an
// acknowledgement is in the copy: there is no need to wait until it learns of
// the takeover.
func (o *Owner) catchUp(ctx context.Context, now time.Duration) {
	if !o.former.catchingUp.may(now) || !o.planner.AllHeard(now) || !o.deps.Replica.Complete() {
		return
	}
	o.former.catchingUp.busy = true
	o.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, version, err := o.deps.Store.Scan(call, replica.Table, o.pool, replica.EpochKey, replica.EpochKey+"\x00")
		if err == nil {
			err = o.deps.Replica.Await(call, version)
		}
		o.send(ctx, event{kind: evCaughtUp, err: err})
	})
}

func (o *Owner) caughtUpTo(err error) {
	o.former.catchingUp.busy = false
	if err != nil {
		o.former.catchingUp.resumes = o.now() + storePause
		o.log.Info("the copy has not caught up with a former owner yet", zap.Error(err))
		return
	}
	o.former.caughtUp = true
}
