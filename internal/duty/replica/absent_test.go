package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against a job that is told to be absent although the store may hold a row of it.
func TestJobIsAbsentOnlyIfNoRowCanExist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewRows()
		r := startReplica(t, store)
		must.False(t, r.Absent("a")) // nothing has been read
		time.Sleep(time.Second)
		must.True(t, r.Absent("a"))

		r.mu.Lock()
		r.missingPartitions = []string{jobPartitions(testPool, "a")[2]}
		r.mu.Unlock()
		must.False(t, r.Absent("a"))
		time.Sleep(3 * time.Second) // until it is read
		must.True(t, r.Absent("a"))

		putJob(t, store, "a")
		time.Sleep(time.Second)
		must.False(t, r.Absent("a"))
	})
}

// Guards against a job that is told to be absent because its row can't be decoded here. The
// owner may be of another build.
func TestJobWhoseRowCantBeDecodedIsNotAbsent(t *testing.T) {
	noSteps, err := work.Encode(map[int]any{1: map[int]any{1: "a", 2: testPool, 10: "no steps"}, 2: "running"})
	must.NoError(t, err)
	for name, value := range map[string][]byte{"not at all": {0xff}, "only its summary": noSteps} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := fake.NewRows()
				r := startReplica(t, store)
				key := JobKeys(testPool, "a")[1]
				_, err := store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{key: value}})
				must.NoError(t, err)
				time.Sleep(time.Second)
				must.False(t, r.Absent("a"))
				sub := r.Subscribe(testPool, 1)
				defer sub.Close()
				must.False(t, r.Absent("a"))
				_, err = store.Commit(t.Context(), port.RowTxn{Deletes: []port.RowKey{key}})
				must.NoError(t, err)
				time.Sleep(time.Second)
				must.True(t, r.Absent("a"))
			})
		})
	}
}
