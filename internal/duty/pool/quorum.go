package pool

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// An owner learns that it was replaced from the store, or from a worker that its
// successor has called. One that is cut off from the store, together with workers that
// no other instance reaches, learns of it from neither. Therefore, an owner without a
// recently confirmed heartbeat acts only while more than half of its workers answer it,
// and a new owner counts on the end of the previous one only once half of the workers
// have received its fencing token: then one of them would reject the previous owner.

const (
	// authorityTime is how long after it was sent a confirmed heartbeat, or a call that a
	// worker answered, shows that an owner may act. A worker without runs answers each
	// hold after holdWait, by which time the previous one is twice as old.
	authorityTime = 2 * holdWait
	// takeoverTime bounds the time from the moment when an owner loses the store until
	// another instance that reaches it has called the workers.
	takeoverTime = 2500 * time.Millisecond
	// takeoverSlack is by how much a new owner stays below takeoverTime, as its replica
	// may show the previous owner's last heartbeat late.
	takeoverSlack = 300 * time.Millisecond
	// quorumInterval is how often an owner without a confirmed heartbeat checks how many
	// workers answer.
	quorumInterval = planInterval
)

// confirmedAt returns when the last confirmed heartbeat was sent.
func (o *Owner) confirmedAt() time.Duration { return time.Duration(o.heartbeatAt.Load()) }

// mayAct reports whether this owner may renew leases and start tasks: no other owner
// counts on its end yet. Once it may not, only a confirmed heartbeat revives it: a worker
// that has restarted answers it although another owner has taken over.
func (o *Owner) mayAct() bool {
	now, confirmedAt := o.now(), o.confirmedAt()
	unconfirmedFor := now - confirmedAt
	return unconfirmedFor < authorityTime ||
		unconfirmedFor < unconfirmedLimit && now-time.Duration(o.quorumAt.Load()) < authorityTime && confirmedAt >= time.Duration(o.lapsedAt.Load())
}

// needsAnswers reports whether the heartbeat is so late that the workers' answers may soon
// be all that shows that this owner may act. Holds are then shorter, which also makes the
// last renewal before unconfirmedLimit a recent one.
func (o *Owner) needsAnswers() bool {
	return o.now()-o.confirmedAt() >= authorityTime/2
}

// updateQuorum finds out since when more than half of the workers have answered.
func (o *Owner) updateQuorum(now time.Duration) {
	if now-o.quorumCheckedAt < quorumInterval {
		return
	}
	o.quorumCheckedAt = now
	acted := o.mayAct() // before this update, which may come late
	if answeredAt := o.answeredAt(); len(answeredAt) > 0 {
		slices.Sort(answeredAt)
		o.quorumAt.Store(int64(answeredAt[(len(answeredAt)-1)/2]))
	}
	acts := acted && o.mayAct()
	if !acts {
		o.lapsedAt.Store(int64(now))
		o.confirmAfter = now
	}
	if acts != o.acted {
		o.acted = acts
		o.log.Warn("no confirmed heartbeat", zap.Bool("acts", acts), zap.Duration("unconfirmed_for", now-o.confirmedAt()),
			zap.Duration("answered_by_half_for", now-time.Duration(o.quorumAt.Load())), zap.Int("workers", len(o.sessions)))
	}
}

// answeredAt returns when each worker was sent the latest call that it answered, 0 for
// those of the stored list that aren't called any more: a successor counts them.
func (o *Owner) answeredAt() []time.Duration {
	out := make([]time.Duration, 0, len(o.sessions))
	for _, s := range o.sessions {
		out = append(out, s.lastAnswered())
	}
	for id := range o.writer.workers.current {
		if o.sessions[id] == nil {
			out = append(out, 0)
		}
	}
	return out
}

// isGlobalOutage reports whether all instances have lost the store: another owner would
// have called one of the workers that have answered since.
func (o *Owner) isGlobalOutage(now time.Duration) bool {
	unavailableFor := o.deps.StoreHealth.UnavailableFor()
	return unavailableFor >= globalOutageAfter && time.Duration(o.quorumAt.Load()) >= now-unavailableFor+takeoverTime
}

// checkFenced finds out whether half of the previous owner's workers have received this
// owner's fencing token. Those that have joined since say nothing of that owner.
func (o *Owner) checkFenced(ctx context.Context, now time.Duration) {
	if o.previous.fenced {
		return
	}
	reported := 0
	for _, id := range o.previous.workers {
		if s := o.sessions[id]; s != nil && s.reported {
			reported++
		}
	}
	if 2*reported >= len(o.previous.workers) {
		o.previousOwnerFenced(ctx, now)
	}
}

// previousOwnerFenced records that a previous owner that is cut off acts no longer than
// for authorityTime. If that comes late, it may have taken its loss of the store for a
// global outage and sent starts whose placements aren't stored.
func (o *Owner) previousOwnerFenced(ctx context.Context, now time.Duration) {
	o.previous.fenced, o.previous.fencedAt = true, now
	late := o.epoch > 1 && !o.previous.stopped && now-o.previous.silentAfter > takeoverTime-takeoverSlack
	o.planner.SetPreviousOwnerFenced(late)
	o.setUnknownLeases()
	if late {
		o.placementsKnown = false
		o.announceEarlyStarts(ctx, now) // the next owner must not take them for complete either
	}
	o.log.Info("previous owner fenced", zap.Duration("after", now-o.firstHoldAt), zap.Bool("late", late), zap.Int("workers", len(o.sessions)))
}

// previousOwnerActsUntil returns the time until which a previous owner may act.
func (o *Owner) previousOwnerActsUntil() time.Duration {
	switch {
	case o.previous.stopped:
		return o.firstHoldAt
	case !o.previous.fenced:
		return o.previous.heardBy + unconfirmedLimit
	}
	return o.previous.fencedAt + authorityTime
}
