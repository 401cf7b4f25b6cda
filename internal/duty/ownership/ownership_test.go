package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

const (
	// warmUp is the time within which a started cluster has owners.
	warmUp = 5 * time.Second
	// rebalanceTime is the time within which the handovers after a start end.
	rebalanceTime = 2 * time.Minute
	// takeoverBound bounds the time from the owner's last renewal to the
	// takeover. It equals the bound on the start of urgent work.
	takeoverBound = 3700 * time.Millisecond
)

// TestTakeoverWithinBound kills the owner at every phase of its heartbeat, alone
// and together with another instance, with staggered heartbeats. It measures the
// time from the owner's last renewal to the takeover. The test fails with a
// session TTL of 4 s.
func TestTakeoverWithinBound(t *testing.T) {
	for _, kills := range []int{1, 2} {
		worst := time.Duration(0)
		for heartbeatPhase := time.Duration(0); heartbeatPhase < 500*time.Millisecond; heartbeatPhase += 35 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) { worst = max(worst, measureTakeover(t, kills, heartbeatPhase)) })
		}
		t.Logf("%d killed: %v from the last renewal to the takeover at worst", kills, worst)
		must.LessEq(t, takeoverBound, worst)
	}
}

// measureTakeover kills the owner, and further instances up to the number of
// kills, at the given time after warmUp. It returns the time from the owner's
// last renewal to the takeover.
func measureTakeover(t *testing.T, kills int, heartbeatPhase time.Duration) time.Duration {
	c := emptyCluster(4, 1)
	defer c.close()
	c.table.SetFaults(fake.TableFaults{Delay: 5 * time.Millisecond})
	c.startStaggered()
	time.Sleep(warmUp + heartbeatPhase)
	domain := c.domains[0]
	victim, _ := c.ownerOf(domain)
	incarnation := c.procs[victim].session.Incarnation()
	c.kill(victim)
	for i := 1; i < kills; i++ {
		c.kill((victim + i) % len(c.procs))
	}
	renewed := c.oracle.renewalTime(incarnation)
	time.Sleep(2 * takeoverBound)
	must.SliceEmpty(t, c.problems())
	return c.oracle.takeoverTime(domain).Sub(renewed)
}

func TestFrozenOwnerIsFencedAfterThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1)
		defer c.close()
		time.Sleep(warmUp)
		owner, _ := c.ownerOf(c.domains[0])
		p := c.procs[owner]
		previous := p.session.Incarnation()
		c.allowExpiry(p)
		p.conn.freeze()
		time.Sleep(10 * time.Second)
		p.conn.thaw(false)
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, c.problems())
		must.Eq(t, []int64{2}, c.epochs())
		must.NotEq(t, previous, p.session.Incarnation())
	})
}

func TestConcurrentTakeoverHasOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1)
		defer c.close()
		time.Sleep(warmUp)
		ctx := context.Background()
		_, first := c.procs[0].ownership.commitTakeover(ctx, "raced", ownerRow{})
		_, second := c.procs[1].ownership.commitTakeover(ctx, "raced", ownerRow{})
		must.NoError(t, first)
		must.Eq(t, fault.Conflict, fault.CodeOf(second))
	})
}

// TestTableOutageKeepsOwners fails if a process whose own table operations fail
// expires the sessions of others, or if owners become unusable when their
// renewals fail.
func TestTableOutageKeepsOwners(t *testing.T) {
	for _, faults := range []fake.TableFaults{
		{Down: true},
		{Hang: true},
		{LoseReplies: true},
		{Delay: time.Second},
	} {
		for _, duration := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 10 * time.Minute} {
			t.Run(fmt.Sprintf("%+v for %v", faults, duration), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runOutage(t, faults, duration) })
			})
		}
	}
}

func runOutage(t *testing.T, faults fake.TableFaults, duration time.Duration) {
	c := newCluster(4, 4)
	defer c.close()
	time.Sleep(rebalanceTime)
	before := c.epochs()
	c.table.SetFaults(faults)
	time.Sleep(duration)
	must.SliceEmpty(t, c.problems())
	for _, p := range c.procs {
		must.True(t, p.session.Usable(time.Now()))
	}
	c.table.SetFaults(fake.TableFaults{})
	time.Sleep(15 * time.Second)
	workRows := c.oracle.workRows()
	time.Sleep(time.Second)
	must.SliceEmpty(t, c.problems())
	must.Eq(t, before, c.epochs())
	must.Greater(t, workRows, c.oracle.workRows())
}

