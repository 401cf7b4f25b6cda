package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/duty/intake"
	"github.com/lentilwinch/lentilwinch/internal/planner"
)

// Outcome is the outcome of a job according to the logs.
type Outcome string

// The outcomes of a job. Open means that the logs contain no outcome.
const (
	Rejected  Outcome = "rejected"
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	Open      Outcome = "open"
)

// Verdict is the outcome of a job with the causes of its delays.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	// Late is set if the job completed but took longer than its objective. A missing
	// objective counts as 0.
	Late bool `json:"late"`
	// Took is the time from the job's acceptance until its final state was stored
	// or, if no line says so, until the job ended. It is 0 if either time is
	// missing.
	Took time.Duration `json:"took_ns"`
	// Objective is the job's latency objective, counted from its acceptance, or 0
	// if it is missing.
	Objective time.Duration `json:"objective_ns"`
	// Reasons explain the outcome, the most important first.
	Reasons []string `json:"reasons"`
}

// facts holds what a job's lines say about its progress and its disruptions.
type facts struct {
	acceptedAt, queuedAt, startedAt, endedAt, storedAt time.Time
	objective                                          time.Duration
	outcome                                            Outcome
	rejections                                         []string
	failedWorkers                                      []string
	discardedWork                                      map[string]float64 // core-seconds by cause
	rejectedStarts, unansweredStarts, stalledRuns      int
	preemptedFor                                       []string
	withdrawnStarts                                    int
	waitedForEvacuated                                 bool // it fitted only in an evacuated failure domain
	inherited                                          bool // the pool's owner took the job over from a previous one
}

// newVerdict derives the verdict from a job's lines, which are ordered by time.
func newVerdict(lines []Line) Verdict {
	f := collectFacts(lines)
	v := Verdict{Outcome: f.outcome, Objective: f.objective}
	end := f.storedAt
	if end.IsZero() {
		end = f.endedAt
	}
	if !f.acceptedAt.IsZero() && !end.IsZero() {
		v.Took = end.Sub(f.acceptedAt)
		v.Late = f.outcome == Completed && v.Took > f.objective
	}
	switch {
	case f.outcome == Rejected:
		v.Reasons = f.rejections
	case f.outcome == Failed:
		v.Reasons = append([]string{fmt.Sprintf("its budget of attempts was used up: runs failed on %s", strings.Join(f.failedWorkers, ", "))}, f.delays()...)
	case f.outcome == Cancelled:
		v.Reasons = append([]string{"its caller cancelled it"}, f.delays()...)
	default:
		v.Reasons = f.delays()
	}
	return v
}

func collectFacts(lines []Line) *facts {
	f := &facts{outcome: Open, discardedWork: map[string]float64{}}
	for i := range lines {
		f.addLine(&lines[i])
	}
	if f.outcome == Open && f.acceptedAt.IsZero() && len(f.rejections) > 0 {
		f.outcome = Rejected
	}
	return f
}

// setIfZero sets at to the time of the line unless it is set already.
func setIfZero(at *time.Time, line *Line) {
	if at.IsZero() {
		*at = line.At
	}
}

func (f *facts) addLine(line *Line) {
	switch line.Event {
	case intake.EventAccepted:
		setIfZero(&f.acceptedAt, line)
		f.objective = line.duration("objective")
	case intake.EventRejected, intake.EventRefused, intake.EventNotAccepted, eventCallFailed:
		f.addRejection(line)
	case eventQueued:
		setIfZero(&f.queuedAt, line)
		if inherited, _ := line.Fields["inherited"].(bool); inherited {
			f.inherited = true
		}
	case eventStart, planner.EventRunAdopted:
		setIfZero(&f.startedAt, line)
	case planner.EventJobCompleted:
		f.outcome, f.endedAt = Completed, line.At
	case planner.EventJobFailed:
		f.outcome, f.endedAt = Failed, line.At
	case planner.EventJobCancelled, intake.EventCancelled:
		if f.outcome == Open {
			f.outcome, f.endedAt = Cancelled, line.At
		}
	case eventStored:
		if state := line.text("state"); state == string(Completed) || state == string(Failed) {
			setIfZero(&f.storedAt, line)
		}
	default:
		f.addDisruption(line)
	}
}

