package platform

import (
	"net/http"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Record contains the table counts and the worker events.
type Record struct {
	Table  TableRecord   `json:"table"`
	Events []EventRecord `json:"events"`
	// DroppedEvents counts the events that are missing from Events because the log
	// was full.
	DroppedEvents int64 `json:"dropped_events"`
}

// TableRecord counts the calls to the table service and the rows read and written,
// in the manner of fake.TableCounts.
type TableRecord struct {
	Commits     int64 `json:"commits"`
	RowsWritten int64 `json:"rows_written"`
	Reads       int64 `json:"reads"`
	RowsRead    int64 `json:"rows_read"`
	Conflicts   int64 `json:"conflicts"`
}

// EventRecord is a change of a lease or task on a worker.
type EventRecord struct {
	AtUnixNanos  int64           `json:"at_unix_nanos"`
	Kind         fake.EventKind  `json:"kind"`
	Worker       string          `json:"worker"`
	Lease        structs.LeaseID `json:"lease"`
	Accelerators int             `json:"accelerators"`
}

// Record returns the table counts and the worker events so far.
func (p *Platform) Record() Record {
	events, dropped := p.workers.Events()
	out := Record{
		Table:         TableRecord(p.table.Counts()),
		Events:        make([]EventRecord, 0, len(events)),
		DroppedEvents: dropped,
	}
	for _, e := range events {
		out.Events = append(out.Events, toEventRecord(e))
	}
	return out
}

func toEventRecord(e fake.Event) EventRecord {
	return EventRecord{
		AtUnixNanos:  e.At.UnixNano(),
		Kind:         e.Kind,
		Worker:       e.Worker,
		Lease:        e.Lease,
		Accelerators: e.Accelerators,
	}
}

func (p *Platform) serveRecord(w http.ResponseWriter, _ *http.Request) {
	control.WriteDocument(w, p.Record())
}
