package pool

import (
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// forecastInterval is the least time between two forecasts. With the interval of the
	// owner's state and the delay of the replicas, instances see none older than 2 s, up to
	// which they use it.
	forecastInterval = 500 * time.Millisecond
	// forecastPause is the pause after a forecast, in multiples of its duration. It keeps
	// forecasts below 4% of the processor. Where they take longer than 80 ms they become
	// too old to be used.
	forecastPause = 25
)

// forecaster is the state of forecasting the time until new jobs can start. The load that
// it answers is a queue of more work than the pool can complete in time. The forecast is
// stored in the owner's state, which is written anyway, so that it adds no write.
type forecaster struct {
	nextAt time.Duration
	latest atomic.Pointer[work.Forecast] // nil for none
}

// updateForecast computes the forecast after a planning pass, when the free capacity is what
// no waiting job can use.
func (o *Owner) updateForecast(now time.Duration) {
	f := &o.forecaster
	storeNow, known := o.deps.Store.Now()
	if !known || !o.mayStart() {
		f.latest.Store(nil)
		return
	}
	began := o.now()
	if began < f.nextAt {
		return
	}
	forecast := o.planner.Forecast(now)
	ended := o.now()
	f.nextAt = ended + max(forecastInterval, forecastPause*(ended-began))
	var next *work.Forecast
	if len(forecast.Bounds) > 0 {
		forecast.At = storeNow
		next = &forecast
	}
	if before := f.latest.Swap(next); (before == nil) != (next == nil) {
		o.log.Info("forecast changed", zap.Bool("jobs_wait", next != nil), zap.Stringer("scarcest", forecast.Scarcest),
			zap.Duration("longest", forecast.LongestWait(math.MaxInt)), zap.Duration("took", ended-began))
	}
}
