package explain

import (
	"slices"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/planner"
)

// Events logged by package internal/duty/pool and by the HTTP front end in package
// platform, which don't export constants for them.
const (
	eventCallFailed = "call failed"
	eventQueued     = "job queued"
	eventStored     = "job stored"
	eventStart      = "start"
	eventRunEnded   = "run ended"
)

// poolEvents are the events that concern every job of a pool.
var poolEvents = []string{
	"ownership gained", "ownership lost", "pool handed over", "pool taken over", "recovery begins",
	planner.EventRecoveryFinished, "former owner over", "suspended, confirming ownership first", "failure domain evacuated", "failure domain restored",
	"handing over, the store is reached through peers only", "beat not confirmed", "dependency lost", "dependency regained",
}

// workerEvents are the events that concern every job on a worker.
var workerEvents = []string{
	"worker silent", "worker answers", "worker draining", "worker no longer listed",
	planner.EventWorkerLost, planner.EventWorkerRestarted, planner.EventWorkerQuarantined, planner.EventWorkerTrusted,
}

// Entry is a line of a history or a group of similar lines.
type Entry struct {
	Line
	// Count is the number of lines in the group, for instance the starts of a
	// gang.
	Count int `json:"times"`
	// Context is set for events that don't name the job: those of the job's workers
	// and, since pools aren't told apart, of any pool.
	Context bool `json:"context,omitempty"`
}

// History is the history of one job as recorded in the logs.
type History struct {
	Job     string  `json:"job"`
	Entries []Entry `json:"entries"`
	Verdict Verdict `json:"verdict"`
}

// Explain returns the history of a job, from the first line that names it to the
// last. It has no entries if no line names the job.
func (l *Log) Explain(job string) History {
	h := History{Job: job}
	jobLines, workers := l.linesAbout(job)
	if len(jobLines) == 0 {
		return h
	}
	from, to := jobLines[0].At, jobLines[len(jobLines)-1].At
	lines := slices.Clone(jobLines) // sorting the longer list must not move lines of the job
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
	h.Entries = groupSimilar(lines, job)
	h.Verdict = newVerdict(jobLines)
	return h
}

// linesAbout returns the lines that name the job, ordered by time, and the
// workers named in them.
func (l *Log) linesAbout(job string) ([]Line, map[string]bool) {
	var jobLines []Line
	workers := map[string]bool{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.text("job") != job && !strings.Contains(line.text("detail"), job) {
			continue
		}
		jobLines = append(jobLines, *line)
		if w := line.text("worker"); w != "" {
			workers[w] = true
		}
	}
	slices.SortStableFunc(jobLines, func(a, b Line) int { return a.At.Compare(b.At) })
	return jobLines, workers
}

// maxGroupSpan limits the time from the first line of a group to the last.
const maxGroupSpan = 300 * time.Millisecond

// groupSimilar merges consecutive similar lines that an instance logged within
// maxGroupSpan.
func groupSimilar(lines []Line, job string) []Entry {
	var entries []Entry
	for _, line := range lines {
		if n := len(entries); n > 0 {
			last := &entries[n-1]
			if last.Event == line.Event && last.Instance == line.Instance && similar(&last.Line, &line) && line.At.Sub(last.At) < maxGroupSpan {
				last.Count++
				continue
			}
		}
		context := line.text("job") != job && !strings.Contains(line.text("detail"), job)
		entries = append(entries, Entry{Line: line, Count: 1, Context: context})
	}
	return entries
}

// similar reports whether two lines have the same values in the fields that
// distinguish entries of a history.
func similar(a, b *Line) bool {
	for _, name := range []string{"job", "state", "why", "how", "detail", "error"} {
		if a.text(name) != b.text(name) {
			return false
		}
	}
	return a.Fields["run"] == b.Fields["run"] && a.Fields["step"] == b.Fields["step"]
}
