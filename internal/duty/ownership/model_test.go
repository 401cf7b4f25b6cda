package ownership

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/fake"
)

// Flags on the command line override these, for example -rapid.seed=7
// -rapid.checks=5000.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

type action int

const (
	actFreeze action = iota
	actThaw
	actKill
	actRestart
	actStop
	actDown
	actHang
	actLoseAnswers
	actSlow
	actHeal
	actionCount
)

type step struct {
	action   action
	instance int
	wait     time.Duration
}

const modelInstances = 4

// TestModel runs processes and a table through random faults. The oracle
// checks every accepted write, and after recovery every failure domain must
// have exactly one owner. The test fails if Grant.Require adds no condition, if
// a takeover doesn't require the previous owner's session to be absent, if the
// epoch doesn't increase, or if sessions expire while the observer's own
// operations fail.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = runModel(steps) })
		if len(faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
	})
}

func drawStep(rt *rapid.T) step {
	return step{
		action:   action(rapid.IntRange(0, int(actionCount)-1).Draw(rt, "action")),
		instance: rapid.IntRange(0, modelInstances-1).Draw(rt, "instance"),
		wait:     time.Duration(rapid.IntRange(1, 4000).Draw(rt, "wait")) * time.Millisecond,
	}
}

func runModel(steps []step) []string {
	c := newCluster(modelInstances, 3)
	defer c.close()
	for _, s := range steps {
		c.apply(s)
		time.Sleep(s.wait)
	}
	c.table.SetFaults(fake.TableFaults{})
	for i, p := range c.procs {
		if p == nil {
			c.start(i)
			continue
		}
		p.gate.thaw(false)
	}
	time.Sleep(30 * time.Second)
	return c.problems()
}

func (c *cluster) apply(s step) {
	p := c.procs[s.instance]
	switch {
	case s.action == actDown:
		c.table.SetFaults(fake.TableFaults{Down: true})
	case s.action == actHang:
		c.table.SetFaults(fake.TableFaults{Hang: true})
	case s.action == actLoseAnswers:
		c.table.SetFaults(fake.TableFaults{LoseAnswers: true})
	case s.action == actSlow:
		c.table.SetFaults(fake.TableFaults{Delay: time.Second})
	case s.action == actHeal:
		c.table.SetFaults(fake.TableFaults{})
	case p == nil:
		if s.action == actRestart {
			c.start(s.instance)
		}
	case s.action == actFreeze:
		c.allowExpiry(p)
		p.gate.freeze()
	case s.action == actThaw:
		p.gate.thaw(false)
	case s.action == actKill:
		c.kill(s.instance)
	case s.action == actStop:
		c.allowExpiry(p)
		p.gate.thaw(false)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_ = p.ownership.Release(ctx)
		cancel()
		p.stop()
		p.wg.Wait()
		c.procs[s.instance] = nil
	}
}
