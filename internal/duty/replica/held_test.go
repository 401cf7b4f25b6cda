package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// Guards against a time at which the version hadn't been written yet: what it wrote would
// count as older than it is. The error to the other side is bounded.
func TestHeldAtIsAfterTheWriteAndSoonAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewRows()
		began := time.Now()
		r := startReplica(t, store)
		writtenAt := map[int64]time.Duration{}
		for range 300 {
			time.Sleep(70 * time.Millisecond)
			version, err := store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{{Table: "registry", Key: "w"}: {1}}})
			must.NoError(t, err)
			writtenAt[version] = time.Since(began)
		}
		_, ok := r.HeldAt(0)
		must.False(t, ok)
		_, ok = r.HeldAt(1 << 40)
		must.False(t, ok)
		last, known := time.Since(began), 0
		for version, at := range writtenAt {
			held, ok := r.HeldAt(version)
			must.True(t, !ok || held >= at)
			if ok && last-at < maxHeld*heldInterval {
				known++
				must.LessEq(t, at+watchWait+followerMinWatchInterval+heldInterval, held)
			}
		}
		must.GreaterEq(t, 150, known)
		must.LessEq(t, maxHeld, len(r.held))
	})
}

// Guards against an outage that drops what was known before it, when entries are oldest.
func TestHeldAtSurvivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewRows()
		began := time.Now()
		r := startReplica(t, store)
		putJob(t, store, "a")
		time.Sleep(2 * time.Second)
		store.SetFaults(fake.Faults{Down: true})
		time.Sleep(time.Minute)
		store.SetFaults(fake.Faults{})
		store.Compact()
		putJob(t, store, "b")
		time.Sleep(3 * time.Second)
		held, ok := r.HeldAt(1)
		must.True(t, ok)
		must.LessEq(t, time.Second, held)
		held, ok = r.HeldAt(2)
		must.True(t, ok)
		must.GreaterEq(t, time.Minute, held)
		must.Less(t, time.Since(began), held)
	})
}
