package pool

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	// retainEvery is how often ended jobs are looked for.
	retainEvery = 10 * time.Second
	// retainSlack is added to the time for which callers may ask for an ended
	// job, so that a late duplicate of its submission still finds it.
	retainSlack = time.Minute
	// removalsAtOnce bounds the jobs removed in one round.
	removalsAtOnce = 50
)

// retain removes the rows of jobs that ended long ago, until ctx ends.
func (o *Owner) retain(ctx context.Context) {
	for wait.For(ctx, retainEvery) == nil {
		now := o.deps.Store.Now()
		removed := 0
		for _, v := range o.deps.Replica.Jobs(o.pool) {
			if removed == removalsAtOnce || ctx.Err() != nil {
				break
			}
			ended := v.Record.State.Ended() && v.Record.EndedAt > 0
			if ended && now-v.Record.EndedAt > o.deps.RetainFor+retainSlack {
				o.remove(ctx, &v)
				removed++
			}
		}
	}
}

func (o *Owner) remove(ctx context.Context, v *replica.JobView) {
	id := v.Record.Job.ID
	cancels := replica.CancelKeys(o.pool, id)
	for i, key := range replica.JobKeys(o.pool, id) {
		txn := port.RowTxn{Removes: []port.RowKey{cancels[i]}}
		for _, row := range v.Rows {
			if row.Part == key.Part {
				txn.Expect = map[port.RowKey]int64{key: row.Version}
				txn.Removes = append(txn.Removes, key)
			}
		}
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := o.deps.Store.Commit(call, txn)
		cancel()
		if err != nil && !fault.Is(err, fault.Conflict) {
			o.log.Info("ended job not removed yet", zap.String("job", id), zap.String("part", key.Part), zap.Error(err))
			return
		}
	}
	o.post(event{kind: evRemoved, job: id})
}

// forget drops what is kept about a removed job.
func (o *Owner) forget(id string) {
	delete(o.storing.seen, id)
	delete(o.storing.latest, id)
	for _, key := range replica.JobKeys(o.pool, id) {
		delete(o.storing.versions, rowOf{key.Part, id})
	}
	o.log.Info("ended job removed", zap.String("job", id))
}
