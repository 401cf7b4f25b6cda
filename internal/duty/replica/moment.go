package replica

import (
	"context"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/transfer"
)

// moment tells from which version on the replica holds the rows of a single moment. The
// partitions are read one after the other, so that of two rows the later one may be there
// without the earlier one, or the one that was removed first without the other. The
// changes up to a version that the store had after the last partition was read complete
// them.
type moment struct {
	// unknown is set while that version hasn't been read.
	unknown bool
	version int64
}

// scanned records that partitions were read.
func (m *moment) scanned() { m.unknown = true }

// reached reports whether a replica of the given version holds the rows of a single moment.
func (m *moment) reached(version int64) bool { return !m.unknown && version >= m.version }

// readMoment reads the store's version if partitions were read since it was last read. It
// leaves a failure to the next watch.
func (r *Replica) readMoment(ctx context.Context) {
	r.mu.Lock()
	unknown := r.moment.unknown
	r.mu.Unlock()
	if !unknown {
		return
	}
	ctx, _, cancel := transfer.WithStallTimeout(ctx, scanTimeout/2)
	defer cancel()
	_, version, err := r.store.Scan(ctx, Table, "", "", "")
	if err != nil {
		r.log.Info("version of the partitions not read yet", zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moment = moment{version: version}
}
