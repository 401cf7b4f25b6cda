package replica

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func (r *Replica) apply(rows []port.VersionedRow) {
	for i := range rows {
		if err := r.applyRow(&rows[i]); err != nil {
			r.log.Error("row ignored", zap.String("part", rows[i].Partition), zap.String("key", rows[i].Key), zap.Error(err))
		}
	}
	for s := range r.subs {
		s.wake()
	}
}

// poolOf returns the view of the pool whose own rows are in a partition, and adds
// it if it is missing.
func (r *Replica) poolOf(partition string) *PoolView {
	p := r.pools[partition]
	if p == nil {
		p = &PoolView{}
		r.pools[partition] = p
	}
	return p
}

func (r *Replica) applyRow(row *port.VersionedRow) error {
	if id, ok := strings.CutPrefix(row.Key, jobPrefix); ok {
		return r.applyJob(row, id)
	}
	if id, ok := strings.CutPrefix(row.Key, cancelPrefix); ok {
		r.applyCancel(row, id)
		return nil
	}
	if name, ok := strings.CutPrefix(row.Key, instancePrefix); ok {
		return r.applyInstance(row, name)
	}
	p := r.poolOf(row.Partition)
	switch row.Key {
	case HeartbeatKey:
		p.HeartbeatVersion = row.Version
		var earlier heartbeatRecord
		if work.Decode(row.Value, &earlier) == nil { // else it is a name
			p.SettledEpoch = earlier.SettledEpoch
		}
		return nil
	case OwnerKey:
		err := decodeInto(row.Value, &p.Owner)
		if err == nil && p.Owner.Settled {
			p.SettledEpoch = p.Owner.Epoch
		}
		return err
	case EpochKey:
		p.EpochVersion = row.Version
		return decodeInto(row.Value, &p.Epoch)
	case WorkersKey:
		p.WorkersVersion = row.Version
		return decodeInto(row.Value, &p.Workers)
	case EarlyStartsKey:
		p.EarlyStartsVersion = row.Version
		return decodeInto(row.Value, &p.EarlyStartEpoch)
	case SpeedsKey:
		return decodeInto(row.Value, &p.Speeds)
	case CapacityKey:
		return decodeInto(row.Value, &p.Capacity)
	}
	return fault.New(fault.Invalid, "unknown key")
}

// decodeInto replaces all of into, including fields that the row omits.
func decodeInto[T any](value []byte, into *T) error {
	var fresh T
	err := work.Decode(value, &fresh)
	if err == nil {
		*into = fresh
	}
	return err
}

func (r *Replica) applyInstance(row *port.VersionedRow, name string) error {
	delete(r.instances, name)
	if row.Deleted {
		return nil
	}
	var instance Instance
	err := work.Decode(row.Value, &instance)
	if err == nil {
		r.instances[name] = instance
	}
	return err
}

func (r *Replica) applyCancel(row *port.VersionedRow, id string) {
	if row.Deleted {
		delete(r.cancelled, id)
		return
	}
	r.cancelled[id] = true
	if j := r.jobs[id]; j != nil {
		j.Cancelled = true
		r.notify(j)
	}
}

func (r *Replica) applyJob(row *port.VersionedRow, id string) error {
	v := r.jobs[id]
	delete(r.undecodable, row.RowKey)
	if row.Deleted {
		if v != nil {
			v.Rows = slices.DeleteFunc(slices.Clone(v.Rows), func(o JobRow) bool { return o.Partition == row.Partition })
			if len(v.Rows) == 0 {
				delete(r.jobs, id)
			}
		}
		return nil
	}
	fresh := JobRow{Partition: row.Partition, Version: row.Version, encoded: row.Value}
	if err := fresh.decode(len(r.subs) > 0); err != nil {
		r.undecodable[row.RowKey] = struct{}{}
		return err
	}
	if v == nil {
		v = &JobView{Cancelled: r.cancelled[id]}
		r.jobs[id] = v
	}
	if !v.putRow(fresh) {
		return nil
	}
	if len(v.Rows) == 1 && v.Record.Job.ID == "" {
		v.Record = fresh.Record
		r.notify(v)
	} else {
		r.notifyOthers(v, fresh.Record.Epoch())
	}
	if fresh.Record.Supersedes(&v.Record) || len(v.Rows) == 1 {
		v.Record = fresh.Record
	}
	return nil
}

// decode decodes the row's record, whole or its summary.
func (row *JobRow) decode(whole bool) error {
	if !whole {
		record, err := work.DecodeSummary(row.encoded)
		row.Record = record
		return err
	}
	row.Record = work.Record{}
	err := work.Decode(row.encoded, &row.Record)
	if err == nil {
		row.encoded = nil
	}
	return err
}

// decodeAll completes the records of all jobs and drops the rows that can't be
// decoded. The replica's lock must be held.
func (r *Replica) decodeAll() {
	for id, v := range r.jobs {
		var rows []JobRow // not in place, as views share the rows
		for _, row := range v.Rows {
			if row.encoded != nil {
				if err := row.decode(true); err != nil {
					r.log.Error("row ignored", zap.String("part", row.Partition), zap.String("job", id), zap.Error(err))
					r.undecodable[JobKeyIn(row.Partition, id)] = struct{}{}
					continue
				}
			}
			rows = append(rows, row)
		}
		if len(rows) == 0 {
			delete(r.jobs, id)
			continue
		}
		v.Rows = rows
		v.chooseRecord()
	}
}

// chooseRecord sets the record to the row's that supersedes the others.
func (v *JobView) chooseRecord() {
	for i := range v.Rows {
		if i == 0 || v.Rows[i].Record.Supersedes(&v.Record) {
			v.Record = v.Rows[i].Record
		}
	}
}

// putRow adds a row unless its partition's row is as new or newer, and reports
// whether it did. It copies the rows, since views share them.
func (v *JobView) putRow(row JobRow) bool {
	rows := slices.Clone(v.Rows)
	for i := range rows {
		if rows[i].Partition == row.Partition {
			if rows[i].Version >= row.Version {
				return false
			}
			rows[i] = row
			v.Rows = rows
			return true
		}
	}
	v.Rows = append(rows, row)
	return true
}

// notifyOthers notifies the subscribers other than the owner that wrote the job's row.
func (r *Replica) notifyOthers(v *JobView, epoch int64) {
	for s := range r.subs {
		if s.pool == v.Record.Job.Pool && epoch > 0 && s.epoch != epoch {
			s.ids = append(s.ids, v.Record.Job.ID)
		}
	}
}

func (r *Replica) notify(v *JobView) {
	for s := range r.subs {
		if s.pool == v.Record.Job.Pool {
			s.ids = append(s.ids, v.Record.Job.ID)
		}
	}
}
