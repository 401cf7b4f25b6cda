package session

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// readOnly is a table that rejects commits and serves reads while on is set.
type readOnly struct {
	port.Table
	on atomic.Bool
}

func (r *readOnly) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	if r.on.Load() {
		return 0, fault.New(fault.Unavailable, "read only")
	}
	return r.Table.Commit(ctx, txn)
}

func startSessions(table port.Table, names ...string) (sessions []*Session, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, name := range names {
		s := New(Config{}, store.New(table, name), Self{Instance: name, Address: "127.0.0.1:1"})
		sessions = append(sessions, s)
		wg.Go(func() { _ = s.Run(ctx) })
	}
	return sessions, func() {
		cancel()
		wg.Wait()
	}
}

// Guards against expiring sessions by scans that follow a failed renewal. No
// session can be renewed while the table rejects writes.
func TestReadOnlyTableExpiresNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &readOnly{Table: fake.NewTable()}
		sessions, stop := startSessions(table, "a", "b", "c")
		defer stop()
		time.Sleep(5 * time.Second)
		before := []string{sessions[0].Incarnation(), sessions[1].Incarnation(), sessions[2].Incarnation()}
		table.on.Store(true)
		time.Sleep(time.Minute)
		must.Eq(t, Unverified, sessions[0].State())
		table.on.Store(false)
		time.Sleep(10 * time.Second)
		for i, s := range sessions {
			must.Eq(t, before[i], s.Incarnation())
			must.Eq(t, Verified, s.State())
		}
	})
}

// Guards against trusting a session after a pause because of a renewal that
// started before the pause.
func TestPauseRequiresVerification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		sessions, stop := startSessions(table, "a")
		defer stop()
		s := sessions[0]
		time.Sleep(5*time.Second + 10*time.Millisecond)
		must.True(t, s.Usable(time.Now()))
		must.False(t, s.Usable(time.Now().Add(1500*time.Millisecond)))

		table.SetFaults(fake.TableFaults{Down: true})
		s.mu.Lock()
		s.pauses.lastCheck = time.Now().Add(-3 * time.Second)
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		must.False(t, s.Usable(time.Now()))
		s.recordConfirmed(time.Now().Add(-time.Minute))
		must.False(t, s.Usable(time.Now()))
		must.Eq(t, Unverified, s.State())

		table.SetFaults(fake.TableFaults{})
		time.Sleep(3 * time.Second)
		must.True(t, s.Usable(time.Now()))
		must.Eq(t, Verified, s.State())
	})
}

func TestStoppedSessionDeletesItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		remaining, stopRemaining := startSessions(table, "a")
		defer stopRemaining()
		_, stop := startSessions(table, "b")
		time.Sleep(2 * time.Second)
		live, _ := remaining[0].Live()
		must.Len(t, 2, live)
		stop()
		time.Sleep(defaultHeartbeatInterval)
		synctest.Wait()
		live, _ = remaining[0].Live()
		must.Len(t, 1, live)
	})
}

// Guards against an observer that grants no grace after its start.
func TestObserverGrantsGraceAfterStart(t *testing.T) {
	o := newObserver(2*time.Second, 6*time.Second)
	start := time.Unix(1000, 0)
	renewedRevision, staleRow := int64(1), port.Row{Key: "stale", Revision: 1}
	expiredAt := make(map[string]int)
	for halfSeconds := range 20 {
		now := start.Add(time.Duration(halfSeconds) * 500 * time.Millisecond)
		if halfSeconds < 4 {
			renewedRevision++
		}
		o.recordScan(now, []port.Row{staleRow, {Key: "renewed", Revision: renewedRevision}}, 0)
		for _, e := range o.expired(now, "own", 0) {
			if _, ok := expiredAt[e.key]; !ok {
				expiredAt[e.key] = halfSeconds
			}
		}
	}
	// The session last renewed after 3 half seconds expires one TTL later, which
	// is 4 half seconds. The one never renewed expires after the TTL and the grace
	// of 12 half seconds.
	must.Eq(t, map[string]int{"renewed": 3 + 4, "stale": 4 + 12}, expiredAt)
}

// Guards against an interruption that grants no grace or doesn't restart the
// TTL.
func TestInterruptionRestartsTTLWithGrace(t *testing.T) {
	o := newObserver(2*time.Second, 0)
	start := time.Unix(1000, 0)
	row := port.Row{Key: "stale", Revision: 1}
	o.recordScan(start, []port.Row{row}, 0)
	o.interrupt(3 * time.Second)
	expiredAt := -1
	for halfSeconds := 1; halfSeconds < 20 && expiredAt < 0; halfSeconds++ {
		now := start.Add(time.Duration(halfSeconds) * 500 * time.Millisecond)
		o.recordScan(now, []port.Row{row}, 0)
		if len(o.expired(now, "own", 0)) > 0 {
			expiredAt = halfSeconds
		}
	}
	must.Eq(t, 1+6+4, expiredAt)
}
