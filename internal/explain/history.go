package explain

import (
	"slices"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/planner"
)

// Events that the duties log besides the planner's.
const (
	eventCallFailed = "call failed"
	eventQueued     = "job queued"
	eventStored     = "job stored"
	eventStart      = "start"
	eventRunEnded   = "run ended"
)

// poolEvents concern all jobs of a pool.
var poolEvents = []string{
	"ownership gained", "ownership lost", "pool handed over", "pool taken over", "recovery begins",
	planner.EventRecoveryFinished, "former owner over", "suspended, confirming ownership first",
	"handing over, the store is reached through peers only", "beat not confirmed", "dependency lost", "dependency regained",
}

// workerEvents concern all jobs on a worker.
var workerEvents = []string{
	"worker silent", "worker answers", "worker draining", "worker no longer listed",
	planner.EventWorkerLost, planner.EventWorkerRestarted, planner.EventWorkerQuarantined, planner.EventWorkerTrusted,
}

// Entry is one line of a history, or several that are alike.
type Entry struct {
	Line
	// Times is how many lines alike follow each other, for instance the starts
	// of a gang.
	Times int `json:"times"`
	// Context marks what concerns the job's pool or workers, not the job alone.
	Context bool `json:"context,omitempty"`
}

// History is what the logs tell about one job.
type History struct {
	Job     string  `json:"job"`
	Entries []Entry `json:"entries"`
	Verdict Verdict `json:"verdict"`
}

// Explain returns the history of a job. It is empty when no line names it.
func (l *Log) Explain(job string) History {
	h := History{Job: job}
	own, workers := l.about(job)
	if len(own) == 0 {
		return h
	}
	from, to := own[0].At, own[len(own)-1].At
	lines := own
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.At.Before(from) || line.At.After(to) || line.text("job") != "" {
			continue
		}
		if slices.Contains(poolEvents, line.Event) || slices.Contains(workerEvents, line.Event) && workers[line.text("worker")] {
			lines = append(lines, *line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	h.Entries = collapse(lines, job)
	h.Verdict = judge(own)
	return h
}

// about returns the lines that name the job in order of time, and the workers
// that they name.
func (l *Log) about(job string) ([]Line, map[string]bool) {
	var own []Line
	workers := map[string]bool{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.text("job") != job && !strings.Contains(line.text("detail"), job) {
			continue
		}
		own = append(own, *line)
		if w := line.text("worker"); w != "" {
			workers[w] = true
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.At.Compare(b.At) })
	return own, workers
}

// alikeWithin is how far apart lines may be that are shown as one.
const alikeWithin = 300 * time.Millisecond

// collapse joins lines alike that follow each other closely.
func collapse(lines []Line, job string) []Entry {
	var out []Entry
	for _, line := range lines {
		if n := len(out); n > 0 {
			last := &out[n-1]
			if last.Event == line.Event && last.Instance == line.Instance && alike(&last.Line, &line) && line.At.Sub(last.At) < alikeWithin {
				last.Times++
				continue
			}
		}
		context := line.text("job") != job && !strings.Contains(line.text("detail"), job)
		out = append(out, Entry{Line: line, Times: 1, Context: context})
	}
	return out
}

func alike(a, b *Line) bool {
	for _, name := range []string{"job", "state", "why", "how", "detail", "error"} {
		if a.text(name) != b.text(name) {
			return false
		}
	}
	return a.Fields["run"] == b.Fields["run"] && a.Fields["step"] == b.Fields["step"]
}
