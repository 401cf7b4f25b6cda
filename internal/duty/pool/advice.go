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
	// policyTimeout bounds one call of the policy service, which serves the calls
	// of a machine one after the other.
	policyTimeout = 3 * time.Second
	// policyMinRetryDelay and policyMaxRetryDelay bound the delay between calls
	// after a failure.
	policyMinRetryDelay = 100 * time.Millisecond
	policyMaxRetryDelay = 2 * time.Second
)

// policyCalls is the state of the calls to the policy service, of which at
// most one is in flight.
type policyCalls struct {
	retryGate
	backoff *backoff.ExponentialBackOff
}

type policyResult struct {
	sentAt   time.Duration
	query    planner.PolicyQuery
	decision port.PolicyDecision
	err      error
}

func (c *policyCalls) init() {
	c.backoff = backoff.NewExponentialBackOff()
	c.backoff.InitialInterval, c.backoff.MaxInterval = policyMinRetryDelay, policyMaxRetryDelay
}

// queryPolicy sends the planner's next query to the policy service, unless a
// call is in flight or delayed.
func (o *Owner) queryPolicy(ctx context.Context, now time.Duration) {
	if !o.policy.open(now) || o.deps.PolicyClient == nil {
		return
	}
	q, ok := o.planner.NextPolicyQuery(now)
	if !ok {
		return
	}
	o.policy.inFlight = true
	o.wg.Go(func() {
		call, cancel := context.WithTimeout(ctx, policyTimeout)
		defer cancel()
		decision, err := o.deps.PolicyClient.Query(call, q.Step, q.Workers)
		o.send(ctx, event{kind: evPolicyAnswered, policy: policyResult{now, q, decision, err}})
	})
}

func (o *Owner) policyAnswered(now time.Duration, r policyResult) {
	o.policy.inFlight = false
	if r.err != nil {
		o.policy.retryAt = now + o.policy.backoff.NextBackOff()
		o.log.Warn("no advice", zap.String("job", r.query.Step.Job), zap.Int("step", r.query.Step.Step),
			zap.Int("workers", len(r.query.Workers)), zap.Error(r.err))
		return
	}
	o.policy.backoff.Reset()
	o.planner.HandlePolicyDecision(r.sentAt, r.query, r.decision)
}
