package fake

import (
	"context"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// Faults says how a fake misbehaves. The zero value is healthy.
type Faults struct {
	// Down refuses every call before it has any effect.
	Down bool
	// LoseAnswers lets mutations take effect and then reports them uncertain.
	LoseAnswers bool
	// Hang blocks every call until its context ends; a mutation then never
	// takes effect.
	Hang bool
	// Delay is waited before each call.
	Delay time.Duration
}

// answer replaces a mutation's answer where answers are lost.
func (f Faults) answer(err error) error {
	if f.LoseAnswers {
		return fault.New(fault.Uncertain, "answer was lost")
	}
	return err
}

// await waits and fails as the faults say. A call that is cut off while it
// waits fails with the code cut.
func (f Faults) await(ctx context.Context, what string, cut fault.Code) error {
	if f.Hang {
		<-ctx.Done()
		return fault.Wrap(cut, what, ctx.Err())
	}
	if err := wait.For(ctx, f.Delay); err != nil {
		return fault.Wrap(cut, what, err)
	}
	if f.Down {
		return fault.New(fault.Unavailable, what+": service is down")
	}
	return nil
}

// gate holds faults that may change at any time.
type gate struct {
	mu     sync.Mutex
	faults Faults
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *gate) get() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// enter lets a call without effects pass.
func (g *gate) enter(ctx context.Context, what string) (Faults, error) {
	f := g.get()
	return f, f.await(ctx, what, fault.Unavailable)
}

// enterMutation lets a call with effects pass.
func (g *gate) enterMutation(ctx context.Context, what string) (Faults, error) {
	f := g.get()
	return f, f.await(ctx, what, fault.Uncertain)
}
