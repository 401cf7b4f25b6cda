package port

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Advice tells which of the workers that were asked about may run a step.
type Advice struct {
	// Tickets holds a ticket for each worker that may. It is valid for all tasks
	// of the step during the worker's present life.
	Tickets map[string]string
	// ValidFor is how long the tickets are valid from the answer on.
	ValidFor time.Duration
}

// Advisor asks the policy service. It serves one call at a time for each
// calling machine.
type Advisor interface {
	// Advise asks about at most 100 workers. It fails with fault.Overloaded when
	// too many calls wait, and with fault.Unavailable.
	Advise(ctx context.Context, step work.StepID, workers []string) (Advice, error)
}
