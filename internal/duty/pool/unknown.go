package pool

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
)

// unknownJobs is the state of finding out whether jobs exist that workers have reported
// and that the planner doesn't know. A job is stored before any of its tasks is started,
// but the replica may lag behind.
type unknownJobs struct {
	// read guards the read of the store's current version.
	read retryGate
	// readAt is a time by which all jobs that were stored before it are in the replica.
	// It holds for jobs in partitions that aren't read yet only once they are.
	readAt time.Duration
}

// resolveUnknownJobs drops the unknown jobs that don't exist or have ended. complete says
// that all jobs in the replica have been added.
func (o *Owner) resolveUnknownJobs(ctx context.Context, complete bool) {
	reported := o.planner.UnknownJobs()
	if len(reported) == 0 {
		return
	}
	now := o.now()
	for id, since := range reported {
		v, found := o.deps.Replica.Job(id)
		switch {
		case o.writer.added[id], found && v.Record.State.Ended(), complete && since <= o.unknown.readAt && !o.deferred[id]:
			o.planner.DropUnknownJob(id)
			delete(reported, id)
		}
	}
	o.acknowledgeResults()
	if len(reported) > 0 && complete && o.unknown.read.open(now) {
		o.readJobs(ctx, now)
	}
}

// readJobs reads the store's version and waits until the replica holds it.
func (o *Owner) readJobs(ctx context.Context, now time.Duration) {
	o.unknown.read.inFlight = true
	o.wg.Go(func() {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, version, err := o.deps.Store.Scan(call, replica.Table, o.pool, replica.EpochKey, replica.EpochKey+"\x00")
		if err == nil {
			err = o.deps.Replica.Await(call, version)
		}
		o.send(ctx, event{kind: evJobsRead, sentAt: now, err: err})
	})
}

func (o *Owner) jobsRead(ev event) {
	o.unknown.read.inFlight = false
	if ev.err != nil {
		o.unknown.read.retryAt = o.now() + storeRetryDelay
		o.log.Info("reported jobs can't be looked up yet", zap.Int("jobs", len(o.planner.UnknownJobs())), zap.Error(ev.err))
		return
	}
	o.unknown.readAt = ev.sentAt
}
