package config

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

// versionRecord is the row that names the ticket in force.
type versionRecord struct {
	Number int64 `cbor:"1,keyasint"`
}

// ticketRecord is an accepted ticket.
type ticketRecord struct {
	Digest   string `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// version is the version row as read; a zero revision means that it is absent.
type version struct {
	number   int64
	revision int64
}

// refresh brings the newest accepted configuration into force. It fails with
// fault.Unavailable.
func (k *Keeper) refresh(ctx context.Context) error {
	v, err := k.readVersion(ctx)
	if err != nil {
		return err
	}
	cfg := k.Current()
	switch gap := v.number - cfg.Number; {
	case gap <= 0:
		k.adopt(cfg, v.revision, v.number == cfg.Number)
		return nil
	case gap <= maxDelta:
		return k.applyDelta(ctx, cfg, v)
	default:
		return k.loadObjects(ctx, v)
	}
}

func (k *Keeper) readVersion(ctx context.Context) (version, error) {
	rows, err := k.store.Get(ctx, store.ConfigVersionKey)
	if err != nil {
		return version{}, err
	}
	row, ok := rows[store.ConfigVersionKey]
	if !ok {
		return version{}, nil
	}
	var rec versionRecord
	if err := store.Decode(row, &rec); err != nil {
		return version{}, err
	}
	return version{number: rec.Number, revision: row.Revision}, nil
}

// applyDelta fetches the tickets between the configuration in force and v.
func (k *Keeper) applyDelta(ctx context.Context, cfg *structs.Config, v version) error {
	var keys []string
	for n := cfg.Number + 1; n <= v.number; n++ {
		keys = append(keys, store.TicketKey(n))
	}
	rows, err := k.store.Get(ctx, keys...)
	if err != nil {
		return err
	}
	for _, key := range keys {
		t, err := decodeTicket(rows, key)
		if err != nil {
			// An older release accepted what this one can't read; the objects
			// in force don't depend on that.
			return k.loadObjects(ctx, v)
		}
		cfg = ticket.Apply(cfg, t)
	}
	k.adopt(cfg, v.revision, true)
	return nil
}

func decodeTicket(rows map[string]port.Row, key string) (structs.Ticket, error) {
	row, ok := rows[key]
	if !ok {
		return structs.Ticket{}, fault.New(fault.NotFound, "row "+key+" is missing")
	}
	var rec ticketRecord
	if err := store.Decode(row, &rec); err != nil {
		return structs.Ticket{}, err
	}
	return ticket.Parse(rec.Document)
}

// loadObjects reads every object in force. The version row is read again
// afterwards: objects of a ticket accepted meanwhile may be mixed in.
func (k *Keeper) loadObjects(ctx context.Context, v version) error {
	for {
		cfg, err := k.scanObjects(ctx)
		if err != nil {
			return err
		}
		again, err := k.readVersion(ctx)
		if err != nil {
			return err
		}
		if again == v {
			cfg.Number = v.number
			k.adopt(cfg, v.revision, true)
			return nil
		}
		v = again
	}
}

func (k *Keeper) scanObjects(ctx context.Context) (*structs.Config, error) {
	cfg := ticket.Empty()
	workspaces, err := k.store.ScanAll(ctx, store.WorkspacePrefix)
	if err != nil {
		return nil, err
	}
	for _, row := range workspaces {
		var w structs.Workspace
		if err := store.Decode(row, &w); err != nil {
			return nil, err
		}
		cfg.Workspaces[w.Name] = w
	}
	services, err := k.store.ScanAll(ctx, store.ServicePrefix)
	if err != nil {
		return nil, err
	}
	for _, row := range services {
		var s structs.Service
		if err := store.Decode(row, &s); err != nil {
			return nil, err
		}
		cfg.Services[s.Key()] = s
	}
	return cfg, nil
}
