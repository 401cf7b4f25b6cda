package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against an answer that differs from what Submit does, against a query that stores,
// counts or refuses something, and against one in the name of a caller that couldn't submit.
func TestExaminationFailsLikeTheSubmissionAndHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		for names, code := range map[[2]string]fault.Code{
			{"q", "ws"}: "", {"deep", ""}: "", {"none", "ws"}: fault.NotFound, {"q", "none"}: fault.NotFound, {"q", ""}: fault.Unauthenticated,
		} {
			_, err := env.intake.CallerOf(names[0], names[1])
			must.EqOp(t, code, fault.CodeOf(err))
		}
		counted := countedRefusals{}
		env.intake.observer = counted
		q := *env.queue
		q.Priority, q.Stretch, q.Target = 1, 2, time.Second
		caller := Caller{Queue: &q, Workspace: "ws", key: "key"}
		same := func(code fault.Code, id string, sub work.Submission) {
			t.Helper()
			_, examined := env.intake.Examine(t.Context(), caller, id, sub)
			must.EqOp(t, code, fault.CodeOf(examined))
			_, err := env.intake.State(t.Context(), env.caller(), id)
			must.True(t, fault.Is(err, fault.NotFound) || code == fault.Unavailable)
			must.MapEmpty(t, counted)
			submitted := env.intake.Submit(t.Context(), caller, id, sub)
			must.Eq(t, dryrun.NewFailure(submitted), dryrun.NewFailure(examined))
			clear(counted)
		}
		same("", "a", work.Submission{Steps: oneTask})
		same(fault.Invalid, "b", work.Submission{})
		env.publish(t, owned, loadedForecast(8*32))
		same(fault.Overloaded, "c", work.Submission{Steps: newJob(1, 5*time.Second).Steps})
		age, known := env.intake.ForecastAge("p")
		must.True(t, known && age > 0)
		env.rows.SetFaults(fake.Faults{Down: true})
		_ = env.submit("away") // by which the outage is noticed
		time.Sleep(time.Second)
		same(fault.Unavailable, "d", work.Submission{Steps: oneTask})
	})
}
