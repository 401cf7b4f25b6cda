package pool

import (
	"context"
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// minAnnouncement is how long an announcement of early starts stays at least, so that a
// slow store isn't made to write one after the other.
const minAnnouncement = time.Second

// neverStored is the plan of placements that don't fit into their job's record.
const neverStored = math.MaxInt64

// unrecordedStarts holds, by job, the last plan of which a start was sent before its
// placement was stored. The zero value is ready to use.
type unrecordedStarts struct{ plans map[string]int64 }

// sent records a start of a job that was ordered by the given plan.
func (u *unrecordedStarts) sent(job string, plan int64) {
	if u.plans == nil {
		u.plans = map[string]int64{}
	}
	u.plans[job] = max(u.plans[job], plan)
}

// stored records that a job's record is stored with the placements up to a plan.
func (u *unrecordedStarts) stored(job string, plan int64) {
	if last, ok := u.plans[job]; ok && last <= plan {
		delete(u.plans, job)
	}
}

// fits records that a job's record has space for its placements again, up to a plan.
func (u *unrecordedStarts) fits(job string, plan int64) {
	if u.plans[job] == neverStored {
		u.plans[job] = plan
	}
}

// dropped records that a job has ended and its rows are removed.
func (u *unrecordedStarts) dropped(job string) { delete(u.plans, job) }

// earlyStartAnnouncement is the state of announcing to later owners that starts may
// be sent before their placements are stored.
type earlyStartAnnouncement struct {
	retryGate
	stored   bool
	storedAt time.Duration
	// version is the last known one of the row. Each write expects it, so that one that is
	// performed late can't undo a later one.
	version int64
}

func (o *Owner) earlyStartsKey() port.RowKey { return replica.PoolKey(o.pool, replica.EarlyStartsKey) }

// announceEarlyStarts stores that the placements of this epoch may be incomplete.
func (o *Owner) announceEarlyStarts(ctx context.Context, now time.Duration) {
	if o.announcement.open(now) {
		o.writeAnnouncement(ctx, o.epoch)
	}
}

// withdrawAnnouncement stores that the placements of all epochs are complete. Until it is
// stored, and from then on, no start goes early without a new announcement.
func (o *Owner) withdrawAnnouncement(ctx context.Context) {
	o.announcement.stored = false
	o.writeAnnouncement(ctx, 0)
}

func (o *Owner) writeAnnouncement(ctx context.Context, epoch int64) {
	value, err := work.Encode(epoch)
	if err != nil {
		o.log.Error("epoch can't be encoded", zap.Error(err))
		return
	}
	txn := o.epochTxn(map[port.RowKey][]byte{o.earlyStartsKey(): value})
	txn.ExpectedVersions[o.earlyStartsKey()] = o.announcement.version
	o.announcement.inFlight = true
	o.wg.Go(func() {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		version, err := o.deps.Store.Commit(call, txn)
		o.send(ctx, event{kind: evEarlyStartsAnnounced, commit: commitResult{version: version, err: err}, complete: epoch == 0})
	})
}

func (o *Owner) earlyStartsAnnounced(ev event) {
	a, now := &o.announcement, o.now()
	a.inFlight = false
	var conflict *port.RowConflictError
	if errors.As(ev.commit.err, &conflict) {
		row, found := conflict.Row(o.earlyStartsKey())
		if found && row.Version != a.version { // an earlier write was performed without an answer
			a.version = row.Version
			return
		}
	}
	if ev.commit.err != nil {
		a.retryAt = now + storeRetryDelay
		o.log.Info("early starts could not be announced, starts wait for their records", zap.Bool("withdrawn", ev.complete), zap.Error(ev.commit.err))
		return
	}
	a.version = ev.commit.version
	if ev.complete {
		o.log.Info("all placements are stored")
		return
	}
	a.stored, a.storedAt = true, now
	o.log.Info("starts may go before their placements are stored")
}

// recordAdopted has the placements stored that reports have revealed.
func (o *Owner) recordAdopted() {
	for _, job := range o.planner.TakeUnrecorded() {
		o.planSequence++ // a record that is under way doesn't hold the placement
		o.earlyStarts.sent(job, o.planSequence)
	}
}

// updateRecorded finds out whether all placements are stored, those of previous owners
// included. If so, it withdraws the announcement of early starts: the next owner relies on
// the stored placements then.
func (o *Owner) updateRecorded(ctx context.Context, now time.Duration) {
	o.recordAdopted()
	o.placementsKnown = o.placementsKnown || !o.planner.Recovering()
	recorded := o.placementsKnown && len(o.earlyStarts.plans) == 0
	o.recorded.Store(recorded)
	if recorded && o.announcement.stored && now-o.announcement.storedAt >= minAnnouncement && o.announcement.open(now) {
		o.withdrawAnnouncement(ctx)
	}
}

// recordedAt returns the time of replica.OwnerState.RecordedAt.
func (o *Owner) recordedAt() time.Duration {
	storeNow, known := o.deps.Store.Now()
	if !known || !o.recorded.Load() {
		return 0
	}
	return max(storeNow-(o.now()-o.confirmedAt()), 0)
}

// recordedLately reports whether the previous owner had stored all placements, so lately
// that it can't have taken a loss of the store for a global outage since, in which it
// starts tasks without an announcement.
func (o *Owner) recordedLately() bool {
	storeNow, known := o.deps.Store.Now()
	state := &o.previous.state
	return known && state.Epoch == o.epoch-1 && state.RecordedAt > 0 && storeNow-state.RecordedAt < globalOutageAfter-takeoverSlack
}
