package config

import (
	"context"
	"fmt"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

// Accept validates a ticket's document, brings it into force and returns the
// ticket's number. Resending a ticket is idempotent. It fails with
//   - fault.Invalid, listing every problem, if the document is invalid,
//   - fault.Conflict, with the number in force unless it can't be read, if
//     another ticket has the number or the number isn't the next one,
//   - fault.Unavailable, with nothing changed, if the table or a majority of
//     the instances can't be reached,
//   - fault.Uncertain if the ticket may have been accepted.
//
// It also fails with fault.Invalid, without problems, if a stored row can't be
// decoded.
func (k *Keeper) Accept(ctx context.Context, document []byte) (int64, error) {
	t, err := ticket.Parse(document)
	if err != nil {
		return 0, err
	}
	if !k.majorityConnected(k.peers.Live()) {
		return 0, fault.New(fault.Unavailable, "no majority of the instances is connected")
	}
	if err := k.refresh(ctx); err != nil {
		return 0, err
	}
	cfg, revision := k.inForce()
	if t.Number <= cfg.Number {
		return k.alreadyAccepted(ctx, t)
	}
	if err := ticket.Check(cfg, t, k.fleet()); err != nil {
		return 0, err
	}
	return k.commit(ctx, cfg, revision, t, document)
}

// inForce returns the configuration in force and the revision of the version
// row, or 0 if the row doesn't exist or its revision is unknown.
func (k *Keeper) inForce() (*structs.Config, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Current(), k.versionRevision
}

func (k *Keeper) commit(ctx context.Context, cfg *structs.Config, revision int64, t structs.Ticket, document []byte) (int64, error) {
	txn := transaction(t, revision, document)
	newRevision, err := k.store.Commit(ctx, txn)
	switch fault.CodeOf(err) {
	case "":
		k.adopt(ticket.Apply(cfg, t), newRevision, true)
		k.peers.Broadcast(port.PeerMessage{Notice: &port.PeerNotice{ConfigNumber: t.Number}})
		return t.Number, nil
	case fault.Conflict, fault.Uncertain:
		return k.resolve(ctx, t, err)
	default:
		return 0, err
	}
}

// resolve reads the ticket back after a commit that was rejected or whose
// outcome is uncertain.
func (k *Keeper) resolve(ctx context.Context, t structs.Ticket, cause error) (int64, error) {
	if err := k.refresh(ctx); err != nil {
		return 0, fault.Wrap(fault.CodeOf(cause), "ticket could not be read back", cause)
	}
	if k.Current().Number < t.Number {
		return 0, cause
	}
	return k.alreadyAccepted(ctx, t)
}

// alreadyAccepted succeeds if the accepted ticket of this number has the same
// digest. Otherwise it fails with fault.Conflict and the number in force, or, if
// the ticket's row can't be read, with fault.Unavailable or fault.Invalid.
func (k *Keeper) alreadyAccepted(ctx context.Context, t structs.Ticket) (int64, error) {
	rows, err := k.store.Get(ctx, store.TicketKey(t.Number))
	if err != nil {
		return 0, err
	}
	row, ok := rows[store.TicketKey(t.Number)]
	if ok {
		var rec ticketRecord
		if err := store.Decode(row, &rec); err != nil {
			return 0, err
		}
		if rec.Digest == ticket.Digest(t) {
			return t.Number, nil
		}
	}
	number := k.Current().Number
	conflict := fault.New(fault.Conflict, fmt.Sprintf("ticket %d is not the next one: %d is in force", t.Number, number))
	conflict.TicketNumber = number
	return 0, conflict
}

// transaction returns the transaction that accepts a ticket if the version row
// is at revision, or doesn't exist for revision 0.
func transaction(t structs.Ticket, revision int64, document []byte) *store.Txn {
	txn := new(store.Txn)
	txn.Create(store.TicketKey(t.Number), ticketRecord{Digest: ticket.Digest(t), Document: document})
	rec := versionRecord{Number: t.Number}
	if revision == 0 {
		txn.Create(store.ConfigVersionKey, rec)
	} else {
		txn.Update(store.ConfigVersionKey, revision, rec)
	}
	for _, w := range t.Workspaces {
		txn.Put(store.WorkspaceKey(w.Name), w)
	}
	for _, s := range t.Services {
		txn.Put(store.ServiceKey(s.Key()), s)
	}
	for _, d := range t.Domains {
		if d.Evacuated {
			txn.Put(store.EvacuatedKey(d.Name), d)
		} else {
			txn.Delete(store.EvacuatedKey(d.Name))
		}
	}
	for _, name := range t.RemoveWorkspaces {
		txn.Delete(store.WorkspaceKey(name))
	}
	for _, r := range t.RemoveServices {
		txn.Delete(store.ServiceKey(structs.ServiceKey(r)))
	}
	return txn
}

// Ticket returns the number and document of an accepted ticket. Number 0
// selects the newest one. It fails with fault.NotFound, also if no ticket has been
// accepted yet, with fault.Unavailable, and with fault.Invalid if a row can't be
// decoded.
func (k *Keeper) Ticket(ctx context.Context, number int64) (int64, []byte, error) {
	if number == 0 {
		v, err := k.readVersion(ctx)
		if err != nil {
			return 0, nil, err
		}
		number = v.number
	}
	rows, err := k.store.Get(ctx, store.TicketKey(number))
	if err != nil {
		return 0, nil, err
	}
	row, ok := rows[store.TicketKey(number)]
	if !ok {
		return 0, nil, fault.New(fault.NotFound, fmt.Sprintf("ticket %d doesn't exist", number))
	}
	var rec ticketRecord
	if err := store.Decode(row, &rec); err != nil {
		return 0, nil, err
	}
	return number, rec.Document, nil
}
