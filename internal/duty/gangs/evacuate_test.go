package gangs_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	otherDomain = "river-yard"
	// evacuatedReason is the reason of a job that waits in the evacuated domain.
	evacuatedReason = "failure domain north-yard is evacuated"
)

// runEvacuation runs a test in virtual time with a failure domain and no owner.
func runEvacuation(t *testing.T, f func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHarness(t, ctx)
		defer h.wg.Wait()
		defer cancel()
		f(t, h)
	})
}

// evacuate replaces the evacuated failure domains.
func (h *harness) evacuate(domains ...string) {
	set := make(map[string]bool)
	for _, name := range domains {
		set[name] = true
	}
	h.evacuated.Store(&set)
}

// submit submits a gang of the guaranteed shape that is pinned to a failure domain,
// or to none.
func (h *harness) submit(id, pin string) structs.JobKey {
	h.t.Helper()
	s := spec(id)
	s.Domain = pin
	_, _, err := h.jobsClient().Submit(h.ctx, s)
	must.NoError(h.t, err)
	return s.Key
}

func (h *harness) job(k structs.JobKey) structs.Job {
	h.t.Helper()
	j, _, err := h.jobsClient().Get(h.ctx, k)
	must.NoError(h.t, err)
	return j
}

// eventsOf counts the events of a kind, including those of fenced calls.
func (h *harness) eventsOf(kind fake.EventKind) int {
	n := 0
	events, _ := h.workers.Events()
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against an owner that starts gangs in an evacuated failure domain or
// stops running ones, against a new owner that does, and against a restoration
// that leaves the pinned job waiting.
func TestPinnedJobWaitsWhileDomainIsEvacuated(t *testing.T) {
	runEvacuation(t, func(t *testing.T, h *harness) {
		kill := h.startOwner(h.table, h.workers)
		running := h.submit("running", domain)
		time.Sleep(5 * time.Second)
		must.Eq(t, structs.JobRunning, h.job(running).State)

		h.evacuate(domain)
		pinned := h.submit("pinned", domain)
		time.Sleep(5 * time.Second)
		kill()
		time.Sleep(takeoverDelay)
		h.startOwner(h.table, h.workers)
		must.Eq(t, structs.JobSucceeded, h.awaitFinalState(running).State)
		time.Sleep(time.Minute)
		j := h.job(pinned)
		must.Eq(t, structs.JobQueued, j.State)
		must.Eq(t, evacuatedReason, j.Reason)
		must.Eq(t, domain, j.Domain)
		must.Eq(t, members, h.eventsOf(fake.EventTaskStarted))
		must.Zero(t, h.eventsOf(fake.EventTaskStopped))

		h.evacuate()
		must.Eq(t, "", h.job(pinned).Reason)
		must.Eq(t, structs.JobSucceeded, h.awaitFinalState(pinned).State)
	})
}

// Guards against a start that is sent although the failure domain was evacuated
// after the decision. Nothing was written yet, so that it counts as no attempt.
func TestStartIsWithdrawnAfterDecision(t *testing.T) {
	runEvacuation(t, func(t *testing.T, h *harness) {
		pinned := h.submit("pinned", domain)
		// The owner reads the summaries during the decision, after it read whether the
		// failure domain is evacuated.
		h.beforeSummaries = func() { h.evacuate(domain) }
		h.startOwner(h.table, h.workers)
		time.Sleep(time.Minute)
		j := h.job(pinned)
		must.Eq(t, structs.JobQueued, j.State)
		must.Zero(t, j.Attempt)
		must.Zero(t, h.eventsOf(fake.EventLeaseGranted))
	})
}

// evacuatingTable evacuates the failure domain before the first commit of a job's
// next state.
type evacuatingTable struct {
	port.Table
	h *harness
}

func (e evacuatingTable) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, store.JobPrefix) {
			e.h.evacuate(domain)
		}
	}
	return e.Table.Commit(ctx, txn)
}

// evacuatingWorkers evacuates the failure domain before the reservation with a
// given number.
type evacuatingWorkers struct {
	port.Workers
	h            *harness
	at           int64
	reservations atomic.Int64
}

func (e *evacuatingWorkers) Reserve(ctx context.Context, w structs.Worker, id structs.LeaseID, n int, ttl time.Duration) error {
	if e.reservations.Add(1) == e.at {
		e.h.evacuate(domain)
	}
	return e.Workers.Reserve(ctx, w, id, n, ttl)
}

// Guards against tasks that start although the failure domain was evacuated during
// the reservation of the gang: in case 0 before the commit, otherwise before the
// reservation of a member. All leases must be released.
func TestReservedGangIsReleased(t *testing.T) {
	for at := range int64(members + 1) {
		t.Run(fmt.Sprint("case ", at), func(t *testing.T) {
			runEvacuation(t, func(t *testing.T, h *harness) {
				pinned := h.submit("pinned", domain)
				if at == 0 {
					h.startOwner(evacuatingTable{Table: h.table, h: h}, h.workers)
				} else {
					h.startOwner(h.table, &evacuatingWorkers{Workers: h.workers, h: h, at: at})
				}
				time.Sleep(time.Minute)
				j := h.job(pinned)
				must.Eq(t, structs.JobQueued, j.State)
				must.Eq(t, 1, j.Attempt)
				must.Zero(t, h.eventsOf(fake.EventTaskStarted))
				must.Eq(t, members, h.eventsOf(fake.EventLeaseGranted))
				must.Eq(t, members, h.eventsOf(fake.EventLeaseReleased))
			})
		})
	}
}

