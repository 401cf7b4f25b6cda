package main

import (
	"time"
)

const (
	afterJobs  = 5
	afterTimes = 120000
)

// after sends jobs whose second step names the first one many times in its list of earlier
// steps, and then ordinary jobs.
func after(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 4, false)
	times := afterTimes
	if !trouble {
		times = 1
	}
	k := w.keep()
	for i := range afterJobs {
		id := newID()
		j := &job{Spec: "ms=300", Steps: []step{{Count: 1, CPU: 500, MemMB: 1000, EstimateMs: 300}, {Count: 1, CPU: 500, MemMB: 1000, EstimateMs: 300, After: make([]int, times)}}}
		w.know(id, j)
		status, text := w.call(w.instances[i%len(w.instances)], "POST", prefix2+id, j, 3*time.Second)
		w.rec.log("POST %s, with %d entries in after -> %d %.100s", id, times, status, text)
	}
	time.Sleep(time.Second) // the first steps have ended by then
	return w.serves(k)
}
