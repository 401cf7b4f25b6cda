package fake

import (
	"context"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// Faults configures the faults of a fake. The zero value is healthy.
type Faults struct {
	// Down fails every call with fault.Unavailable before it takes effect.
	Down bool
	// LoseReplies fails every mutation with fault.Uncertain after it took effect
	// or was rejected.
	LoseReplies bool
	// Hang blocks every call until its context ends; a mutation then never
	// takes effect.
	Hang bool
	// Delay is the wait before each call.
	Delay time.Duration
}

// mutationResult returns the result of a mutation, or fault.Uncertain if
// LoseReplies is set.
func (f Faults) mutationResult(err error) error {
	if f.LoseReplies {
		return fault.New(fault.Uncertain, "answer was lost")
	}
	return err
}

// inject applies Hang, Delay and Down to a call. It fails with the code ctxCode if
// ctx ends first, and with fault.Unavailable if Down is set.
func (f Faults) inject(ctx context.Context, operation string, ctxCode fault.Code) error {
	if f.Hang {
		<-ctx.Done()
		return fault.Wrap(ctxCode, operation, ctx.Err())
	}
	if err := wait.For(ctx, f.Delay); err != nil {
		return fault.Wrap(ctxCode, operation, err)
	}
	if f.Down {
		return fault.New(fault.Unavailable, operation+": service is down")
	}
	return nil
}

// faultInjector holds faults that may change at any time and applies them to
// calls.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// beforeRead applies the faults to a call without effects and returns them. It
// fails with fault.Unavailable.
func (i *faultInjector) beforeRead(ctx context.Context, operation string) (Faults, error) {
	f := i.get()
	return f, f.inject(ctx, operation, fault.Unavailable)
}

// beforeMutation applies the faults to a call with effects and returns them. It
// fails with fault.Unavailable, or with fault.Uncertain if ctx ends first.
func (i *faultInjector) beforeMutation(ctx context.Context, operation string) (Faults, error) {
	f := i.get()
	return f, f.inject(ctx, operation, fault.Uncertain)
}
