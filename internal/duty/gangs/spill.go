package gangs

import (
	"context"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// spillAfter is how long a job waits in a failure domain before it may go
	// to another one that has room.
	spillAfter = 5 * time.Second
	// summaryLag bounds how long a job that was handed over is missing from
	// the summary of where it went.
	summaryLag = 3 * time.Second
)

// spill hands jobs that wait here to failure domains with room and without a
// queue of their own. As summaries lag, what was handed over lately counts as
// taken there.
func (d *Domain) spill(ctx context.Context, waiting []scheduler.Verdict) {
	room := d.roomElsewhere()
	now := time.Now()
	for _, v := range waiting {
		if len(room) == 0 {
			return
		}
		e, ok := d.entries[v.Key]
		if !ok || !e.ready() || e.job.Spec.Domain != "" || now.Sub(e.arrived) < spillAfter {
			continue
		}
		i := firstRoom(room, e.job)
		if i < 0 {
			continue
		}
		to := room[i].Domain
		d.spilled.Add(now, to, e.job.Spec.Size())
		room[i] = take(room[i], e.job.Spec.Size())
		d.operate(ctx, e, func(ctx context.Context, o *operation) error {
			return o.move(ctx, to)
		})
	}
}

// roomElsewhere returns the failure domains without queued jobs.
func (d *Domain) roomElsewhere() []port.DomainSummary {
	now := time.Now()
	var out []port.DomainSummary
	for _, s := range d.deps.Elsewhere() {
		if s.Domain != d.grant.Domain && s.QueuedJobs == 0 {
			out = append(out, take(s, d.spilled.Sum(now, s.Domain)))
		}
	}
	return out
}

// take returns a summary with that many accelerators less. The largest block
// stays as it is while that many are free: other racks may have one like it.
func take(s port.DomainSummary, accelerators int) port.DomainSummary {
	s.FreeAccelerators -= accelerators
	s.LargestBlock = min(s.LargestBlock, s.FreeAccelerators)
	return s
}

// firstRoom returns the first failure domain that is likely to hold a job now,
// or -1.
func firstRoom(room []port.DomainSummary, j structs.Job) int {
	for i, s := range room {
		free := s.LargestBlock
		if j.Spec.Adjacency == structs.AdjacencyDomain {
			free = s.FreeAccelerators
		}
		if free >= j.Spec.Size() && !tried(j, s.Domain) {
			return i
		}
	}
	return -1
}

func tried(j structs.Job, domain string) bool {
	return slices.Contains(j.Tried, domain)
}
