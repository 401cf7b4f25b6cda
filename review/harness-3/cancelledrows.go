package main

import (
	"time"
)

const (
	givenUpJobs = 160
	manySteps   = 13000
	fewSteps    = 2
	// ordinaryPerJob keeps the share of cancelled jobs at a third.
	ordinaryPerJob = 2
	givenUpPause   = 330 * time.Millisecond
	sendingFor     = 70 * time.Second
)

// givenUp sends jobs of many steps and cancels each one right after it was accepted, among
// ordinary jobs that nobody cancels.
func givenUp(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 4, false)
	count := manySteps
	if !trouble {
		count = fewSteps
	}
	steps := make([]step, count)
	for i := range steps {
		steps[i] = step{Count: 1, GPU: 8}
	}
	j := &job{Spec: "ms=2000", Steps: steps}
	w.rec.log("sending %d jobs of %d steps, and cancelling them", givenUpJobs, count)
	k := w.keep()
	cancelled := 0
	for i := range givenUpJobs {
		if w.rec.now() > sendingFor {
			break
		}
		id := newID()
		for s := range count {
			w.book.set(id, s, need{gpu: 8})
		}
		status, text := w.call(w.instances[i%len(w.instances)], "POST", prefix2+id, j, 3*time.Second)
		w.rec.log("POST %s, %d steps -> %d %.100s", id, count, status, text)
		if status == 200 {
			for try := range 5 {
				status, text = w.call(w.instances[(i+try+1)%len(w.instances)], "DELETE", prefix2+id, nil, 3*time.Second)
				w.rec.log("DELETE %s -> %d %.100s", id, status, text)
				if status == 200 {
					cancelled++
					break
				}
			}
		}
		for n := range ordinaryPerJob {
			id := newID()
			o := &job{Spec: "ms=300", Steps: []step{{Count: 1, CPU: 500, MemMB: 1000, EstimateMs: 300}}}
			w.know(id, o)
			status, text := w.call(w.instances[(i+n)%len(w.instances)], "POST", prefix2+id, o, 3*time.Second)
			w.rec.log("POST %s -> %d %.100s", id, status, text)
		}
		time.Sleep(givenUpPause)
	}
	w.rec.log("%d of %d jobs of many steps were cancelled with 200", cancelled, givenUpJobs)
	return w.serves(k)
}
