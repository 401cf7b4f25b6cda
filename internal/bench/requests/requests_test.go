package requests

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
)

// TestStormEndsInTrueAnswers plays a storm in which an instance and servers
// fail. It fails when end refuses what has started.
func TestStormEndsInTrueAnswers(t *testing.T) {
	trace := crossing(6)
	ours := play(trace, false, dispatchNodes(sharingChoices, dispatch.Settings{}))
	must.Zero(t, ours.falseRefusals)
	must.Zero(t, ours.repeated)
	must.Less(t, boundAdded, ours.added)
	fifo := play(trace, false, newFIFO)
	must.Greater(t, 1.3*fifo.usefulShare(), ours.usefulShare())
	bound := measure(trace, neutralClairvoyant(trace))
	must.LessEq(t, bound.usefulShare(), ours.usefulShare())
	again := play(crossing(6), false, dispatchNodes(sharingChoices, dispatch.Settings{}))
	must.True(t, ours == again, must.Sprint("a seed must be played the same way each time"))
}