// Guards against jobs that stay in an evacuated failure domain although they are
// pinned to none, against moves to another evacuated domain, and against moves of
// pinned jobs.
func TestUnpinnedJobLeavesEvacuatedDomain(t *testing.T) {
	busy := port.DomainSummary{Domain: otherDomain, QueuedJobs: 7}
	cases := []struct {
		name      string
		pin       string
		evacuated []string
		want      string
	}{
		{"to a domain with a queue", "", []string{domain}, otherDomain},
		{"every domain is evacuated", "", []string{domain, otherDomain}, domain},
		{"pinned", domain, []string{domain}, domain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runEvacuation(t, func(t *testing.T, h *harness) {
				h.otherDomains = []port.DomainSummary{busy}
				h.evacuate(c.evacuated...)
				k := h.submit("job", c.pin)
				h.startOwner(h.table, h.workers)
				time.Sleep(2 * time.Second)
				j := h.job(k)
				must.Eq(t, c.want, j.Domain)
				must.Eq(t, structs.JobQueued, j.State)
			})
		})
	}
}

// Guards against a spill into an evacuated failure domain whose owner still
// publishes its free capacity.
func TestWaitingJobIsNotMovedToEvacuatedDomain(t *testing.T) {
	runEvacuation(t, func(t *testing.T, h *harness) {
		h.otherDomains = []port.DomainSummary{{Domain: otherDomain, FreeAccelerators: 24, LargestBlock: 12}}
		h.evacuate(otherDomain)
		h.startOwner(h.table, h.workers)
		for _, id := range []string{"one", "two", "three"} {
			s := spec(id)
			s.Payload = []byte(longTask)
			_, _, err := h.jobsClient().Submit(h.ctx, s)
			must.NoError(t, err)
		}
		time.Sleep(30 * time.Second)
		must.Eq(t, domain, h.queuedJobDomain())
	})
}

// Guards against decisions with a configuration that isn't known yet. An owner
// that has just started would place gangs in an evacuated failure domain, and end
// jobs as unplaceable because it knows no workspace.
func TestOwnerWithoutConfigDecidesNothing(t *testing.T) {
	runEvacuation(t, func(t *testing.T, h *harness) {
		k := h.submit("job", domain)
		h.configStale.Store(true)
		h.startOwner(h.table, h.workers)
		time.Sleep(time.Minute)
		must.Eq(t, structs.JobQueued, h.job(k).State)
		h.configStale.Store(false)
		must.Eq(t, structs.JobSucceeded, h.awaitFinalState(k).State)
	})
}

// Guards against ending a job that fits into no other failure domain as
// unplaceable while one that wasn't tried is evacuated, and against trying
// evacuated ones first.
func TestUnplaceableJobTriesEvacuatedDomainsLast(t *testing.T) {
	const third = "saw-hall"
	for want, evacuated := range map[string][]string{
		third:       {otherDomain},
		otherDomain: {otherDomain, third},
	} {
		t.Run(want, func(t *testing.T) {
			runEvacuation(t, func(t *testing.T, h *harness) {
				h.domains = []string{domain, otherDomain, third}
				h.evacuate(evacuated...)
				s := spec("large")
				s.Members = 100
				_, _, err := h.jobsClient().Submit(h.ctx, s)
				must.NoError(t, err)
				h.startOwner(h.table, h.workers)
				time.Sleep(2 * time.Second)
				j := h.job(s.Key)
				must.Eq(t, want, j.Domain)
				must.Eq(t, structs.JobQueued, j.State)
			})
		})
	}
}

// Guards against an owner that publishes free capacity of an evacuated failure
// domain, to which instances that hear of the evacuation late would send jobs, and
// against a dump that doesn't show the evacuation.
func TestEvacuatedDomainPublishesNoCapacity(t *testing.T) {
	runEvacuation(t, func(t *testing.T, h *harness) {
		h.startOwner(h.table, h.workers)
		time.Sleep(2 * time.Second)
		must.Eq(t, 24, h.owner.Summary().FreeAccelerators)
		must.False(t, h.owner.State().Evacuated)
		h.evacuate(domain)
		h.submit("pinned", domain)
		time.Sleep(2 * time.Second)
		must.Zero(t, h.owner.Summary().FreeAccelerators)
		must.Zero(t, h.owner.Summary().LargestBlock)
		must.True(t, h.owner.State().Evacuated)
		must.Eq(t, evacuatedReason, h.owner.State().Jobs[0].Reason)
	})
}
