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

// check compares what callers were told with what backend servers and workers
// did, once everything has come to rest.
func (r *chaos) check() {
	r.awaitOwners()
	r.awaitJobs()
	for _, s := range r.stale {
		r.t.Error(s)
	}
	runs := r.runsByID()
	counts := make(map[lentilwinchv1.Outcome]int)
	for id, tellings := range r.told {
		for _, got := range tellings {
			counts[got.outcome]++
			r.checkTelling(id, got, runs[id])
		}
		if once(id) {
			r.checkOnce(id, tellings, runs[id])
		}
	}
	r.checkGangs()
	rec := r.platformRecord()
	r.t.Logf("requests %d, tellings %v, jobs %d, tickets %d, table %+v", len(r.told), counts, len(r.jobs), len(r.accepted), rec.Table)
	if counts[lentilwinchv1.Outcome_OUTCOME_DONE] == 0 || len(r.jobs) == 0 || len(r.accepted) < 2 {
		r.t.Error("the run proves nothing: no request, job or ticket succeeded")
	}
}

func once(id string) bool {
	return strings.HasPrefix(id, "once-")
}

func (r *chaos) runsByID() map[string]int {
	out := make(map[string]int)
	for _, s := range r.backendRecord().Servers {
		for _, run := range s.Runs {
			out[run.RequestID]++
		}
	}
	return out
}

func (r *chaos) checkTelling(id string, got told, runs int) {
	switch got.outcome {
	case lentilwinchv1.Outcome_OUTCOME_DONE:
		if got.answer != "answer to "+id {
			r.t.Errorf("%s got another answer: %q", id, got.answer)
		}
		if runs == 0 {
			r.t.Errorf("%s was done but never ran", id)
		}
	case lentilwinchv1.Outcome_OUTCOME_NOT_RUN:
		if once(id) && runs > 0 {
			r.t.Errorf("%s was told not to have run (%s) but ran %d times", id, got.reason, runs)
		}
	case lentilwinchv1.Outcome_OUTCOME_UNKNOWN:
	default:
		if got.err == nil {
			r.t.Errorf("%s got no outcome: %v", id, got)
		}
	}
}

func (r *chaos) checkOnce(id string, tellings []told, runs int) {
	if runs > 1 {
		r.t.Errorf("%s may not be repeated but ran %d times", id, runs)
	}
	seen := make(map[lentilwinchv1.Outcome]bool)
	for _, got := range tellings {
		seen[got.outcome] = true
	}
	if seen[lentilwinchv1.Outcome_OUTCOME_DONE] && seen[lentilwinchv1.Outcome_OUTCOME_NOT_RUN] {
		r.t.Errorf("%s was told both outcomes: %v", id, tellings)
	}
}

// awaitJobs waits until every job that was accepted is at its end.
func (r *chaos) awaitJobs() {
	for _, id := range r.jobs {
		r.eventually("the end of "+id, func() bool {
			for _, in := range r.instances {
				if r.final(in, id) {
					return true
				}
			}
			return false
		})
	}
}

func (r *chaos) final(in *instance, id string) bool {
	ctx, cancel := timeout(2 * time.Second)
	defer cancel()
	resp, err := r.api(in).GetJob(ctx, connect.NewRequest(&lentilwinchv1.GetJobRequest{Workspace: "bat-yards-grading", JobId: id}))
	if err != nil {
		return false
	}
	return slices.Contains([]string{"succeeded", "failed", "cancelled", "unplaceable"}, resp.Msg.GetJob().GetState())
}

// attempt is what workers saw of one attempt of a job.
type attempt struct {
	job       string
	number    int
	started   map[string]int64
	succeeded map[string]bool
	ended     int64
	open      int
}

// checkGangs looks for attempts of one job that overlap and for jobs that ran
// again after an attempt in which all members succeeded.
func (r *chaos) checkGangs() {
	byJob := make(map[string][]*attempt)
	for _, a := range attemptsOf(r.platformRecord()) {
		byJob[a.job] = append(byJob[a.job], a)
	}
	for job, attempts := range byJob {
		slices.SortFunc(attempts, func(a, b *attempt) int { return a.number - b.number })
		for i, a := range attempts {
			if a.open != 0 {
				r.t.Errorf("%s attempt %d still holds %d leases", job, a.number, a.open)
			}
			if i > 0 && firstStart(a) != 0 && firstStart(a) < attempts[i-1].ended {
				r.t.Errorf("%s attempt %d started before attempt %d had ended", job, a.number, attempts[i-1].number)
			}
		}
	}
}

func firstStart(a *attempt) int64 {
	first := int64(0)
	for _, at := range a.started {
		if first == 0 || at < first {
			first = at
		}
	}
	return first
}

func attemptsOf(rec platform.Record) []*attempt {
	byKey := make(map[string]*attempt)
	var out []*attempt
	for _, e := range rec.Events {
		parts := strings.Split(string(e.Lease), "/")
		key := strings.Join(parts[:3], "/")
		a, ok := byKey[key]
		if !ok {
			number, _ := strconv.Atoi(parts[2])
			a = &attempt{job: parts[1], number: number, started: make(map[string]int64), succeeded: make(map[string]bool)}
			byKey[key] = a
			out = append(out, a)
		}
		a.note(e, fmt.Sprint(parts[3]))
	}
	return out
}

func (a *attempt) note(e platform.EventRecord, member string) {
	switch e.Kind {
	case fake.EventLeaseGranted:
		a.open++
	case fake.EventTaskStarted:
		a.started[member] = e.AtUnixNanos
	case fake.EventTaskSucceeded:
		a.succeeded[member] = true
	case fake.EventLeaseReleased, fake.EventLeaseLapsed:
		a.open--
		a.ended = max(a.ended, e.AtUnixNanos)
	}
}
