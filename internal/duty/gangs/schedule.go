package gangs

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// idleDecision is the time between two decisions while no job waits. They
	// tell whether the guaranteed shapes still fit.
	idleDecision = 5 * time.Second
	// steadyDecision is the time between two decisions while jobs wait and
	// nothing changes but how long they waited and which workers are usable.
	steadyDecision = time.Second
	// strainedDecision is the least time between two decisions while a
	// guaranteed shape has no place, as the exact search for one then runs to
	// its bound each time.
	strainedDecision = 1500 * time.Millisecond
)

// schedule decides on the queued jobs and begins what was decided.
func (d *Domain) schedule(ctx context.Context) {
	now := time.Now()
	if !d.due(now) {
		return
	}
	d.scheduled = now
	d.changed = false
	d.decidedOn = d.deps.Config()
	s := d.snapshot()
	plan := scheduler.Decide(s)
	d.noteUnheld(plan.Unheld)
	for _, r := range plan.Reclaims {
		d.reclaim(ctx, r)
	}
	for _, st := range plan.Starts {
		d.begin(ctx, &s, st)
	}
	for _, v := range plan.Unplaceable {
		d.unplaceable(ctx, v)
	}
	for _, v := range plan.Waiting {
		if e, ok := d.entries[v.Key]; ok {
			e.reason = v.Reason
			if v.Within && e.promised.IsZero() {
				e.promised = now
			}
		}
	}
	d.spill(ctx, plan.Waiting)
}

// due reports whether a decision could differ from the last one.
func (d *Domain) due(now time.Time) bool {
	since := now.Sub(d.scheduled)
	if !d.hasQueued() {
		return since >= idleDecision
	}
	if len(d.unheld) > 0 && since < strainedDecision {
		return false
	}
	return d.changed || d.decidedOn != d.deps.Config() || since >= steadyDecision
}

// noteUnheld tells at once when guaranteed shapes no longer fit.
func (d *Domain) noteUnheld(unheld []scheduler.Unheld) {
	missing := 0
	for _, u := range unheld {
		missing += u.Missing
	}
	d.deps.Observer.GuaranteesUnheld(d.grant.Domain, missing)
	if !slices.Equal(unheld, d.unheld) {
		for _, u := range unheld {
			d.log.Warn("guarantee_unheld", zap.String("workspace", u.Workspace), zap.Int("missing_gangs", u.Missing))
		}
	}
	d.unheld = unheld
}

func (d *Domain) hasQueued() bool {
	for _, e := range d.entries {
		if e.ready() {
			return true
		}
	}
	return false
}

