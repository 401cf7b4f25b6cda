package main

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	givenUpJobs = 1400
	manySteps   = 2400
	fewSteps    = 2
	givers      = 8
)

// givenUp sends jobs of many steps and cancels each one right after it was accepted.
func givenUp(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 4, true)
	count := manySteps
	if !trouble {
		count = fewSteps
	}
	steps := make([]step, count)
	for i := range steps {
		steps[i] = step{Count: 1, CPU: 7500, MemMB: 20000, GPU: 1, EstimateMs: 2000}
	}
	j := &job{Spec: "ms=2000", Steps: steps}
	w.rec.log("sending %d jobs of %d steps", givenUpJobs, count)
	k := w.keep()
	var next, accepted, cancelled atomic.Int64
	var wg sync.WaitGroup
	for range givers {
		wg.Go(func() {
			for i := int(next.Add(1)); i <= givenUpJobs && w.rec.now() < 50*time.Second; i = int(next.Add(1)) {
				id := newID()
				w.know(id, &job{Steps: steps[:1]})
				status, text := w.call(w.instances[i%len(w.instances)], "POST", prefix2+id, j, 3*time.Second)
				if status != 200 {
					w.rec.log("POST %s -> %d %.100s", id, status, text)
					continue
				}
				accepted.Add(1)
				for try := range 5 {
					if status, _ = w.call(w.instances[(i+try)%len(w.instances)], "DELETE", prefix2+id, nil, 3*time.Second); status == 200 {
						cancelled.Add(1)
						break
					}
				}
				w.rec.log("POST %s -> 200, DELETE -> %d", id, status)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	w.rec.log("%d jobs accepted, %d of them cancelled with 200", accepted.Load(), cancelled.Load())
	time.Sleep(3 * time.Second)
	return w.serves(k)
}
