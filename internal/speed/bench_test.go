package speed

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// BenchmarkUpdate1100Workers measures an update where each worker has as many runs as are
// kept, of steps of eight tasks.
func BenchmarkUpdate1100Workers(b *testing.B) {
	e, now := New(), time.Minute
	for round := range maxPerWorker {
		for i := range 1100 {
			run := Run{work.TaskID{Job: fmt.Sprint(round, "-", i/8), Index: i}, 1}
			e.Observe(now, Observation{Run: run, Workers: []string{fmt.Sprint("w", i)}, Factor: []float64{0.7, 0.7, 1.7}[i%3]})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		e.changed, e.updatedAt = true, now-updateInterval
		e.Update(now)
	}
}
