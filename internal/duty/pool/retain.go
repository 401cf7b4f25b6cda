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
	// retentionInterval is the delay between rounds of removing jobs.
	retentionInterval = 10 * time.Second
	// retentionSlack is added to the time for which an ended job can be queried, so
	// that a late duplicate of its submission still finds it.
	retentionSlack = time.Minute
	// maxRemovalsPerRound bounds the jobs removed in one round.
	maxRemovalsPerRound = 50
)

// removeEndedJobs removes the rows of ended jobs after their retention time, until ctx
// ends.
func (o *Owner) removeEndedJobs(ctx context.Context) {
	for wait.For(ctx, retentionInterval) == nil {
		now, ok := o.deps.Store.Now()
		if !ok {
			continue
		}
		removed := 0
		for _, v := range o.deps.Replica.Jobs(o.pool) {
			if removed == maxRemovalsPerRound || ctx.Err() != nil {
				break
			}
			ended := v.Record.State.Ended() && v.Record.EndedAt > 0
			if ended && now-v.Record.EndedAt > o.deps.Retention+retentionSlack {
				o.removeJob(ctx, &v)
				removed++
			}
		}
	}
}

func (o *Owner) removeJob(ctx context.Context, v *replica.JobView) {
	id := v.Record.Job.ID
	cancels := replica.CancelKeys(o.pool, id)
	for i, key := range replica.JobKeys(o.pool, id) {
		txn := port.RowTxn{Deletes: []port.RowKey{cancels[i]}}
		for _, row := range v.Rows {
			if row.Partition == key.Partition {
				txn.ExpectedVersions = map[port.RowKey]int64{key: row.Version}
				txn.Deletes = append(txn.Deletes, key)
			}
		}
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := o.deps.Store.Commit(call, txn)
		cancel()
		if err != nil && !fault.Is(err, fault.Conflict) {
			o.log.Info("ended job not removed yet", zap.String("job", id), zap.String("part", key.Partition), zap.Error(err))
			return
		}
	}
	o.post(event{kind: evJobRemoved, job: id})
}

// dropJob deletes the in-memory state of a removed job.
func (o *Owner) dropJob(id string) {
	delete(o.writer.added, id)
	delete(o.writer.latest, id)
	for _, key := range replica.JobKeys(o.pool, id) {
		delete(o.writer.versions, jobRowKey{key.Partition, id})
	}
	o.log.Info("ended job removed", zap.String("job", id))
}
