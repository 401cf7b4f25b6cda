package main

import "time"

const (
	labelRunners = 48
	ofKindA      = 16
	labelTurns   = 4
	crashing     = 6               // 0.125 of the runners; srv_crash of the site file has a share of 0.14
	crashedFor   = 3 * time.Second // srv_crash of the site file takes 4.5 s
)

// label has runners crash and come back as ones of another kind, under the same id and
// address, while work units wait that require the former kind.
func label(dir string, trouble bool) bool {
	w := newWorld(dir, labelRunners, 4, false)
	for i, r := range w.runners {
		if i >= ofKindA {
			r.mu.Lock()
			r.kind = "b"
			r.mu.Unlock()
			r.checkNow <- struct{}{}
		}
	}
	time.Sleep(2 * time.Second)
	// setKind has some runners crash at once and come back as ones of a kind.
	setKind := func(runners []*runner, kind string) {
		for _, r := range runners {
			r.crash()
		}
		time.Sleep(crashedFor)
		for _, r := range runners {
			r.restart(kind)
			r.checkNow <- struct{}{}
			r.serve("")
		}
	}
	for turn := range labelTurns {
		id := newID()
		// More work units than the 128 that the runners of kind a hold at once.
		j := &job{Spec: "ms=2500", Steps: []step{{Count: 240, CPU: 7500, MemMB: 15000, GPU: 1, EstimateMs: 2500, Label: "a"}}}
		w.know(id, j)
		status, text := w.call(w.instances[turn%4], "POST", prefix2+id, j, 3*time.Second)
		w.rec.log("POST %s, which requires kind a -> %d %s", id, status, text)
		time.Sleep(500 * time.Millisecond)
		first := turn % 2 * crashing
		group := w.runners[first : first+crashing]
		back := "b"
		if !trouble {
			back = "a"
		}
		setKind(group, back)
		for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
			if _, state := w.state(w.instances[0], prefix2, id); state == "completed" {
				break
			}
		}
		if back != "a" { // back to the former kind, while nothing waits
			setKind(group, "a")
			time.Sleep(2 * time.Second)
		}
	}
	held := true
	for _, s := range w.rec.all() {
		if s.kind != "a" {
			held = false
			w.rec.log("ROUTE: run %d of %s, which requires kind a, began on runner %s of kind %s at %.3f", s.run, s.task, s.runner, s.kind, s.at.Seconds())
		}
	}
	w.rec.log("%d starts", len(w.rec.all()))
	return held
}
