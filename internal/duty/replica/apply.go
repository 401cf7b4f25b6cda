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
		r.notify(j.Record.Job.Pool, id)
	}
}

func (r *Replica) applyJob(row *port.VersionedRow, id string) error {
	v := r.jobs[id]
	delete(r.undecodable, row.RowKey)
	if row.Deleted {
		if v == nil {
			return nil
		}
		before := v.Record.Job.Pool
		if v.removeRow(row.Partition) {
			delete(r.jobs, id)
			return nil
		}
		r.notifyMoved(v, before)
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
	before := v.Record.Job.Pool
	added, changed := v.putRow(fresh)
	if !changed {
		return nil
	}
	if !r.notifyMoved(v, before) && fresh.pool() == before {
		r.notifyOthers(v, fresh.Record.Epoch())
	}
	if added && fresh.pool() != v.Record.Job.Pool {
		r.notify(fresh.pool(), id)
	}
	return nil
}

// notifyMoved notifies the subscribers of a job's pool, and of the one that it had before,
// if they differ. It reports whether they do.
func (r *Replica) notifyMoved(v *JobView, before string) bool {
	job := &v.Record.Job
	if job.Pool == before {
		return false
	}
	r.notify(before, job.ID)
	r.notify(job.Pool, job.ID)
	return true
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
		for _, row := range slices.Concat(v.Rows, v.Strays) {
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
		v.arrange(rows)
	}
}

// notifyOthers notifies the subscribers other than the owner that wrote the job's row.
func (r *Replica) notifyOthers(v *JobView, epoch int64) {
	for s := range r.subs {
		if s.pool == v.Record.Job.Pool && epoch > 0 && s.epoch != epoch {
			s.ids = append(s.ids, v.Record.Job.ID)
		}
	}
}

// notify notifies the subscribers of a pool of a job.
func (r *Replica) notify(pool, id string) {
	for s := range r.subs {
		if s.pool == pool {
			s.ids = append(s.ids, id)
		}
	}
}
