package gangs

import (
	"context"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// spillAfter is how long a job waits in a failure domain before it may go to
// another one that has room. It outlasts several renewals of the summaries.
const spillAfter = 5 * time.Second

// spill hands jobs that wait here to failure domains with room and without a
// queue of their own, one job to each in a round: the summaries lag, and more
// would arrive at places that are taken.
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
		room = append(room[:i], room[i+1:]...)
		d.operate(ctx, e, func(ctx context.Context, o *operation) error {
			return o.move(ctx, to)
		})
	}
}

// roomElsewhere returns the failure domains without queued jobs.
func (d *Domain) roomElsewhere() []port.DomainSummary {
	var out []port.DomainSummary
	for _, s := range d.deps.Elsewhere() {
		if s.Domain != d.grant.Domain && s.QueuedJobs == 0 && s.FreeAccelerators > 0 {
			out = append(out, s)
		}
	}
	return out
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
