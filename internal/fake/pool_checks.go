package fake

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// completedSlack is how long after a job was shown as completed a task may still start.
const completedSlack = time.Second

type lateKey struct{}

// PerformLate marks the calls of a context as performed some time after they were sent.
func PerformLate(ctx context.Context) context.Context { return context.WithValue(ctx, lateKey{}, true) }

func performedLate(ctx context.Context) bool { return ctx.Value(lateKey{}) != nil }

type incarnationKey struct{}

// ForIncarnation limits the calls of a context to one incarnation of a worker. Another one
// doesn't perform them.
func ForIncarnation(ctx context.Context, incarnation int64) context.Context {
	return context.WithValue(ctx, incarnationKey{}, incarnation)
}

// performs reports whether the worker's incarnation performs the calls of ctx. The caller
// holds Pool.mu.
func (w *PoolWorker) performs(ctx context.Context) bool {
	incarnation, limited := ctx.Value(incarnationKey{}).(int64)
	return !limited || incarnation == w.incarnation
}

// errOtherIncarnation is the error of calls that were limited to another incarnation.
var errOtherIncarnation = fault.New(fault.Uncertain, "connection reset")

// success is the end of a run with success. Starts that follow it are violations once it
// is acknowledged before the worker's lease has expired.
type success struct {
	worker       string
	task         work.TaskID
	run          int64
	at           time.Time
	acknowledged time.Time   // zero until then
	starts       []*newStart // after the success and before its acknowledgement
}

// newStart is a start that followed successes of its task. Several of them may be
// acknowledged later; the start is reported once.
type newStart struct {
	text     string
	reported bool
}

// Completed tells the pool that a caller was shown the job as completed.
func (p *Pool) Completed(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.completedAt[job].IsZero() {
		p.completedAt[job] = time.Now()
	}
}

// ForbidStarts makes starts on the workers violations for which forbidden returns true. It
// replaces the last one; nil allows all. Calls of forbidden must not use the pool.
func (p *Pool) ForbidStarts(forbidden func(work.Worker) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forbidden = forbidden
}

// successKey returns the key of a task's successes. One success completes a gang.
func successKey(task work.TaskID, profile *Profile) work.TaskID {
	if profile.GangSize > 0 {
		task.Index = 0
	}
	return task
}

func (p *Pool) addSuccess(w *PoolWorker, r *poolRun) *success {
	s := &success{worker: w.info.ID, task: r.task, run: r.number, at: time.Now()}
	key := successKey(r.task, &r.profile)
	p.successes[key] = append(p.successes[key], s)
	return s
}

// acknowledgeSuccess reports the starts since a success that has now been acknowledged,
// its worker's lease not having expired in between.
func (p *Pool) acknowledgeSuccess(s *success) {
	s.acknowledged = time.Now()
	for _, start := range s.starts {
		if !start.reported {
			start.reported = true
			p.violate("%s after a success that is acknowledged later: %v", start.text, s)
		}
	}
	s.starts = nil
}

// checkStart records violations if the task has an acknowledged success or another run,
// or if its job was shown as completed or the worker is forbidden, by neither of which a
// late order is judged. The start is
// kept with the successes that may still be acknowledged.
func (p *Pool) checkStart(w *PoolWorker, task work.TaskID, run int64, profile *Profile, late bool) {
	now := time.Now()
	start := &newStart{text: fmt.Sprintf("%s: %v run %d starts on %s", stamp(now), task, run, w.info.ID)}
	for _, other := range p.workers {
		other.advance(now)
		if r := other.runs[task]; r != nil {
			start.reported = true
			p.violate("%s while run %d, started at %s, runs on %s, whose lease ends at %s", start.text, r.number, stamp(r.started), other.info.ID, stamp(other.leaseExpiry))
		}
	}
	for _, s := range p.successes[successKey(task, profile)] {
		if s.acknowledged.IsZero() {
			s.starts = append(s.starts, start)
		} else if !start.reported {
			start.reported = true
			p.violate("%s after an acknowledged success: %v", start.text, s)
		}
	}
	if !late && p.forbidden != nil && p.forbidden(w.info) {
		p.violate("%s, where nothing may be started", start.text)
	}
	if shown := p.completedAt[task.Job]; !late && !shown.IsZero() && now.Sub(shown) > completedSlack {
		p.violate("%s after the job was shown as completed at %s", start.text, stamp(shown))
	}
}

func (p *Pool) violate(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// String returns the run, its worker and the times of its end and acknowledgement.
func (s *success) String() string {
	return fmt.Sprintf("run %d of %v on %s ended at %s and was acknowledged at %s, the lease not having lapsed", s.run, s.task, s.worker, stamp(s.at), stamp(s.acknowledged))
}

func stamp(t time.Time) string { return t.UTC().Format("15:04:05.000") }
