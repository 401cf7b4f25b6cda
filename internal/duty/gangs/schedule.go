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
	// idleInterval is the time between decisions while no job waits. These
	// decisions check whether the guarantees can still be met.
	idleInterval = 5 * time.Second
	// steadyInterval is the time between decisions while jobs wait and only
	// their waiting time and the set of usable workers change.
	steadyInterval = time.Second
	// unmetInterval is the shortest time between decisions with queued jobs
	// while a guarantee is unmet, because the exact search for a placement then
	// runs to its bound each time.
	unmetInterval = 1500 * time.Millisecond
)

// schedule makes a scheduling decision, if one is due, and starts the resulting
// operations.
func (r *Runner) schedule(ctx context.Context) {
	now := time.Now()
	if !r.decisionDue(now) {
		return
	}
	r.lastSchedule = now
	r.decisionInputChanged = false
	r.lastConfig = r.deps.Config()
	s := r.snapshot()
	plan := scheduler.Decide(s)
	r.recordUnmet(plan.UnmetGuarantees)
	for _, reclaim := range plan.Reclaims {
		r.reclaim(ctx, reclaim)
	}
	for _, st := range plan.Starts {
		r.beginStart(ctx, &s, st)
	}
	for _, v := range plan.Unplaceable {
		r.handleUnplaceable(ctx, v)
	}
	for _, v := range plan.Waiting {
		if e, ok := r.entries[v.Key]; ok {
			e.waitReason = v.Reason
			if v.WaitsForReclaim && e.guaranteedSince.IsZero() {
				e.guaranteedSince = now
			}
		}
	}
	if s.Evacuated {
		r.leaveEvacuated(ctx, plan.Waiting)
	} else {
		r.spill(ctx, plan.Waiting)
	}
}

// decisionDue reports whether a new decision could differ from the last one and
// the interval that applies has passed.
func (r *Runner) decisionDue(now time.Time) bool {
	since := now.Sub(r.lastSchedule)
	if !r.hasQueued() {
		return since >= idleInterval
	}
	if len(r.unmet) > 0 && since < unmetInterval {
		return false
	}
	return r.decisionInputChanged || r.lastConfig != r.deps.Config() || since >= steadyInterval
}

// recordUnmet reports the unmet guarantees to the observer and logs them when
// they change.
func (r *Runner) recordUnmet(unmet []scheduler.UnmetGuarantee) {
	missing := 0
	for _, u := range unmet {
		missing += u.Missing
	}
	r.deps.Observer.GuaranteesUnmet(r.grant.Domain, missing)
	if !slices.Equal(unmet, r.unmet) {
		for _, u := range unmet {
			r.log.Warn("guarantee_unheld", zap.String("workspace", u.Workspace), zap.Int("missing_gangs", u.Missing))
		}
	}
	r.unmet = unmet
}

func (r *Runner) hasQueued() bool {
	for _, e := range r.entries {
		if e.awaitsPlacement() {
			return true
		}
	}
	return false
}

