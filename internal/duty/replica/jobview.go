package replica

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// pool returns the pool that the row was stored for.
func (row *JobRow) pool() string { return row.Record.Job.Pool }

// stage orders the rows of a job by how much has been done about them.
func (row *JobRow) stage() int {
	switch {
	case row.Record.State.Ended():
		return 2
	case row.Record.Sequence > 0: // an owner has taken the job
		return 1
	}
	return 0
}

// compareClaims orders the rows of one job by their claim to it, the strongest first.
//
// Of two submissions the one stored first has it. The replica applies changes in the order
// of their versions, so an owner that sees a submission of its pool also sees every earlier
// one, and doesn't take the job if that is for another pool. A record that an owner has
// written has a later version than the submission, but goes before any submission: it tells
// that the job was taken. Records of owners in two pools can only come from builds without
// this order. Of these, one that tells the job's end goes first, as callers may have seen it.
func compareClaims(a, b *JobRow) int {
	if order := cmp.Compare(b.stage(), a.stage()); order != 0 {
		return order
	}
	if a.stage() == 0 {
		return cmp.Compare(a.Version, b.Version)
	}
	return cmp.Or(cmp.Compare(a.Record.Job.SubmittedAt, b.Record.Job.SubmittedAt), cmp.Compare(a.pool(), b.pool()))
}

// NewJobView returns the job of the given rows, at least one, without its cancellation. It
// fails with fault.Invalid if a row can't be decoded.
func NewJobView(rows []port.VersionedRow) (JobView, error) {
	decoded := make([]JobRow, len(rows))
	for i := range rows {
		decoded[i] = JobRow{Partition: rows[i].Partition, Version: rows[i].Version, encoded: rows[i].Value}
		if err := decoded[i].decode(true); err != nil {
			return JobView{}, err
		}
	}
	var v JobView
	v.arrange(decoded)
	return v, nil
}

// arrange replaces the job's rows by the given ones, at least one, and chooses its pool and
// its record. A record that tells the job's end stays even if its row is gone, so that a job
// whose rows are being removed doesn't count as open again.
func (v *JobView) arrange(rows []JobRow) {
	strongest := slices.MinFunc(rows, func(a, b JobRow) int { return compareClaims(&a, &b) })
	if strongest.Record.State.Ended() || !v.Record.State.Ended() {
		v.Record = strongest.Record
	}
	v.Rows, v.Strays = nil, nil
	for i := range rows {
		if rows[i].pool() != v.Record.Job.Pool {
			v.Strays = append(v.Strays, rows[i])
			continue
		}
		v.Rows = append(v.Rows, rows[i])
		if rows[i].Record.Supersedes(&v.Record) {
			v.Record = rows[i].Record
		}
	}
}

// putRow adds a row unless its partition's row is as new or newer. It reports whether the
// partition had none, and whether the job changed. It copies the rows, since views share
// them.
func (v *JobView) putRow(row JobRow) (added, changed bool) {
	rows := slices.Concat(v.Rows, v.Strays)
	i := slices.IndexFunc(rows, func(o JobRow) bool { return o.Partition == row.Partition })
	if i >= 0 && rows[i].Version >= row.Version {
		return false, false
	}
	if i < 0 {
		rows = append(rows, row)
	} else {
		rows[i] = row
	}
	v.arrange(rows)
	return i < 0, true
}

// removeRow removes a partition's row, and reports whether the job has none left.
func (v *JobView) removeRow(partition string) (gone bool) {
	rows := slices.DeleteFunc(slices.Concat(v.Rows, v.Strays), func(row JobRow) bool { return row.Partition == partition })
	if len(rows) == 0 {
		return true
	}
	v.arrange(rows)
	return false
}