// TestUnevenLatencyKeepsOwners fails if the session TTL doesn't grow with the
// table's latency.
func TestUnevenLatencyKeepsOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(4, 4)
		defer c.close()
		time.Sleep(rebalanceTime)
		before := c.epochs()
		c.addJitter(1300 * time.Millisecond)
		time.Sleep(10 * time.Minute)
		must.SliceEmpty(t, c.problems())
		must.Eq(t, before, c.epochs())
	})
}

func TestTakeoverWithLostAnswersCommitsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1)
		defer c.close()
		time.Sleep(warmUp)
		owner, _ := c.ownerOf(c.domains[0])
		c.table.SetFaults(fake.TableFaults{LoseReplies: true})
		c.kill(owner)
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, c.problems())
		must.Eq(t, []int64{2}, c.epochs())
	})
}

// TestReleaseHandsOverWithinOnePoll drains instances one after another, as in a
// rolling replacement. The test fails if the releasing owner names no successor.
func TestReleaseHandsOverWithinOnePoll(t *testing.T) {
	for _, domains := range []int{4, 8} {
		synctest.Test(t, func(t *testing.T) {
			c := emptyCluster(4, domains)
			defer c.close()
			c.startStaggered()
			time.Sleep(rebalanceTime)
			for _, p := range c.procs[:3] {
				releaseWithinOnePoll(t, c, p)
			}
		})
	}
}

func releaseWithinOnePoll(t *testing.T, c *cluster, p *process) {
	owned := p.ownership.Owned()
	start := time.Now()
	must.NoError(t, p.ownership.Release(context.Background()))
	time.Sleep(2 * time.Second)
	must.SliceEmpty(t, c.problems())
	must.SliceEmpty(t, p.ownership.Owned())
	for _, grant := range owned {
		must.LessEq(t, defaultPollInterval, c.oracle.takeoverTime(grant.Domain).Sub(start))
	}
}

// TestTakeoverRequiresOwnSession fails if a takeover doesn't require this
// process's own session to be present.
func TestTakeoverRequiresOwnSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1)
		defer c.close()
		time.Sleep(warmUp + time.Millisecond) // between two renewals, which would store the session again
		p := c.procs[0]
		c.allowExpiry(p)
		key := store.SessionKey(p.session.Incarnation())
		_, err := c.table.Commit(context.Background(), port.Txn{Writes: []port.Write{{Key: key, Delete: true}}})
		must.NoError(t, err)
		_, err = p.ownership.commitTakeover(context.Background(), "vacant", ownerRow{})
		must.Eq(t, fault.Conflict, fault.CodeOf(err))
	})
}

func TestReleaseStopsAtDeadlineWhileTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1)
		defer c.close()
		time.Sleep(warmUp)
		owner, _ := c.ownerOf(c.domains[0])
		c.table.SetFaults(fake.TableFaults{Down: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		must.ErrorIs(t, c.procs[owner].ownership.Release(ctx), context.DeadlineExceeded)
	})
}

// TestRebalanceConverges fails with a minImbalance of 1, as failure domains then
// move forever.
func TestRebalanceConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := emptyCluster(3, 7)
		c.readOnly = true
		defer c.close()
		c.start(0)
		time.Sleep(warmUp)
		must.Len(t, 7, c.procs[0].ownership.Owned())
		c.start(1)
		c.start(2)
		time.Sleep(3 * time.Minute)
		must.SliceEmpty(t, c.problems())
		for _, p := range c.procs {
			must.Between(t, 2, len(p.ownership.Owned()), 3)
		}
		before := c.epochs()
		time.Sleep(10 * time.Minute)
		must.Eq(t, before, c.epochs())
	})
}

// TestTableLoad bounds the rows written and the reads that sessions and ownership
// cause, per second and instance.
func TestTableLoad(t *testing.T) {
	for _, domains := range []int{4, 10} {
		synctest.Test(t, func(t *testing.T) {
			c := emptyCluster(8, domains)
			c.readOnly = true
			for i := range c.procs {
				c.start(i)
			}
			defer c.close()
			time.Sleep(rebalanceTime)
			before := c.table.Counts()
			const seconds = 60
			time.Sleep(seconds * time.Second)
			after := c.table.Counts()
			writes := float64(after.RowsWritten-before.RowsWritten) / seconds
			reads := float64(after.Reads-before.Reads) / seconds
			rows := float64(after.RowsRead-before.RowsRead) / seconds
			t.Logf("8 instances, %d domains: %.1f writes/s, %.1f reads/s, %.1f rows read/s", domains, writes, reads, rows)
			must.LessEq(t, 2.1*8, writes)
			must.LessEq(t, 4.1*8, reads)
		})
	}
}
