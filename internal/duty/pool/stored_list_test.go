package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against running tasks that are started again because they were started on a
// worker that couldn't be added to the stored list.
func TestTasksAreNotStartedOnWorkersMissingFromStoredList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		registry := newEditableRegistry(c.pool)
		registry.remove("w00")
		c.registry = registry
		hang := &poolRowsHang{}
		first := c.launchWith(func(in *instance) {
			in.wrapStore = func(s port.RowStore) port.RowStore { hang.RowStore = s; return hang }
		})
		time.Sleep(time.Second)
		c.launch()
		time.Sleep(storeStableAfter + time.Second)
		hang.set.Store(true)
		registry.restore("w00")
		time.Sleep(300 * time.Millisecond)
		c.setDuration("long", 30, 0)
		c.submit("long", single(16, 30))
		time.Sleep(200 * time.Millisecond)
		must.GreaterEq(t, 8, c.pool.Running())
		registry.remove("w00")
		first.kill()
		time.Sleep(15 * time.Second)
		c.checkInvariants()
		registry.restore("w00")
		time.Sleep(time.Second)
		must.EqOp(t, 16, c.pool.Running())
	})
}

// Guards against a worker that is taken for stored while an earlier list without it may
// still be performed, and against giving up the pool for an own list that was.
func TestStoredListCountsUncertainWrites(t *testing.T) {
	var l workerList
	l.reset(7, []string{"a", "b"})
	l.write([]string{"a", "c"})
	must.True(t, l.contains("a"))
	must.False(t, l.contains("b"))
	must.False(t, l.contains("c"))
	l.write([]string{"a", "b", "c"}) // the first one got no answer
	must.False(t, l.contains("b"))
	l.written(9)
	must.True(t, l.contains("b") && l.contains("c"))

	o := suspendableOwner(&suspendingWorkers{})
	o.cancel = func() { t.Error("the pool was given up") }
	row, err := work.Encode([]string{"a", "c"})
	must.NoError(t, err)
	o.writer.workers.reset(7, []string{"a"})
	o.writer.workers.write([]string{"a", "d"})
	o.workersConflict(&port.RowConflictError{Current: []port.VersionedRow{{RowKey: o.epochKey(), Version: o.epochVersion}, {RowKey: o.workersKey(), Version: 8, Value: row}}})
	must.True(t, o.writer.workers.contains("c") && o.writer.workersChanged)
	must.False(t, o.writer.workers.contains("d"))
	resigned := false
	o.cancel = func() { resigned = true }
	o.workersConflict(&port.RowConflictError{Current: []port.VersionedRow{{RowKey: o.epochKey(), Version: o.epochVersion + 1}}})
	must.True(t, resigned)
}
