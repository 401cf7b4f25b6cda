package intake

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/utility"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// maxForecastAge is the age up to which a forecast is used. An owner renews it about
	// twice a second while jobs wait.
	maxForecastAge = 2 * time.Second
	// maxRetryAfter bounds the time after which a caller may retry. What arrives and ends
	// meanwhile isn't known further ahead.
	maxRetryAfter = time.Minute
)

// refusal is the decision that a job's completion could have no value for its caller, with
// the figures that led to it.
type refusal struct {
	scarcest     work.Resource
	wait         time.Duration // the lower bound of the forecast
	age          time.Duration // of the forecast
	criticalPath time.Duration // at its shortest
	useful       time.Duration // after which completion has no value, counted from arrival
	relativeSize float64
	retryAfter   time.Duration // in whole seconds
}

// refuse returns why the job, which has just arrived, is refused because of a forecast of
// the given age, or nil if it isn't. guarantee is the number of accelerators guaranteed to
// the job's workspace. The load that it answers is a queue of work that goes before the job
// and takes longer than its caller can wait. Its threshold is what the caller needs: the
// last time at which completion still has value.
func refuse(job *work.Job, guarantee int64, forecast *work.Forecast, age time.Duration) *refusal {
	if forecast == nil || age < -maxForecastAge || age > maxForecastAge || !mayRefuse(job, guarantee) {
		return nil
	}
	paths := job.CriticalPaths()
	objective := job.Objective(paths)
	if objective <= 0 { // none is set, and its caller waits as long as it takes
		return nil
	}
	first := 0 // the step with which the critical path begins
	for i := range paths {
		if paths[i] > paths[first] {
			first = i
		}
	}
	r := &refusal{
		scarcest: forecast.Scarcest, age: max(age, 0), useful: utility.LastUseful(objective),
		criticalPath: time.Duration(float64(paths[first]) * work.ShortestRun),
	}
	if mean := forecast.MeanWeights[job.Queue]; mean > 0 {
		r.relativeSize = job.Weight() / mean
	}
	figures := utility.Job{Priority: job.Priority, Objective: objective, Remaining: paths[first], Size: r.relativeSize}
	r.wait = forecast.Wait(&job.Steps[first], job.Priority, figures.Rank())
	excess := r.wait - r.age + r.criticalPath - r.useful
	if r.wait == 0 || excess <= 0 {
		return nil
	}
	delay := min(figures.RetryDelay(excess, jitter(job.ID)), maxRetryAfter)
	r.retryAfter = time.Duration(math.Ceil(delay.Seconds())) * time.Second
	return r
}

// mayRefuse reports whether the forecast holds for the job: it runs once, now and to an
// end, and on any workers, and no guarantee may cover it.
func mayRefuse(job *work.Job, guarantee int64) bool {
	if job.Schedule.Count > 0 || job.PolicyControlled {
		return false
	}
	for i := range job.Steps {
		s := &job.Steps[i]
		if s.LongLived || s.BestEffort || s.RequiredLabel != "" {
			return false
		}
		if job.Priority == 0 && s.UnitDemand(work.Accelerators) <= guarantee {
			return false
		}
	}
	return true
}

// jitter returns a number from 0 to 1 that is the same each time for a job.
func jitter(id string) float64 { return float64(xxhash.Sum64String(id)) / math.MaxUint64 }

// checkForecast fails with a *fault.RetryError of code fault.Overloaded if the job is
// refused because of the forecast. A job that is stored, or may be, is never refused: its
// caller sends it again because the response was lost.
func (in *Intake) checkForecast(ctx context.Context, caller Caller, job *work.Job) error {
	r, epoch := in.refusalOf(ctx, job)
	if r == nil {
		return nil
	}
	in.observer.SubmissionRefused(job.Priority, r.scarcest.String())
	in.log.Info(EventRefused, zap.String("job", job.ID), zap.String("queue", job.Queue), zap.Int("priority", job.Priority),
		zap.String("why", fmt.Sprintf("it can't start within %v for lack of %v", r.wait.Round(time.Millisecond), r.scarcest)),
		zap.Duration("forecast", r.wait), zap.Duration("forecast_age", r.age), zap.Int64("epoch", epoch),
		zap.Duration("critical_path", r.criticalPath), zap.Duration("useful_until", r.useful),
		zap.Float64("relative_size", math.Round(r.relativeSize*100)/100), zap.Duration("retry_after", r.retryAfter))
	return r.err()
}

// refusalOf returns why the job is refused because of the forecast, nil if it isn't, and
// the epoch of the forecast.
func (in *Intake) refusalOf(ctx context.Context, job *work.Job) (*refusal, int64) {
	view := in.replica.Pool(job.Pool)
	forecast := view.Forecast()
	if forecast == nil {
		return nil, 0
	}
	r := refuse(job, in.guarantee(job.Workspace), forecast, job.SubmittedAt-forecast.At)
	if r == nil {
		return nil, 0
	}
	if !in.confirmAbsent(ctx, job) {
		return nil, 0
	}
	return r, view.Epoch.Number
}

// err returns the error that tells the caller of the refusal.
func (r *refusal) err() error {
	return &fault.RetryError{RetryAfter: r.retryAfter, Err: fault.New(fault.Overloaded,
		fmt.Sprintf("the job can't start within %v, and would complete too late", r.wait.Round(time.Second)))}
}

// guarantee returns the accelerators guaranteed to a workspace.
func (in *Intake) guarantee(workspace string) int64 {
	if c := in.Config(); c != nil {
		for i := range c.Workspaces {
			if c.Workspaces[i].Name == workspace {
				return c.Workspaces[i].GuaranteedAccelerators
			}
		}
	}
	return 0
}

// Observer receives the events of an intake for metrics. Its methods must not block.
type Observer interface {
	// SubmissionRefused counts a submission that was refused because of the forecast. reason
	// is the name of the scarcest resource.
	SubmissionRefused(priority int, reason string)
}

// noObserver discards all events.
type noObserver struct{}

// SubmissionRefused implements Observer.
func (noObserver) SubmissionRefused(int, string) {}
