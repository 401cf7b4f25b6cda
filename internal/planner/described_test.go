package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against placements by the description of an incarnation that doesn't answer, in
// whatever order the registry and the answers tell of a restart, and against a worker that
// loses work though it never restarted.
func TestWorkersAreUsedOnlyByTheDescriptionOfTheAnsweringIncarnation(t *testing.T) {
	type step func(p *Planner, now time.Duration)
	answer := func(incarnation int64) step {
		return func(p *Planner, now time.Duration) {
			p.HandleReport(now, now, "w", port.HoldReply{Clock: port.WorkerClock{Incarnation: incarnation}})
		}
	}
	entry := func(incarnation, version int64) step {
		return func(p *Planner, _ time.Duration) {
			p.PutWorker(work.Worker{ID: "w", Incarnation: incarnation, EntryVersion: version, Capacity: work.Resources{CPU: 1000}})
		}
	}
	restart := func(p *Planner, now time.Duration) { p.WorkerRestarted(now, "w") }
	silence := func(p *Planner, _ time.Duration) { p.SetReachable("w", false) }
	for name, c := range map[string]struct {
		steps []step
		used  bool
	}{
		"never restarted":                      {[]step{entry(7, 1), answer(7), entry(7, 2), answer(7)}, true},
		"silent for a while":                   {[]step{entry(7, 1), answer(7), silence, answer(7)}, true},
		"entry expired and came back":          {[]step{entry(7, 1), answer(7), func(p *Planner, _ time.Duration) { p.WorkerUnlisted("w") }, entry(7, 2)}, true},
		"answers first":                        {[]step{entry(7, 1), answer(7), restart, answer(9)}, false},
		"answers first, then the entry":        {[]step{entry(7, 1), answer(7), restart, answer(9), entry(9, 2)}, true},
		"answers first, then a late old entry": {[]step{entry(7, 1), answer(7), restart, answer(9), entry(7, 2)}, false},
		"noticed but not answered yet":         {[]step{entry(7, 1), answer(7), restart, entry(9, 2)}, false},
		"entry first":                          {[]step{entry(7, 1), answer(7), entry(9, 2)}, false},
		"entry first, then the answers":        {[]step{entry(7, 1), answer(7), entry(9, 2), restart, answer(9)}, true},
		"entry first, then answers of another": {[]step{entry(7, 1), answer(7), entry(9, 2), restart, answer(11)}, false},
		"new owner reads an old entry":         {[]step{entry(7, 1), answer(9)}, false},
		"clock was set back":                   {[]step{entry(7, 1), answer(7), restart, answer(5)}, false},
		"clock was set back, then the entry":   {[]step{entry(7, 1), answer(7), restart, answer(5), entry(5, 2)}, true},
		"entries don't tell":                   {[]step{entry(0, 1), answer(7)}, true},
		"entries don't tell, same one again":   {[]step{entry(0, 1), answer(7), restart, answer(9), entry(0, 1)}, false},
		"entries don't tell, a later one":      {[]step{entry(0, 1), answer(7), restart, answer(9), entry(0, 2)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Settings{}, 1)
			now := time.Second
			for _, s := range c.steps {
				s(p, now)
				now += 10 * time.Millisecond
			}
			must.EqOp(t, c.used, p.Described("w"))
			p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: "a", Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 1}}}}}, false)
			want := 0
			if c.used {
				want = 1
			}
			must.Len(t, want, p.Plan(now))
		})
	}
}
