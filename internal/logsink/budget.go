package logsink

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

// linesPerSecond is how many lines of one event a process writes in a second.
// A pool of 350 workers logs up to 150 starts a second at the peak of its days.
const linesPerSecond = 300

// Budget bounds the lines of each event; events that a job's history needs most
// are never left out.
type Budget struct {
	// Always lists the events without a bound. They come once for each call or
	// job, which the callers bound.
	Always []string
}

// budgeted is a core with a sampled way for most events.
type budgeted struct {
	zapcore.Core
	sampled zapcore.Core
	always  map[string]bool
}

func newBudgeted(core zapcore.Core, budget Budget, leftOut *atomic.Int64) zapcore.Core {
	always := make(map[string]bool, len(budget.Always))
	for _, event := range budget.Always {
		always[event] = true
	}
	return &budgeted{core, sample(core, leftOut), always}
}

func sample(core zapcore.Core, leftOut *atomic.Int64) zapcore.Core {
	count := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			leftOut.Add(1)
		}
	}
	return zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(count))
}

// With implements zapcore.Core.
func (b *budgeted) With(fields []zapcore.Field) zapcore.Core {
	return &budgeted{b.Core.With(fields), b.sampled.With(fields), b.always}
}

// Check implements zapcore.Core.
func (b *budgeted) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if b.always[e.Message] {
		return b.Core.Check(e, ce)
	}
	return b.sampled.Check(e, ce)
}
