package main

import (
	"strings"
	"sync"
	"time"
)

const (
	cancelWithin = 3 * time.Second        // bounds.cancel_ms
	leaveAfter   = 125 * time.Millisecond // half of the objective of moist-check
	lateAfter    = 5500 * time.Millisecond
	lostFor      = time.Second // length of the time in which answers are lost
	cancelJobs   = 5
)

// cancelled sends jobs whose callers leave before they have an answer, and cancels them. In
// that time the store loses the answer to the write of each, and performs it seconds later.
func cancelled(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 4, false)
	var mu sync.Mutex
	losing, writes, lost := false, 0, 0
	chosen := map[string]bool{}
	w.store.decide = func(t *txn) fate {
		mu.Lock()
		defer mu.Unlock()
		if !losing {
			return fate{}
		}
		writes++
		for i := range t.Puts {
			if id, ok := strings.CutPrefix(t.Puts[i].Key, "job/"); ok && chosen[id] {
				delete(chosen, id)
				lost++
				w.rec.log("store: answer to the write of %s lost, to be performed in %v", id, lateAfter)
				return fate{lost: true, after: lateAfter}
			}
		}
		return fate{}
	}
	type cancel struct {
		id  string
		at  time.Duration
		ack int
	}
	var cancels []cancel
	time.Sleep(time.Second)
	for i := range cancelJobs {
		id := newID()
		j := &job{Spec: "ms=1500", Steps: []step{{Count: 3, CPU: 7500, MemMB: 20000, GPU: 1, EstimateMs: 1500}}}
		w.know(id, j)
		mu.Lock()
		losing, chosen[id] = trouble, true
		mu.Unlock()
		status, text := w.call(w.instances[i%len(w.instances)], "POST", prefix0+id, j, leaveAfter)
		w.rec.log("POST %s -> %d %s (0: the caller left after %v)", id, status, text, leaveAfter)
		for k := 1; ; k++ {
			status, text = w.call(w.instances[(i+k)%len(w.instances)], "DELETE", prefix0+id, nil, 3*time.Second)
			w.rec.log("DELETE %s -> %d %s", id, status, text)
			if status/100 == 2 || status == 410 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		cancels = append(cancels, cancel{id, w.rec.now(), status})
		time.Sleep(lostFor - leaveAfter)
		mu.Lock()
		losing = false
		mu.Unlock()
		// The store is stable for longer than contactMs before the next one begins.
		time.Sleep(7 * time.Second)
	}
	held := true
	for _, c := range cancels {
		for _, s := range w.rec.startsOf(c.id, c.at+cancelWithin) {
			held = false
			w.rec.log("UNASKED: run %d of %s began %.3f s after its cancelling was acknowledged with %d", s.run, s.task, (s.at - c.at).Seconds(), c.ack)
		}
		for _, in := range w.instances[:1] {
			status, state := w.state(in, prefix0, c.id)
			w.rec.log("GET %s -> %d %s", c.id, status, state)
		}
	}
	mu.Lock()
	w.rec.log("the store lost the answers of %d of %d writes while it lost any", lost, writes)
	mu.Unlock()
	return held
}
