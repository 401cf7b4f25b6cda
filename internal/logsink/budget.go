package logsink

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

// maxLinesPerSecond limits the lines that a process writes per second for one
// event. A pool of 350 workers logs up to 150 starts per second at peak load.
const maxLinesPerSecond = 300

// Budget limits the rate of log lines per event.
type Budget struct {
	// Unlimited lists the events without a limit, which the history of a job needs
	// most. They are logged once per call or job, so the rate of calls and jobs
	// bounds their rate.
	Unlimited []string
}

// budgetCore is a core that samples all events except the unlimited ones.
type budgetCore struct {
	zapcore.Core
	sampled   zapcore.Core
	unlimited map[string]bool
}

// newBudgetCore counts the lines that exceed the budget in sampledOut.
func newBudgetCore(core zapcore.Core, budget Budget, sampledOut *atomic.Int64) zapcore.Core {
	unlimited := make(map[string]bool, len(budget.Unlimited))
	for _, event := range budget.Unlimited {
		unlimited[event] = true
	}
	return &budgetCore{core, newSampler(core, sampledOut), unlimited}
}

func newSampler(core zapcore.Core, sampledOut *atomic.Int64) zapcore.Core {
	count := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			sampledOut.Add(1)
		}
	}
	return zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, zapcore.SamplerHook(count))
}

// With implements zapcore.Core.
func (b *budgetCore) With(fields []zapcore.Field) zapcore.Core {
	return &budgetCore{b.Core.With(fields), b.sampled.With(fields), b.unlimited}
}

// Check implements zapcore.Core.
func (b *budgetCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if b.unlimited[e.Message] {
		return b.Core.Check(e, ce)
	}
	return b.sampled.Check(e, ce)
}
