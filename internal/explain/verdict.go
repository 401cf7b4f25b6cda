package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/duty/intake"
	"github.com/lentilwinch/lentilwinch/internal/planner"
)

// Outcome is what became of a job as far as the logs tell.
type Outcome string

// The outcomes.
const (
	Rejected  Outcome = "rejected"
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	Open      Outcome = "open"
)

// Verdict says how a job ended and what took its time.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	// Late is set where the job took longer than its objective.
	Late bool `json:"late"`
	// Took is the time from acceptance to the stored end; 0 where either is
	// missing.
	Took      time.Duration `json:"took_ns"`
	Objective time.Duration `json:"objective_ns"`
	// Reasons are what explains the outcome, the weightiest first.
	Reasons []string `json:"reasons"`
}

// facts are what one pass over a job's lines gathers.
type facts struct {
	accepted, queued, started, ended, stored time.Time
	objective                                time.Duration
	final                                    Outcome
	rejections                               []string
	failedOn                                 []string
	lost                                     map[string]float64
	rejectedStarts, unanswered, stalled      int
	preemptedFor                             []string
	inherited                                bool
}

func judge(own []Line) Verdict {
	f := gather(own)
	v := Verdict{Outcome: f.final, Objective: f.objective}
	end := f.stored
	if end.IsZero() {
		end = f.ended
	}
	if !f.accepted.IsZero() && !end.IsZero() {
		v.Took = end.Sub(f.accepted)
		v.Late = f.final == Completed && v.Took > f.objective
	}
	switch {
	case f.final == Rejected:
		v.Reasons = f.rejections
	case f.final == Failed:
		v.Reasons = append([]string{fmt.Sprintf("its budget of attempts was used up: runs failed on %s", strings.Join(f.failedOn, ", "))}, f.delays()...)
	case f.final == Cancelled:
		v.Reasons = append([]string{"its caller cancelled it"}, f.delays()...)
	default:
		v.Reasons = f.delays()
	}
	return v
}

func gather(own []Line) *facts {
	f := &facts{final: Open, lost: map[string]float64{}}
	for i := range own {
		f.take(&own[i])
	}
	if f.final == Open && f.accepted.IsZero() && len(f.rejections) > 0 {
		f.final = Rejected
	}
	return f
}

func first(at *time.Time, line *Line) {
	if at.IsZero() {
		*at = line.At
	}
}

func (f *facts) take(line *Line) {
	switch line.Event {
	case intake.EventAccepted:
		first(&f.accepted, line)
		f.objective = line.duration("objective")
	case intake.EventRejected, intake.EventNotAccepted, eventCallFailed:
		f.reject(line)
	case eventQueued:
		first(&f.queued, line)
		if inherited, _ := line.Fields["inherited"].(bool); inherited {
			f.inherited = true
		}
	case eventStart, planner.EventRunAdopted:
		first(&f.started, line)
	case planner.EventJobCompleted:
		f.final, f.ended = Completed, line.At
	case planner.EventJobFailed:
		f.final, f.ended = Failed, line.At
	case planner.EventJobCancelled, intake.EventCancelled:
		if f.final == Open {
			f.final, f.ended = Cancelled, line.At
		}
	case eventStored:
		if state := line.text("state"); state == string(Completed) || state == string(Failed) {
			first(&f.stored, line)
		}
	default:
		f.takeTrouble(line)
	}
}

func (f *facts) takeTrouble(line *Line) {
	switch line.Event {
	case planner.EventRunFailed:
		f.failedOn = append(f.failedOn, line.text("worker"))
	case planner.EventWorkLost:
		f.lost[line.text("detail")] += line.number("core_seconds")
	case planner.EventStartRejected:
		f.rejectedStarts++
	case planner.EventStartUnanswered:
		f.unanswered++
	case planner.EventRunStalled:
		f.stalled++
	case planner.EventPreempted:
		f.preemptedFor = append(f.preemptedFor, strings.TrimPrefix(line.text("detail"), "for "))
	}
}

func (f *facts) reject(line *Line) {
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

// noticeable is the part of a job's time from which a delay is named.
const noticeable = 250 * time.Millisecond

// delays names what took the job's time, the longest first.
func (f *facts) delays() []string {
	type delay struct {
		took time.Duration
		what string
	}
	var found []delay
	add := func(from, to time.Time, what string) {
		if took := to.Sub(from); !from.IsZero() && !to.IsZero() && took >= noticeable {
			found = append(found, delay{took, fmt.Sprintf("%s %s", took.Round(time.Millisecond), what)})
		}
	}
	add(f.accepted, f.queued, "until the pool's owner knew the job: the store or its feed was slow, or there was no owner")
	why := "until the first start: no room, or a takeover was under way"
	if f.inherited {
		why = "until the first start or until the next owner adopted it"
	}
	add(f.queued, f.started, why)
	add(f.started, f.ended, "from the first start to the last end")
	add(f.ended, f.stored, "until the end was stored: the store was away or slow")
	slices.SortStableFunc(found, func(a, b delay) int { return int(b.took - a.took) })
	var out []string
	for _, d := range found {
		out = append(out, d.what)
	}
	return append(out, f.troubles()...)
}

func (f *facts) troubles() []string {
	var out []string
	if n := len(f.preemptedFor); n > 0 {
		slices.Sort(f.preemptedFor)
		out = append(out, fmt.Sprintf("preempted for %s", strings.Join(slices.Compact(f.preemptedFor), ", ")))
	}
	if n := len(f.failedOn); n > 0 && f.final != Failed {
		out = append(out, fmt.Sprintf("%d runs failed, on %s", n, strings.Join(f.failedOn, ", ")))
	}
	for _, t := range []struct {
		n    int
		what string
	}{{f.stalled, "runs stood still"}, {f.rejectedStarts, "starts were rejected by workers"}, {f.unanswered, "starts got no answer"}} {
		if t.n > 0 {
			out = append(out, fmt.Sprintf("%d %s", t.n, t.what))
		}
	}
	for _, cause := range sortedKeys(f.lost) {
		out = append(out, fmt.Sprintf("%.0f core-seconds of its work were lost: %s", f.lost[cause], cause))
	}
	return out
}
