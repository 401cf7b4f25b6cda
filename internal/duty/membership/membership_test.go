package membership

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func server(id string) structs.Instance {
	return structs.Instance{ID: id, Kind: structs.KindBackend, State: structs.StateLive, Slots: 8}
}

func runMembership(t *testing.T, f func(list *fake.Instances, m *Membership)) {
	synctest.Test(t, func(t *testing.T) {
		list := fake.NewInstances(3*time.Second, server("s1"), server("s2"),
			structs.Instance{ID: "e1", Kind: structs.KindEntry, State: structs.StateLive})
		m := New(Config{}, list)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = m.Run(ctx) })
		time.Sleep(5 * time.Second)
		f(list, m)
		cancel()
		wg.Wait()
	})
}

func serverStates(m *Membership) string {
	var b strings.Builder
	for _, s := range m.Servers() {
		fmt.Fprintf(&b, "%s=%d ", s.ID, s.State)
	}
	return strings.TrimSpace(b.String())
}

// Guards against a membership that takes the state from the list alone.
func TestLeavingMarkTakesEffectAtOnceAndStays(t *testing.T) {
	for _, source := range []Source{SourceServer, SourcePeer} {
		runMembership(t, func(list *fake.Instances, m *Membership) {
			changes := m.Subscribe("test")
			m.MarkLeaving(source, "s1")
			must.Eq(t, "s1=2 s2=1", serverStates(m))
			must.Eq(t, 1, changes.Len())
			time.Sleep(time.Hour)
			must.Eq(t, "s1=2 s2=1", serverStates(m))
			must.True(t, m.Leaving("s1"))
		})
	}
}

func TestListMarksServersAndEntries(t *testing.T) {
	runMembership(t, func(list *fake.Instances, m *Membership) {
		list.MarkLeaving("s2", "e1")
		time.Sleep(5 * time.Second)
		must.Eq(t, "s1=1 s2=2", serverStates(m))
		must.Eq(t, structs.StateLeaving, m.Snapshot().Entries[0].State)
		list.Remove("s2")
		time.Sleep(5 * time.Second)
		must.Eq(t, "s1=1", serverStates(m))
		must.True(t, m.Leaving("s2"))
		time.Sleep(defaultMarkRetention)
		must.False(t, m.Leaving("s2"))
	})
}

func TestListOutageKeepsLastList(t *testing.T) {
	runMembership(t, func(list *fake.Instances, m *Membership) {
		list.SetFaults(fake.Faults{Down: true})
		time.Sleep(time.Hour)
		must.Eq(t, "s1=1 s2=1", serverStates(m))
		m.MarkLeaving(SourceServer, "s2")
		must.Eq(t, "s1=1 s2=2", serverStates(m))
	})
}

// Guards against forwarding the marks received from peers, which would keep
// them alive forever.
func TestMarksFromPeersAreNotForwarded(t *testing.T) {
	runMembership(t, func(_ *fake.Instances, m *Membership) {
		m.MarkLeaving(SourcePeer, "s1")
		must.SliceEmpty(t, m.ReportedLeaving())
		m.MarkLeaving(SourceServer, "s1", "s2")
		must.Eq(t, []string{"s1", "s2"}, m.ReportedLeaving())
		time.Sleep(defaultReportPeriod)
		must.SliceEmpty(t, m.ReportedLeaving())
	})
}

func TestMarksAreBounded(t *testing.T) {
	m := New(Config{}, nil)
	for i := range 2 * maxMarks {
		m.MarkLeaving(SourcePeer, fmt.Sprint(i))
	}
	m.MarkLeaving(SourcePeer, strings.Repeat("x", maxIDBytes+1))
	must.MapLen(t, maxMarks, m.marks)
}

// Guards against a poll interval, such as 2 s, with which a leaving server is
// seen later than 3 s after the platform marked it. The list lags by 2 s, and the
// server is marked at different moments between two polls.
func TestListedLeavingIsSeenWithinBound(t *testing.T) {
	const (
		lag   = 2 * time.Second
		bound = 3 * time.Second
	)
	for phase := time.Duration(0); phase < defaultPollInterval; phase += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			list := fake.NewInstances(lag, server("s1"))
			m := New(Config{}, list)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = m.Run(ctx) })
			time.Sleep(5*time.Second + phase)
			list.MarkLeaving("s1")
			time.Sleep(bound)
			must.True(t, m.Leaving("s1"))
			cancel()
			wg.Wait()
		})
	}
}
