package ownership

import (
	"context"
	"maps"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// reconcile makes the grants match the rows as read. A row that names this
// incarnation is a grant even where the answer to the takeover was lost,
// because nobody else writes that name.
func (o *Ownership) reconcile(owners map[string]record) {
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
		_, leaving := o.releasing[domain]
		if owner.Incarnation == o.incarnation && !granted && !leaving {
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
		o.events.Offer(event)
	}
}

// takeOver takes the vacant failure domains that this process is the best
// candidate for, and those that better candidates left vacant for too long.
func (o *Ownership) takeOver(ctx context.Context, v view, now time.Time) {
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
		if o.draining || position < 0 || now.Sub(since) < o.backupWait(position) {
			continue
		}
		if owner, err := o.take(ctx, domain, v.owners[domain]); err == nil {
			v.owners[domain] = owner
			o.settledSince = now
			o.reconcile(maps.Clone(v.owners))
		}
	}
}

func (o *Ownership) backupWait(position int) time.Duration {
	return time.Duration(min(position, maxBackupSteps)) * o.cfg.Backup
}

// take commits a takeover. It fails with fault.Conflict when another process
// came first, the old owner's session is alive or this one's was ended, and
// with fault.Uncertain when the next read has to tell.
func (o *Ownership) take(ctx context.Context, domain string, old record) (record, error) {
	owner := Owner{
		Incarnation: o.incarnation,
		Instance:    o.self.Instance,
		Address:     o.self.Address,
		Epoch:       old.Epoch + 1,
	}
	key := store.OwnerKey(domain)
	txn := new(store.Txn).RequirePresent(store.SessionKey(o.incarnation))
	if old.Incarnation != "" {
		txn.RequireAbsent(store.SessionKey(old.Incarnation))
	}
	if old.revision == 0 {
		txn.Create(key, owner)
	} else {
		txn.Update(key, old.revision, owner)
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	revision, err := o.store.Commit(ctx, txn)
	if err != nil {
		return record{}, err
	}
	return record{Owner: owner, revision: revision}, nil
}

// planReleases marks what is to be given up: everything when draining, else
// the one failure domain whose handover evens the load out.
func (o *Ownership) planReleases(v view, now time.Time) {
	if o.draining {
		for _, grant := range o.Owned() {
			next, _ := v.successor(grant.Domain, o.incarnation)
			// The next choice counts this one.
			v.owners[grant.Domain] = record{Owner: Owner{Incarnation: next.Incarnation}}
			o.markReleasing(grant, next.Instance)
		}
		return
	}
	if now.Sub(o.settledSince) < o.cfg.Settle {
		return
	}
	t, ok := v.rebalance(o.incarnation)
	if !ok {
		return
	}
	if grant, owned := o.Grant(t.domain); owned {
		o.markReleasing(grant, t.to.Instance)
		o.settledSince = now
	}
}

// markReleasing voids the grant before the row is written, so that nothing is
// begun as the owner any more.
func (o *Ownership) markReleasing(grant Grant, next string) {
	o.releasing[grant.Domain] = next
	o.mu.Lock()
	delete(o.grants, grant.Domain)
	o.mu.Unlock()
	o.events.Offer(Event{Kind: EventLost, Grant: grant})
}

// giveUp writes the rows of the failure domains being released. What fails is
// tried again at the next poll, after the rows were read.
func (o *Ownership) giveUp(ctx context.Context) {
	for domain, next := range o.releasing {
		err := o.vacate(ctx, domain, next)
		if err == nil {
			delete(o.releasing, domain)
		}
		if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Uncertain) {
			return
		}
	}
}

func (o *Ownership) vacate(ctx context.Context, domain, next string) error {
	o.mu.Lock()
	old := o.owners[domain]
	o.mu.Unlock()
	vacant := Owner{Epoch: old.Epoch, Next: next}
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	revision, err := o.store.Commit(ctx, new(store.Txn).Update(store.OwnerKey(domain), old.revision, vacant))
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.owners[domain] = record{Owner: vacant, revision: revision}
	o.mu.Unlock()
	return nil
}
