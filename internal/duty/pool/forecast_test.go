package pool

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// published returns the forecast in an instance's replica and its age.
func (c *cluster) published(in *instance) (*work.Forecast, time.Duration) {
	view := in.replica.Pool(testPool)
	f := view.Forecast()
	if f == nil {
		return nil, 0
	}
	return f, c.storeNow() - f.At
}

// overload submits 20 urgent tasks of a minute for each worker.
func (c *cluster) overload(workers int) {
	for k := range workers * 20 {
		id := fmt.Sprint("u", k)
		c.submit(id, gang(1, 8, 60))
		c.setDuration(id, 60, 0)
	}
}

// Guards against forecasts that instances don't see, see too late to use them, or still see
// after the queue has gone.
func TestForecastReachesEveryInstanceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.launch()
		time.Sleep(time.Second)
		other := c.launch()
		time.Sleep(time.Second)
		f, _ := c.published(other)
		must.Nil(t, f)
		c.overload(2)
		time.Sleep(2 * time.Second)
		for range 20 {
			f, age := c.published(other)
			must.NotNil(t, f)
			must.Positive(t, f.LongestWait(1))
			must.Less(t, 2*time.Second, age)
			time.Sleep(170 * time.Millisecond)
		}
		for _, id := range c.jobIDs {
			c.cancelJob(id)
		}
		time.Sleep(3 * time.Second)
		f, _ = c.published(other)
		must.Nil(t, f)
	})
}

// Guards against a forecast of the owner that was killed, and of its successor before that
// knows what runs.
func TestNoForecastAroundAnOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		var unheard atomic.Bool // the workers don't hear the second instance
		c.drops = func(in *instance, _ port.WorkerTarget) bool { return unheard.Load() && in.name == "instance-1" }
		first := c.launch()
		time.Sleep(time.Second)
		other := c.launch()
		time.Sleep(time.Second)
		c.overload(2)
		time.Sleep(2 * time.Second)
		f, _ := c.published(other)
		must.NotNil(t, f)
		unheard.Store(true)
		first.kill()
		takenOver := false
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			view := other.replica.Pool(testPool)
			if view.Epoch.Owner != other.name {
				continue
			}
			takenOver = true
			must.Nil(t, view.Forecast()) // no worker has answered the new owner
		}
		must.True(t, takenOver)
		unheard.Store(false)
		time.Sleep(15 * time.Second)
		f, age := c.published(other)
		must.NotNil(t, f)
		must.Less(t, 2*time.Second, age)
		must.EqOp(t, 2, other.replica.Pool(testPool).Epoch.Number)
	})
}

// Guards against forecasts that cost writes of their own: each is read by every instance.
func TestForecastAddsNoWrite(t *testing.T) {
	writes := func(jobs int) int64 {
		var versions int64
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 2)
			in := c.launch()
			time.Sleep(time.Second)
			for k := range jobs {
				id := fmt.Sprint("u", k)
				c.submit(id, gang(1, 8, 60))
				c.setDuration(id, 60, 0)
			}
			time.Sleep(5 * time.Second)
			f, _ := c.published(in)
			must.EqOp(t, jobs > 2, f != nil)
			before := c.storeVersion()
			time.Sleep(10 * time.Second)
			versions = c.storeVersion() - before
		})
		return versions
	}
	must.EqOp(t, writes(2), writes(40))
}

// storeVersion returns the version of the store's last write.
func (c *cluster) storeVersion() int64 {
	c.t.Helper()
	_, version, err := c.store.Scan(c.t.Context(), replica.Table, testPool, "", "")
	must.NoError(c.t, err)
	return version
}
