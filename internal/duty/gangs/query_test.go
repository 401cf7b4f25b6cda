package gangs

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Guards against a wait for an owner that is still loading its jobs that counts as work: all
// queries, also about other failure domains, would be rejected for 50 s.
func TestQueryWithoutAnswerCausesNoLongPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Manager{runners: map[string]*managedRunner{"d": {runner: &Runner{events: ring.New[event]("e", 10)}}}}
		try := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := m.Try(ctx, "d", structs.JobSpec{})
			return err
		}
		must.ErrorIs(t, try(), errNoAnswer)
		time.Sleep(tryRetryAfter)
		err := try()
		var retry *fault.RetryError
		if errors.As(err, &retry) {
			t.Fatalf("rejected for another %v: %v", retry.RetryAfter, err)
		}
	})
}
