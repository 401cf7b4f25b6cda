package main

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	earlyBy   = 250 * time.Millisecond // bounds.early_ms
	slowTimes = 99                     // trouble-2 of sites/adama-willow.toml
	slowFor   = 5800 * time.Millisecond
	slowGap   = 8 * time.Second
	slowTurns = 4
	interval  = 200 * time.Millisecond
)

// early runs a job with times while the store is slow by turns.
func early(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 4, true)
	var slow atomic.Bool
	w.store.delay = func() time.Duration {
		if slow.Load() {
			return (slowTimes - 1) * readTime
		}
		return 0
	}
	time.Sleep(2 * time.Second)
	id := newID()
	first := time.Now().Add(3 * time.Second).UnixMilli()
	runs := int((slowTurns*(slowFor+slowGap) + 4*time.Second) / interval)
	j := &job{Spec: "ms=50", Steps: []step{{Count: 1, CPU: 500, MemMB: 100, EstimateMs: 50}}, MaxRuns: runs, StartTimeMs: first, IntervalMs: interval.Milliseconds()}
	w.know(id, j)
	status, text := w.call(w.instances[0], "POST", prefix0+id, j, 3*time.Second)
	w.rec.log("POST %s with %d times, every %v -> %d %s", id, runs, interval, status, text)
	for range slowTurns {
		slow.Store(trouble)
		if trouble {
			w.rec.log("the store's answers take %v longer", (slowTimes-1)*readTime)
		}
		time.Sleep(slowFor)
		slow.Store(false)
		w.rec.log("the store is as usual")
		time.Sleep(slowGap)
	}
	time.Sleep(3 * time.Second)
	held := true
	starts := w.rec.startsOf(id, 0)
	worst := time.Duration(0)
	for _, s := range starts {
		k, err := strconv.Atoi(strings.Split(s.task, ".")[1])
		must(err)
		due := time.UnixMilli(first).Add(time.Duration(k) * interval)
		early := due.Sub(w.rec.start.Add(s.at))
		worst = max(worst, early)
		if early > earlyBy {
			held = false
			w.rec.log("ORDER: run %d of %s began at %.3f, %v before its time", s.run, s.task, s.at.Seconds(), early.Round(time.Millisecond))
		}
	}
	w.rec.log("%d starts, the earliest %v before its time", len(starts), worst.Round(time.Millisecond))
	return held
}
