package requests

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
)

// TestSurgeMeetsBoundsDespiteFailures simulates a surge in which an instance and
// servers fail. It guards against giveUp refusing a request that has started.
func TestSurgeMeetsBoundsDespiteFailures(t *testing.T) {
	trace := surgeTrace(6)
	ours := simulate(trace, false, newDispatchInstances(sharingByDemand, dispatch.Settings{}))
	must.Zero(t, ours.falseRefusals)
	must.Zero(t, ours.repeated)
	must.Less(t, boundRetries, ours.retryShare)
	fifo := simulate(trace, false, newFIFO)
	must.Greater(t, 1.3*fifo.usefulShare(), ours.usefulShare())
	clairvoyant := measure(trace, arrivalOrderClairvoyant(trace))
	must.LessEq(t, clairvoyant.usefulShare(), ours.usefulShare())
	again := simulate(surgeTrace(6), false, newDispatchInstances(sharingByDemand, dispatch.Settings{}))
	must.True(t, ours == again, must.Sprint("the same seed must give the same metrics"))
}
