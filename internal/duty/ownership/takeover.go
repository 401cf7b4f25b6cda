package ownership

import (
	"context"
	"maps"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// reconcile updates the grants to match the owner rows. A row with this
// incarnation is a grant even if the reply to the takeover was lost, because
// no other process writes this incarnation.
func (o *Ownership) reconcile(owners map[string]ownerRow) {
	var events []Event
	o.mu.Lock()
	o.owners = owners
	for domain, grant := range o.grants {
		if owners[domain].Incarnation != o.incarnation || owners[domain].revision != grant.Revision {
			delete(o.grants, domain)
			events = append(events, Event{Kind: EventLost, Grant: grant})
		}
	}
	for domain, owner := range owners {
		_, granted := o.grants[domain]
		_, releasing := o.releasing[domain]
		if owner.Incarnation == o.incarnation && !granted && !releasing {
			grant := owner.grant(domain)
			o.grants[domain] = grant
			events = append(events, Event{Kind: EventGained, Grant: grant})
		}
	}
	incarnation := o.incarnation
	o.mu.Unlock()
	for domain := range o.releasing {
		if owners[domain].Incarnation != incarnation {
			delete(o.releasing, domain)
		}
	}
	for _, event := range events {
		o.events.TryPush(event)
	}
}

// takeOverVacant takes over each failure domain that has been vacant for at least
// this process's candidate delay, so that better candidates come first.
func (o *Ownership) takeOverVacant(ctx context.Context, v view, now time.Time) {
	for _, domain := range v.domains {
		if !v.vacant(domain) {
			delete(o.vacantSince, domain)
			continue
		}
		since, ok := o.vacantSince[domain]
		if !ok {
			since = now
			o.vacantSince[domain] = now
		}
		position := v.position(domain, o.incarnation)
		if o.draining || position < 0 || now.Sub(since) < o.candidateDelay(position) {
			continue
		}
		if owner, err := o.commitTakeover(ctx, domain, v.owners[domain]); err == nil {
			v.owners[domain] = owner
			o.stableSince = now
			o.reconcile(maps.Clone(v.owners))
		}
	}
}

// candidateDelay returns the delay of the candidate at a position. The best
// candidate, at position 0, has none.
func (o *Ownership) candidateDelay(position int) time.Duration {
	return time.Duration(min(position, maxCandidateDelays)) * o.cfg.CandidateDelay
}

// commitTakeover commits a takeover. It fails with fault.Conflict if another
// process took over first, the previous owner's session is live or this
// process's session has ended, with fault.Unavailable if the table didn't apply
// it in time, and with fault.Uncertain if only the next read can show the result.
func (o *Ownership) commitTakeover(ctx context.Context, domain string, previous ownerRow) (ownerRow, error) {
	owner := Owner{
		Incarnation: o.incarnation,
		Instance:    o.identity.Instance,
		Address:     o.identity.Address,
		Epoch:       previous.Epoch + 1,
	}
	key := store.OwnerKey(domain)
	txn := new(store.Txn).RequirePresent(store.SessionKey(o.incarnation))
	if previous.Incarnation != "" {
		txn.RequireAbsent(store.SessionKey(previous.Incarnation))
	}
	if previous.revision == 0 {
		txn.Create(key, owner)
	} else {
		txn.Update(key, previous.revision, owner)
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	revision, err := o.store.Commit(ctx, txn)
	if err != nil {
		return ownerRow{}, err
	}
	return ownerRow{Owner: owner, revision: revision}, nil
}

// planReleases marks the failure domains to release: all of them when
// draining, otherwise at most one whose handover balances the load.
func (o *Ownership) planReleases(v view, now time.Time) {
	if o.draining {
		for _, grant := range o.Owned() {
			next, _ := v.successor(grant.Domain, o.incarnation)
			// The next successor must be chosen as if this failure domain had
			// moved already, so that the load is spread.
			v.owners[grant.Domain] = ownerRow{Owner: Owner{Incarnation: next.Incarnation}}
			o.markReleasing(grant, next.Instance)
		}
		return
	}
	if now.Sub(o.stableSince) < o.cfg.RebalanceDelay {
		return
	}
	transfer, ok := v.rebalance(o.incarnation)
	if !ok {
		return
	}
	if grant, owned := o.Grant(transfer.domain); owned {
		o.markReleasing(grant, transfer.to.Instance)
		o.stableSince = now
	}
}

// markReleasing removes the grant before the row is written, so that this
// process starts no further work as the owner.
func (o *Ownership) markReleasing(grant Grant, next string) {
	o.releasing[grant.Domain] = next
	o.mu.Lock()
	delete(o.grants, grant.Domain)
	o.mu.Unlock()
	o.events.TryPush(Event{Kind: EventLost, Grant: grant})
}

// releasePlanned writes the rows of the failure domains being released. The
// next poll retries failed writes after it has read the rows.
func (o *Ownership) releasePlanned(ctx context.Context) {
	for domain, next := range o.releasing {
		err := o.commitRelease(ctx, domain, next)
		if err == nil {
			delete(o.releasing, domain)
		}
		if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Uncertain) {
			return
		}
	}
}

// commitRelease makes the owner row vacant and names the successor in it, if
// next isn't "".
func (o *Ownership) commitRelease(ctx context.Context, domain, next string) error {
	o.mu.Lock()
	previous := o.owners[domain]
	o.mu.Unlock()
	vacant := Owner{Epoch: previous.Epoch, Next: next}
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	revision, err := o.store.Commit(ctx, new(store.Txn).Update(store.OwnerKey(domain), previous.revision, vacant))
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.owners[domain] = ownerRow{Owner: vacant, revision: revision}
	o.mu.Unlock()
	return nil
}
