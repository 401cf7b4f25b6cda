package pool

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

const (
	// adviceTimeout is how long the policy service may take: its calls of one
	// machine are served one after the other.
	adviceTimeout = 3 * time.Second
	// adviceFirstPause and adviceMostPause space the questions after a failure.
	adviceFirstPause = 100 * time.Millisecond
	adviceMostPause  = 2 * time.Second
)

// advice is the state of asking the policy service, one question at a time.
type advice struct {
	paced
	pause *backoff.ExponentialBackOff
}

type adviceResult struct {
	askedAt  time.Duration
	question planner.Question
	answer   port.Advice
	err      error
}

func (a *advice) init() {
	a.pause = backoff.NewExponentialBackOff()
	a.pause.InitialInterval, a.pause.MaxInterval = adviceFirstPause, adviceMostPause
}

// askAdvice sends the next question, unless one is under way.
func (o *Owner) askAdvice(ctx context.Context, now time.Duration) {
	if !o.advice.may(now) || o.deps.Advisor == nil {
		return
	}
	q, ok := o.planner.Question(now)
	if !ok {
		return
	}
	o.advice.busy = true
	o.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		answer, err := o.deps.Advisor.Advise(call, q.Step, q.Workers)
		o.send(ctx, event{kind: evAdvised, advice: adviceResult{now, q, answer, err}})
	})
}

func (o *Owner) advised(now time.Duration, r adviceResult) {
	o.advice.busy = false
	if r.err != nil {
		o.advice.resumes = now + o.advice.pause.NextBackOff()
		o.log.Warn("no advice", zap.String("job", r.question.Step.Job), zap.Int("step", r.question.Step.Step),
			zap.Int("workers", len(r.question.Workers)), zap.Error(r.err))
		return
	}
	o.advice.pause.Reset()
	o.planner.Advised(r.askedAt, r.question, r.answer)
}
