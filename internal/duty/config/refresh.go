package config

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

// versionRecord is the row that holds the number of the ticket in force.
type versionRecord struct {
	Number int64 `cbor:"1,keyasint"`
}

// ticketRecord is the row of an accepted ticket.
type ticketRecord struct {
	Digest   string `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// version is the version row as read. A zero revision means that the row
// doesn't exist.
type version struct {
	number   int64
	revision int64
}

// refresh brings the newest accepted configuration into force. It fails with
// fault.Unavailable, or with fault.Invalid if a row can't be decoded.
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
	case gap <= maxDeltaTickets:
		return k.applyDelta(ctx, cfg, v)
	default:
		return k.loadObjects(ctx, v)
	}
}

func (k *Keeper) readVersion(ctx context.Context) (version, error) {
	rows, err := k.get(ctx, store.ConfigVersionKey)
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

// applyDelta applies the tickets after the configuration in force up to v.
func (k *Keeper) applyDelta(ctx context.Context, cfg *structs.Config, v version) error {
	next, err := k.withTickets(ctx, cfg, v.number)
	if fault.Is(err, fault.Unavailable) {
		return err
	}
	if err != nil {
		// An older release accepted a ticket that this one can't parse.
		// The objects in force can be loaded without it.
		return k.loadObjects(ctx, v)
	}
	k.adopt(next, v.revision, true)
	return nil
}

// withTickets returns a configuration with the tickets after it up to a number. It fails
// with fault.Unavailable, or with another code if one of them can't be decoded.
func (k *Keeper) withTickets(ctx context.Context, cfg *structs.Config, number int64) (*structs.Config, error) {
	var keys []string
	for n := cfg.Number + 1; n <= number; n++ {
		keys = append(keys, store.TicketKey(n))
	}
	rows, err := k.get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		t, err := decodeTicket(rows, key)
		if err != nil {
			return nil, err
		}
		cfg = ticket.Apply(cfg, t)
	}
	return cfg, nil
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

// loadObjects loads all objects in force. It reads the version row again afterwards. The
// scan may contain some of the objects of tickets that were accepted meanwhile, so these
// tickets are applied to it; they set or remove whole objects. It starts over if they are
// too many or one can't be decoded.
func (k *Keeper) loadObjects(ctx context.Context, v version) error {
	for {
		cfg, err := k.scanObjects(ctx)
		if err != nil {
			return err
		}
		cfg.Number = v.number
		reread, err := k.readVersion(ctx)
		if err != nil {
			return err
		}
		if gap := reread.number - v.number; gap > 0 && gap <= maxDeltaTickets {
			cfg, err = k.withTickets(ctx, cfg, reread.number)
			if fault.Is(err, fault.Unavailable) {
				return err
			}
		}
		if err == nil && cfg.Number == reread.number {
			k.adopt(cfg, reread.revision, true)
			return nil
		}
		v = reread
	}
}

// get reads rows within ReadTimeout.
func (k *Keeper) get(ctx context.Context, keys ...string) (map[string]port.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, k.settings.ReadTimeout)
	defer cancel()
	return k.store.Get(ctx, keys...)
}

func (k *Keeper) scanObjects(ctx context.Context) (*structs.Config, error) {
	cfg := ticket.EmptyConfig()
	workspaces, err := k.store.ScanAll(ctx, store.WorkspacePrefix, k.settings.ReadTimeout)
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
	services, err := k.store.ScanAll(ctx, store.ServicePrefix, k.settings.ReadTimeout)
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
	evacuated, err := k.store.ScanAll(ctx, store.EvacuatedPrefix, k.settings.ReadTimeout)
	if err != nil {
		return nil, err
	}
	for _, row := range evacuated {
		var d structs.Domain
		if err := store.Decode(row, &d); err != nil {
			return nil, err
		}
		cfg.Evacuated[d.Name] = true
	}
	return cfg, nil
}