// snapshot returns the inputs of a scheduling decision.
func (r *Runner) snapshot() scheduler.Snapshot {
	now := time.Now()
	s := scheduler.Snapshot{
		Domain:            r.grant.Domain,
		Evacuated:         r.evacuated(),
		BorrowedElsewhere: r.borrowedElsewhere(),
	}
	for _, w := range r.deps.Fleet.Domain(r.grant.Domain) {
		s.Workers = append(s.Workers, scheduler.Worker{
			ID:           w.ID,
			Rack:         w.Rack,
			Accelerators: w.Accelerators,
			Usable:       r.health.usable(w, now),
		})
	}
	for _, e := range r.entries {
		switch {
		case e.job.State != structs.JobQueued:
			s.Gangs = append(s.Gangs, gangOf(e, now))
		case e.awaitsPlacement():
			s.Queued = append(s.Queued, pendingOf(e, now, r.expectedRun(e.job.Spec)))
		}
	}
	for _, w := range r.deps.Config().Workspaces {
		s.Workspaces = append(s.Workspaces, w)
	}
	// The decision must not depend on the random map order.
	slices.SortFunc(s.Gangs, func(a, b scheduler.Gang) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(s.Queued, func(a, b scheduler.Pending) int { return compareKeys(a.Spec.Key, b.Spec.Key) })
	slices.SortFunc(s.Workspaces, func(a, b structs.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// borrowedElsewhere sums the accelerators borrowed in other failure domains, by
// workspace.
func (r *Runner) borrowedElsewhere() map[string]int {
	borrowed := make(map[string]int)
	for _, s := range r.deps.DomainSummaries() {
		if s.Domain == r.grant.Domain {
			continue
		}
		for workspace, n := range s.Borrowed {
			borrowed[workspace] += n
		}
	}
	return borrowed
}

func gangOf(e *entry, now time.Time) scheduler.Gang {
	j := e.job
	g := scheduler.Gang{
		Key:          j.Spec.Key,
		Class:        j.Spec.Class,
		Preemptible:  j.Spec.Preemptible,
		Borrowed:     j.Borrowed,
		Stopping:     j.State == structs.JobStopping || !e.stoppingSince.IsZero(),
		ExpectedRun:  e.expectedRun,
		Accelerators: j.Spec.Accelerators,
		Adjacency:    j.Spec.Adjacency,
	}
	if !j.Started.IsZero() {
		g.Elapsed = now.Sub(j.Started)
	}
	if !e.stoppingSince.IsZero() {
		g.StoppingFor = now.Sub(e.stoppingSince)
	}
	for _, m := range j.Members {
		g.Members = append(g.Members, scheduler.Place{Worker: m.Worker, Rack: m.Rack})
	}
	return g
}

func pendingOf(e *entry, now time.Time, expectedRun time.Duration) scheduler.Pending {
	p := scheduler.Pending{
		Spec:         e.job.Spec,
		QueuedFor:    now.Sub(e.queuedAt),
		ExpectedRun:  expectedRun,
		AvoidWorkers: e.avoidWorkers,
	}
	if !e.guaranteedSince.IsZero() {
		p.GuaranteedFor = now.Sub(e.guaranteedSince)
	}
	return p
}

func serviceKey(s structs.JobSpec) structs.ServiceKey {
	return structs.ServiceKey{Workspace: s.Key.Workspace, Name: s.Service}
}

// expectedRun returns the run time learned for a job's service, or the job's
// declared run time if it has no service or too few runs were recorded.
func (r *Runner) expectedRun(s structs.JobSpec) time.Duration {
	if s.Service == "" {
		return s.DeclaredRun
	}
	return r.estimates.Expected(serviceKey(s), s.DeclaredRun)
}

func compareKeys(a, b structs.JobKey) int {
	return cmp.Or(strings.Compare(a.Workspace, b.Workspace), strings.Compare(a.ID, b.ID))
}

// beginStart verifies a start against the starts made earlier in the decision
// and begins it. The entry occupies its workers from now on, so that the next
// decision accounts for them.
func (r *Runner) beginStart(ctx context.Context, s *scheduler.Snapshot, st scheduler.Start) {
	e, ok := r.entries[st.Key]
	if !ok || !e.awaitsPlacement() {
		return
	}
	if err := scheduler.Verify(*s, st); err != nil {
		r.log.Warn("start_not_verified", zap.Stringer("job", st.Key), zap.Error(err))
		return
	}
	r.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
		if err := r.startSemaphore.Acquire(ctx, 1); err != nil {
			return err
		}
		defer r.startSemaphore.Release(1)
		return o.start(ctx, st)
	})
	e.waitReason = ""
	e.guaranteedSince = time.Time{}
	e.expectedRun = r.expectedRun(e.job.Spec)
	e.job = reservedJob(e.job, st)
	s.Gangs = append(s.Gangs, gangOf(e, time.Now()))
}

// reservedJob returns the job as decisions see it while its start is in
// progress.
func reservedJob(j structs.Job, st scheduler.Start) structs.Job {
	j.State = structs.JobReserving
	j.Borrowed = st.Borrowed
	j.Members = nil
	for _, p := range st.Places {
		j.Members = append(j.Members, structs.Member{Worker: p.Worker, Rack: p.Rack})
	}
	return j
}

func (r *Runner) reclaim(ctx context.Context, reclaim scheduler.Reclaim) {
	e, ok := r.entries[reclaim.Key]
	if !ok || e.busy || e.job.State != structs.JobRunning {
		return
	}
	r.log.Info("gang_reclaimed", zap.Stringer("job", reclaim.Key), zap.Stringer("for", reclaim.For))
	r.stop(ctx, e, structs.JobQueued, "reclaimed for "+reclaim.For.String(), true)
}

// handleUnplaceable moves a job that can never run here to a failure domain it
// hasn't tried, or ends it as unplaceable if there is none or it is pinned.
func (r *Runner) handleUnplaceable(ctx context.Context, v scheduler.Verdict) {
	e, ok := r.entries[v.Key]
	if !ok || e.busy || e.job.State != structs.JobQueued {
		return
	}
	to, ok := r.nextUntriedDomain(e.job)
	if !ok {
		r.finish(ctx, e, structs.JobUnplaceable, v.Reason)
		return
	}
	r.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
		o.job.InfeasibleDomains = append(slices.Clone(o.job.InfeasibleDomains), r.grant.Domain)
		return o.move(ctx, to)
	})
}

// nextUntriedDomain returns the first failure domain in which the job hasn't been
// tried. It returns an evacuated one only if there is no other: the job waits there
// for the end of the evacuation and doesn't end as unplaceable.
func (r *Runner) nextUntriedDomain(j structs.Job) (string, bool) {
	if j.Spec.Domain != "" {
		return "", false
	}
	evacuated := r.deps.Config().Evacuated
	fallback := ""
	for _, name := range r.settings.Domains {
		switch {
		case name == r.grant.Domain || hasTried(j, name):
		case !evacuated[name]:
			return name, true
		case fallback == "":
			fallback = name
		}
	}
	return fallback, fallback != ""
}
