package main

import (
	"slices"
	"time"
)

const (
	movedJobs = 12
	movedRun  = 14 * time.Second
)

// moved has a manifest send a queue to another service while jobs of it run, callers send
// these jobs once more, and the store forget its history.
func moved(dir string, trouble bool) bool {
	w := newWorldOf(dir, 12, 6, 4, false)
	w.tallyService = "seasoning"
	w.store.put("op", "config", w.config(3))
	w.rec.log("manifest 3: the queue's service is seasoning")
	time.Sleep(3 * time.Second)
	var ids []string
	j := &job{Spec: "ms=14000", Steps: []step{{Count: 2, CPU: 5600, MemMB: 15000, GPU: 1, EstimateMs: movedRun.Milliseconds()}}}
	for i := range movedJobs {
		id := newID()
		ids = append(ids, id)
		w.know(id, j)
		status, text := w.call(w.instances[i%len(w.instances)], "POST", prefix2+id, j, 3*time.Second)
		w.rec.log("POST %s -> %d %s", id, status, text)
	}
	time.Sleep(time.Second)
	w.tallyService = "assessing"
	w.store.put("op", "config", w.config(8))
	w.rec.log("manifest 8: the queue's service is assessing")
	time.Sleep(3 * time.Second)
	for i, id := range ids {
		status, text := w.call(w.instances[(i+1)%len(w.instances)], "POST", prefix2+id, j, 3*time.Second)
		w.rec.log("POST %s again -> %d %s", id, status, text)
	}
	time.Sleep(time.Second)
	if trouble {
		w.rec.log("the store's feeds hear nothing for a second")
		w.store.compact()
		w.rec.log("the store has forgotten its history")
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(movedRun + 10*time.Second)
	held := true
	for _, id := range ids {
		starts := w.rec.startsOf(id, 0)
		for i, s := range starts {
			before := slices.IndexFunc(starts[:i], func(o startOf) bool { return o.task == s.task })
			if before >= 0 && s.at-starts[before].at < movedRun {
				held = false
				o := starts[before]
				w.rec.log("TWICE: run %d of %s began on runner %s at %.3f while run %d was at work on runner %s since %.3f", s.run, s.task, s.runner, s.at.Seconds(), o.run, o.runner, o.at.Seconds())
			} else if before >= 0 {
				held = false
				w.rec.log("TWICE: run %d of %s began on runner %s at %.3f, after run %d had ended done", s.run, s.task, s.runner, s.at.Seconds(), starts[before].run)
			}
		}
		status, state := w.state(w.instances[0], prefix2, id)
		w.rec.log("GET %s -> %d %s, %d starts", id, status, state, len(starts))
	}
	return held
}
