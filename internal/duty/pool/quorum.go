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

// mayAct reports whether this owner may renew leases and start tasks: no other owner
// counts on its end yet.
func (o *Owner) mayAct() bool {
	now := o.now()
	unconfirmedFor := now - time.Duration(o.heartbeatAt.Load())
	return unconfirmedFor < authorityTime ||
		unconfirmedFor < unconfirmedLimit && now-time.Duration(o.quorumAt.Load()) < authorityTime
}

// updateQuorum finds out since when more than half of the workers have answered, unless
// the last heartbeat is confirmed.
func (o *Owner) updateQuorum(now time.Duration) {
	unconfirmedFor := now - time.Duration(o.heartbeatAt.Load())
	if unconfirmedFor < authorityTime-2*quorumInterval || now-o.quorumCheckedAt < quorumInterval {
		return
	}
	o.quorumCheckedAt = now
	answeredAt := make([]time.Duration, 0, len(o.sessions))
	for _, s := range o.sessions {
		answeredAt = append(answeredAt, s.lastAnswered())
	}
	if len(answeredAt) == 0 {
		return
	}
	slices.Sort(answeredAt)
	o.quorumAt.Store(int64(answeredAt[(len(answeredAt)-1)/2]))
	acts := o.mayAct()
	if !acts {
		o.confirmAfter = now // another owner may have taken over; answers alone don't revive this one
	}
	if acts != o.acted {
		o.acted = acts
		o.log.Warn("no confirmed heartbeat", zap.Bool("acts", acts), zap.Duration("unconfirmed_for", unconfirmedFor),
			zap.Duration("answered_by_half_for", now-time.Duration(o.quorumAt.Load())), zap.Int("workers", len(o.sessions)))
	}
}

// isGlobalOutage reports whether all instances have lost the store: another owner would
// have called one of the workers that have answered since.
func (o *Owner) isGlobalOutage(now time.Duration) bool {
	unavailableFor := o.deps.StoreHealth.UnavailableFor()
	return unavailableFor >= globalOutageAfter && time.Duration(o.quorumAt.Load()) >= now-unavailableFor+takeoverTime
}

// checkFenced finds out whether half of the workers have received this owner's fencing
// token.
func (o *Owner) checkFenced(ctx context.Context, now time.Duration) {
	if o.previous.fenced {
		return
	}
	reported, workers := 0, len(o.sessions)
	for _, s := range o.sessions {
		if s.reported {
			reported++
		}
	}
	for id := range o.unlisted {
		if o.sessions[id] == nil {
			workers++
		}
	}
	if 2*reported >= workers {
		o.previousOwnerFenced(ctx, now)
	}
}

// previousOwnerFenced records that a previous owner that is cut off acts no longer than
// for authorityTime. If that comes late, it may have taken its loss of the store for a
// global outage and sent starts whose placements aren't stored.
func (o *Owner) previousOwnerFenced(ctx context.Context, now time.Duration) {
	o.previous.fenced, o.previous.fencedAt = true, now
	late := o.epoch > 1 && !o.previous.stopped && now-o.previous.silentSince > takeoverTime-takeoverSlack
	o.planner.SetPreviousOwnerFenced(late)
	o.planner.SetUnknownLeasesEndAt(o.unknownLeasesEndAt())
	if late {
		o.announceEarlyStarts(ctx, now) // the next owner must not take them for complete either
	}
	o.log.Info("previous owner fenced", zap.Duration("after", now-o.firstHoldAt), zap.Bool("late", late), zap.Int("workers", len(o.sessions)))
}

// previousOwnerActsUntil returns the time until which a previous owner may act. Its last
// heartbeat was confirmed before this owner's claim.
func (o *Owner) previousOwnerActsUntil() time.Duration {
	switch {
	case o.previous.stopped:
		return o.firstHoldAt
	case !o.previous.fenced:
		return o.startedAt + unconfirmedLimit
	}
	return o.previous.fencedAt + authorityTime
}