func (f *facts) addDisruption(line *Line) {
	switch line.Event {
	case planner.EventRunFailed:
		f.failedWorkers = append(f.failedWorkers, line.text("worker"))
	case planner.EventWorkDiscarded:
		f.discardedWork[line.text("detail")] += line.number("core_seconds")
	case planner.EventStartRejected:
		f.rejectedStarts++
	case planner.EventStartUnanswered:
		f.unansweredStarts++
	case planner.EventRunStalled:
		f.stalledRuns++
	case planner.EventStartWithdrawn:
		f.withdrawnStarts++
	case planner.EventJobWaiting:
		f.waitedForEvacuated = f.waitedForEvacuated || strings.HasPrefix(line.text("detail"), planner.CauseEvacuated)
	case planner.EventPreempted:
		f.preemptedFor = append(f.preemptedFor, strings.TrimPrefix(line.text("detail"), "for "))
	}
}

// addRejection records why a submission was rejected. It ignores failed calls of
// other methods.
func (f *facts) addRejection(line *Line) {
	why := line.text("why")
	if why == "" {
		why = line.text("error")
	}
	if line.Event == eventCallFailed {
		if method := line.text("method"); method != "" && method != "POST" {
			return
		}
	}
	why = fmt.Sprintf("%s: %s", line.Event, why)
	if !slices.Contains(f.rejections, why) {
		f.rejections = append(f.rejections, why)
	}
}

// minDelay is the shortest delay that a verdict lists.
const minDelay = 250 * time.Millisecond

// delays describes the phases of the job, the longest first, followed by its
// disruptions.
func (f *facts) delays() []string {
	type delay struct {
		took        time.Duration
		description string
	}
	var delays []delay
	add := func(from, to time.Time, description string) {
		if took := to.Sub(from); !from.IsZero() && !to.IsZero() && took >= minDelay {
			delays = append(delays, delay{took, fmt.Sprintf("%s %s", took.Round(time.Millisecond), description)})
		}
	}
	add(f.acceptedAt, f.queuedAt, "until the pool's owner knew the job: the store or its feed was slow, or there was no owner")
	untilStart := "until the first start: no room, or a takeover was under way"
	if f.inherited {
		untilStart = "until the first start or until the next owner adopted it"
	}
	add(f.queuedAt, f.startedAt, untilStart)
	add(f.startedAt, f.endedAt, "from the first start to the last end")
	add(f.endedAt, f.storedAt, "until the end was stored: the store was away or slow")
	slices.SortStableFunc(delays, func(a, b delay) int { return int(b.took - a.took) })
	var out []string
	for _, d := range delays {
		out = append(out, d.description)
	}
	return append(out, f.disruptions()...)
}

// disruptions describes the events that disrupted the job.
func (f *facts) disruptions() []string {
	var out []string
	if f.waitedForEvacuated {
		out = append(out, "it waited: its "+planner.CauseEvacuated)
	}
	if n := len(f.preemptedFor); n > 0 {
		slices.Sort(f.preemptedFor)
		out = append(out, fmt.Sprintf("preempted for %s", strings.Join(slices.Compact(f.preemptedFor), ", ")))
	}
	if n := len(f.failedWorkers); n > 0 && f.outcome != Failed {
		out = append(out, fmt.Sprintf("%d runs failed, on %s", n, strings.Join(f.failedWorkers, ", ")))
	}
	for _, t := range []struct {
		n           int
		description string
	}{{f.stalledRuns, "runs stood still"}, {f.rejectedStarts, "starts were rejected by workers"}, {f.unansweredStarts, "starts got no answer"},
		{f.withdrawnStarts, "starts were withdrawn, as their failure domain was evacuated"}} {
		if t.n > 0 {
			out = append(out, fmt.Sprintf("%d %s", t.n, t.description))
		}
	}
	for _, cause := range sortedKeys(f.discardedWork) {
		out = append(out, fmt.Sprintf("%.0f core-seconds of its work were lost: %s", f.discardedWork[cause], cause))
	}
	return out
}
