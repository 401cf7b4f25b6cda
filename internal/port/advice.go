package port

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// PolicyDecision names the queried workers that may run a step.
type PolicyDecision struct {
	// Tickets maps each permitted worker to its ticket, which is valid for all
	// tasks of the step during the worker's current incarnation.
	Tickets map[string]string
	// ValidFor is the lifetime of the tickets, counted from the decision.
	ValidFor time.Duration
}

// PolicyClient is a client of the policy service, which serves one call at a time
// per calling machine.
type PolicyClient interface {
	// Query queries the policy for at most 100 workers. It fails with
	// fault.Overloaded when too many calls are waiting, with fault.Unavailable,
	// and with fault.Uncertain when there was no response.
	Query(ctx context.Context, step work.StepID, workers []string) (PolicyDecision, error)
}
