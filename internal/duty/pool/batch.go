package pool

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// batch collects job records for one transaction within the store's limits.
type batch struct {
	partition string
	maxRows   int
	bytesLeft int
	records   []work.Record
	txn       port.RowTxn
}

func (o *Owner) newBatch(partition string) *batch {
	limits := o.deps.Store.Limits()
	maxRows := limits.Entries / entriesPerRow
	if n, ok := o.writer.maxRows[partition]; ok {
		maxRows = min(maxRows, n)
	}
	return &batch{
		partition: partition, maxRows: maxRows, bytesLeft: limits.TxnBytes,
		txn: port.RowTxn{ExpectedVersions: map[port.RowKey]int64{}, Puts: map[port.RowKey][]byte{}},
	}
}

func (b *batch) full() bool { return len(b.records) >= b.maxRows }

// add adds a record with the version that its row must have, and reports whether there
// was space for its encoded value.
func (b *batch) add(rec work.Record, version int64, value []byte) bool {
	if b.full() || len(value) > b.bytesLeft {
		return false
	}
	key := replica.JobKeyIn(b.partition, rec.Job.ID)
	b.txn.ExpectedVersions[key], b.txn.Puts[key] = version, value
	b.records = append(b.records, rec)
	b.bytesLeft -= len(value)
	return true
}

// encodeWithinLimits encodes a record for the store. If it is too large, it is stored
// without the checkpoints, which only save work, and then without the placements. Without
// those the next owner has to be told that the stored placements are incomplete; until
// that is stored, the result is nil. The announcement stays until the record fits. It fails
// with fault.Internal, or with fault.Invalid if the record is too large even so.
func (o *Owner) encodeWithinLimits(ctx context.Context, rec *work.Record) ([]byte, error) {
	limit := o.deps.Store.Limits().ValueBytes
	value, err := work.Encode(rec)
	if err != nil {
		return nil, err
	}
	if len(value) <= limit {
		o.earlyStarts.fits(rec.Job.ID, o.planSequence)
		return value, nil
	}
	smaller := *rec
	smaller.Steps = make([]work.StepProgress, len(rec.Steps))
	for i, s := range rec.Steps {
		s.Checkpoints = nil
		smaller.Steps[i] = s
	}
	value, err = work.Encode(&smaller)
	if err != nil || len(value) <= limit {
		return value, err
	}
	for i := range smaller.Steps {
		smaller.Steps[i].Placed = nil
	}
	value, err = work.Encode(&smaller)
	if err != nil {
		return nil, err
	}
	if len(value) > limit {
		return nil, fault.New(fault.Invalid, "the record exceeds the store's limit of a row")
	}
	o.earlyStarts.sent(rec.Job.ID, neverStored)
	o.recorded.Store(false)
	if !o.announcement.stored {
		o.announceEarlyStarts(ctx, o.now())
		return nil, nil
	}
	return value, nil
}
