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

// action is a fault, a recovery, or the start or end of a process.
type action int

const (
	actFreeze action = iota
	actThaw
	actKill
	actRestart
	// actRelease releases the failure domains and then ends the process.
	actRelease
	actTableDown
	actTableHang
	actTableLoseReplies
	actTableSlow
	actTableRecover
	actionCount
)

// step applies an action, to a process or the table, and then waits.
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
// epoch doesn't increase, or if a process whose own table operations fail expires
// the sessions of others.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = runModel(steps) })
		if len(problems) > 0 {
			rt.Fatalf("%d problems, first: %s", len(problems), problems[0])
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

// runModel applies the steps to a new cluster, ends all faults and returns the
// cluster's problems.
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
		p.conn.thaw(false)
	}
	time.Sleep(30 * time.Second)
	return c.problems()
}

func (c *cluster) apply(s step) {
	p := c.procs[s.instance]
	switch {
	case s.action == actTableDown:
		c.table.SetFaults(fake.TableFaults{Down: true})
	case s.action == actTableHang:
		c.table.SetFaults(fake.TableFaults{Hang: true})
	case s.action == actTableLoseReplies:
		c.table.SetFaults(fake.TableFaults{LoseReplies: true})
	case s.action == actTableSlow:
		c.table.SetFaults(fake.TableFaults{Delay: time.Second})
	case s.action == actTableRecover:
		c.table.SetFaults(fake.TableFaults{})
	case p == nil:
		if s.action == actRestart {
			c.start(s.instance)
		}
	case s.action == actFreeze:
		c.allowExpiry(p)
		p.conn.freeze()
	case s.action == actThaw:
		p.conn.thaw(false)
	case s.action == actKill:
		c.kill(s.instance)
	case s.action == actRelease:
		c.allowExpiry(p)
		p.conn.thaw(false)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_ = p.ownership.Release(ctx)
		cancel()
		p.stop()
		p.wg.Wait()
		c.procs[s.instance] = nil
	}
}