func (d *Domain) snapshot() scheduler.Snapshot {
	now := time.Now()
	s := scheduler.Snapshot{Domain: d.grant.Domain, BorrowedElsewhere: d.borrowedElsewhere()}
	for _, w := range d.deps.Fleet.Domain(d.grant.Domain) {
		s.Workers = append(s.Workers, scheduler.Worker{
			ID:           w.ID,
			Rack:         w.Rack,
			Accelerators: w.Accelerators,
			Usable:       d.health.usable(w, now),
		})
	}
	for _, e := range d.entries {
		switch {
		case e.job.State != structs.JobQueued:
			s.Gangs = append(s.Gangs, gangOf(e, now))
		case e.ready():
			s.Queued = append(s.Queued, pendingOf(e, now, d.expected(e.job.Spec)))
		}
	}
	for _, w := range d.deps.Config().Workspaces {
		s.Workspaces = append(s.Workspaces, w)
	}
	// Map order is random; the decision must not depend on it.
	slices.SortFunc(s.Gangs, func(a, b scheduler.Gang) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(s.Queued, func(a, b scheduler.Pending) int { return compareKeys(a.Spec.Key, b.Spec.Key) })
	slices.SortFunc(s.Workspaces, func(a, b structs.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// borrowedElsewhere sums the accelerators of lent gangs in other failure
// domains, by workspace.
func (d *Domain) borrowedElsewhere() map[string]int {
	out := make(map[string]int)
	for _, s := range d.deps.Elsewhere() {
		if s.Domain == d.grant.Domain {
			continue
		}
		for workspace, n := range s.Lent {
			out[workspace] += n
		}
	}
	return out
}

func gangOf(e *entry, now time.Time) scheduler.Gang {
	j := e.job
	g := scheduler.Gang{
		Key:          j.Spec.Key,
		Class:        j.Spec.Class,
		Preemptible:  j.Spec.Preemptible,
		Lent:         j.Lent,
		Stopping:     j.State == structs.JobStopping || !e.stopping.IsZero(),
		Expected:     e.expected,
		Accelerators: j.Spec.Accelerators,
		Adjacency:    j.Spec.Adjacency,
	}
	if !j.Started.IsZero() {
		g.Ran = now.Sub(j.Started)
	}
	if !e.stopping.IsZero() {
		g.Stopped = now.Sub(e.stopping)
	}
	for _, m := range j.Members {
		g.Members = append(g.Members, scheduler.Place{Worker: m.Worker, Rack: m.Rack})
	}
	return g
}

func pendingOf(e *entry, now time.Time, expected time.Duration) scheduler.Pending {
	p := scheduler.Pending{
		Spec:     e.job.Spec,
		Waited:   now.Sub(e.queued),
		Expected: expected,
		Avoid:    e.avoid,
	}
	if !e.promised.IsZero() {
		p.Promised = now.Sub(e.promised)
	}
	return p
}

func serviceKey(s structs.JobSpec) structs.ServiceKey {
	return structs.ServiceKey{Workspace: s.Key.Workspace, Name: s.Service}
}

// expected returns the learned run time of a job, or the declared one.
func (d *Domain) expected(s structs.JobSpec) time.Duration {
	if s.Service == "" {
		return s.DeclaredRun
	}
	return d.learned.Expected(serviceKey(s), s.DeclaredRun)
}

func compareKeys(a, b structs.JobKey) int {
	return cmp.Or(strings.Compare(a.Workspace, b.Workspace), strings.Compare(a.ID, b.ID))
}

// begin verifies a start against what was begun before it and starts it. The
// entry holds the places from now on, so that the next decision sees them.
func (d *Domain) begin(ctx context.Context, s *scheduler.Snapshot, st scheduler.Start) {
	e, ok := d.entries[st.Key]
	if !ok || !e.ready() {
		return
	}
	if err := scheduler.Verify(*s, st); err != nil {
		d.log.Warn("start_not_verified", zap.Stringer("job", st.Key), zap.Error(err))
		return
	}
	d.operate(ctx, e, func(ctx context.Context, o *operation) error {
		if err := d.starts.Acquire(ctx, 1); err != nil {
			return err
		}
		defer d.starts.Release(1)
		return o.start(ctx, st)
	})
	e.reason = ""
	e.promised = time.Time{}
	e.expected = d.expected(e.job.Spec)
	e.job = planned(e.job, st)
	s.Gangs = append(s.Gangs, gangOf(e, time.Now()))
}

// planned is the job as it counts in decisions while its start is in progress.
func planned(j structs.Job, st scheduler.Start) structs.Job {
	j.State = structs.JobReserving
	j.Lent = st.Lent
	j.Members = nil
	for _, p := range st.Places {
		j.Members = append(j.Members, structs.Member{Worker: p.Worker, Rack: p.Rack})
	}
	return j
}

func (d *Domain) reclaim(ctx context.Context, r scheduler.Reclaim) {
	e, ok := d.entries[r.Key]
	if !ok || e.busy || e.job.State != structs.JobRunning {
		return
	}
	d.log.Info("gang_reclaimed", zap.Stringer("job", r.Key), zap.Stringer("for", r.For))
	d.stop(ctx, e, structs.JobQueued, "reclaimed for "+r.For.String(), true)
}

// unplaceable hands a job that can never run here to the next failure domain,
// or ends it when none is left.
func (d *Domain) unplaceable(ctx context.Context, v scheduler.Verdict) {
	e, ok := d.entries[v.Key]
	if !ok || e.busy || e.job.State != structs.JobQueued {
		return
	}
	to, ok := d.nextDomain(e.job)
	if !ok {
		d.end(ctx, e, structs.JobUnplaceable, v.Reason)
		return
	}
	d.operate(ctx, e, func(ctx context.Context, o *operation) error {
		o.job.Tried = append(slices.Clone(o.job.Tried), d.grant.Domain)
		return o.move(ctx, to)
	})
}

func (d *Domain) nextDomain(j structs.Job) (string, bool) {
	if j.Spec.Domain != "" {
		return "", false
	}
	for _, name := range d.settings.Domains {
		if name != d.grant.Domain && !tried(j, name) {
			return name, true
		}
	}
	return "", false
}
