package e2e

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/standin/platform"
)

// check waits until every failure domain has an owner and every accepted job has
// ended. It then reports the violations found during the run and compares the
// results that callers received with the records of backend servers and workers.
func (r *chaosRun) check() {
	r.awaitOwners()
	r.awaitJobs()
	for _, s := range r.violations {
		r.t.Error(s)
	}
	runs := r.runsByID()
	counts := make(map[lentilwinchv1.Outcome]int)
	for id, results := range r.results {
		for _, got := range results {
			counts[got.outcome]++
			r.checkResult(id, got, runs[id])
		}
		if nonRepeatable(id) {
			r.checkNonRepeatable(id, results, runs[id])
		}
	}
	r.checkGangs()
	rec := r.platformRecord()
	r.t.Logf("requests %d, results %v, jobs %d, tickets %d, table %+v", len(r.results), counts, len(r.acceptedJobs), len(r.acceptedTickets), rec.Table)
	if counts[lentilwinchv1.Outcome_OUTCOME_DONE] == 0 || len(r.acceptedJobs) == 0 || len(r.acceptedTickets) < 2 {
		r.t.Error("inconclusive run: no completed request, no accepted job or fewer than two accepted tickets")
	}
}

// nonRepeatable reports whether sendRequests sent the request to the service that
// isn't repeatable.
func nonRepeatable(id string) bool {
	return strings.HasPrefix(id, "once-")
}

func (r *chaosRun) runsByID() map[string]int {
	runs := make(map[string]int)
	for _, s := range r.backendRecord().Servers {
		for _, run := range s.Runs {
			runs[run.RequestID]++
		}
	}
	return runs
}

func (r *chaosRun) checkResult(id string, got requestResult, runs int) {
	switch got.outcome {
	case lentilwinchv1.Outcome_OUTCOME_DONE:
		if got.answer != "answer to "+id {
			r.t.Errorf("%s got a wrong answer: %q", id, got.answer)
		}
		if runs == 0 {
			r.t.Errorf("%s was reported done but never ran", id)
		}
	case lentilwinchv1.Outcome_OUTCOME_NOT_RUN:
		if nonRepeatable(id) && runs > 0 {
			r.t.Errorf("%s was reported not run (%s) but ran %d times", id, got.reason, runs)
		}
	case lentilwinchv1.Outcome_OUTCOME_UNKNOWN:
	default:
		if got.err == nil {
			r.t.Errorf("%s got no outcome: %v", id, got)
		}
	}
}

func (r *chaosRun) checkNonRepeatable(id string, results []requestResult, runs int) {
	if runs > 1 {
		r.t.Errorf("%s isn't repeatable but ran %d times", id, runs)
	}
	seen := make(map[lentilwinchv1.Outcome]bool)
	for _, got := range results {
		seen[got.outcome] = true
	}
	if seen[lentilwinchv1.Outcome_OUTCOME_DONE] && seen[lentilwinchv1.Outcome_OUTCOME_NOT_RUN] {
		r.t.Errorf("%s was reported both done and not run: %v", id, results)
	}
}

// awaitJobs waits until every accepted job has ended.
func (r *chaosRun) awaitJobs() {
	for _, id := range r.acceptedJobs {
		r.eventually("the end of "+id, func() bool {
			for _, in := range r.instances {
				if r.hasEnded(in, id) {
					return true
				}
			}
			return false
		})
	}
}

func (r *chaosRun) hasEnded(in *instance, id string) bool {
	ctx, cancel := withTimeout(2 * time.Second)
	defer cancel()
	resp, err := r.api(in).GetJob(ctx, connect.NewRequest(&lentilwinchv1.GetJobRequest{Workspace: "bat-yards-grading", JobId: id}))
	if err != nil {
		return false
	}
	return slices.Contains([]string{"succeeded", "failed", "cancelled", "unplaceable"}, resp.Msg.GetJob().GetState())
}

// attempt is the workers' record of one attempt of a job. started holds the
// start time of each member in Unix nanoseconds. endedUnixNanos is the time at which
// the last of its leases so far was released or expired.
type attempt struct {
	job            string
	number         int
	started        map[string]int64
	succeeded      map[string]bool
	endedUnixNanos int64
	openLeases     int
}

// checkGangs reports attempts that still hold leases and attempts of one job
// that overlap.
func (r *chaosRun) checkGangs() {
	byJob := make(map[string][]*attempt)
	for _, a := range attemptsOf(r.platformRecord()) {
		byJob[a.job] = append(byJob[a.job], a)
	}
	for job, attempts := range byJob {
		slices.SortFunc(attempts, func(a, b *attempt) int { return a.number - b.number })
		for i, a := range attempts {
			if a.openLeases != 0 {
				r.t.Errorf("%s attempt %d still holds %d leases", job, a.number, a.openLeases)
			}
			if i > 0 && firstStart(a) != 0 && firstStart(a) < attempts[i-1].endedUnixNanos {
				r.t.Errorf("%s attempt %d started before attempt %d had ended", job, a.number, attempts[i-1].number)
			}
		}
	}
}

// firstStart returns the attempt's earliest start in Unix nanoseconds, or 0 if no
// member has started.
func firstStart(a *attempt) int64 {
	first := int64(0)
	for _, startedAt := range a.started {
		if first == 0 || startedAt < first {
			first = startedAt
		}
	}
	return first
}

// attemptsOf groups the record's events by attempt. Lease IDs have the form
// workspace/job/attempt/member.
func attemptsOf(rec platform.Record) []*attempt {
	byKey := make(map[string]*attempt)
	var attempts []*attempt
	for _, e := range rec.Events {
		parts := strings.Split(string(e.Lease), "/")
		key := strings.Join(parts[:3], "/")
		a, ok := byKey[key]
		if !ok {
			number, _ := strconv.Atoi(parts[2])
			a = &attempt{job: parts[1], number: number, started: make(map[string]int64), succeeded: make(map[string]bool)}
			byKey[key] = a
			attempts = append(attempts, a)
		}
		a.addEvent(e, fmt.Sprint(parts[3]))
	}
	return attempts
}

func (a *attempt) addEvent(e platform.EventRecord, member string) {
	switch e.Kind {
	case fake.EventLeaseGranted:
		a.openLeases++
	case fake.EventTaskStarted:
		a.started[member] = e.AtUnixNanos
	case fake.EventTaskSucceeded:
		a.succeeded[member] = true
	case fake.EventLeaseReleased, fake.EventLeaseLapsed:
		a.openLeases--
		a.endedUnixNanos = max(a.endedUnixNanos, e.AtUnixNanos)
	}
}
