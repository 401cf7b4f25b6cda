package pool

import (
	"maps"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// workerList is what an owner knows of the stored list of workers. The next owner waits
// for the workers in it, so nothing is started on others.
type workerList struct {
	version int64 // of the row
	current map[string]bool
	// writing holds the list of the last write. surely holds what is in the lists of all
	// writes since current whose outcome isn't known; it is nil if there are none.
	writing, surely map[string]bool
}

// reset sets the list to that of a row.
func (l *workerList) reset(version int64, ids []string) {
	*l = workerList{version: version, current: idSet(ids)}
}

// write records a write whose outcome isn't known yet.
func (l *workerList) write(ids []string) {
	l.writing = idSet(ids)
	if l.surely == nil {
		l.surely = l.current
	}
	l.surely = maps.Clone(l.surely)
	maps.DeleteFunc(l.surely, func(id string, _ bool) bool { return !l.writing[id] })
}

// written records that the last write was performed. As each one expects the version
// before it, no earlier write can be performed any more.
func (l *workerList) written(version int64) {
	*l = workerList{version: version, current: l.writing}
}

// contains reports whether a worker is in the list, whichever writes were performed.
func (l *workerList) contains(id string) bool {
	if l.surely != nil {
		return l.surely[id]
	}
	return l.current[id]
}

func idSet(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

func (o *Owner) workersKey() port.RowKey { return replica.PoolKey(o.pool, replica.WorkersKey) }

// workersConflict handles the rejection of a list of workers: an earlier one was stored
// without an answer, or another owner holds the pool.
func (o *Owner) workersConflict(conflict *port.RowConflictError) {
	list := &o.writer.workers
	epoch, found := conflict.Row(o.epochKey())
	row, stored := conflict.Row(o.workersKey())
	if found && epoch.Version != o.epochVersion || !stored || row.Version == list.version {
		o.resign("another owner holds the pool")
		return
	}
	var ids []string
	if err := work.Decode(row.Value, &ids); err != nil {
		o.log.Error("list of workers can't be decoded", zap.Error(err))
	}
	list.reset(row.Version, ids)
	o.writer.workersChanged = true
}
