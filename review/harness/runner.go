package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the site file crossbar-lw.
const (
	holdMax   = 10 * time.Second
	heartbeat = 1500 * time.Millisecond
	// stopTakes is how long the stand-in takes to stop a run; stopMs allows 900 ms.
	stopTakes = 60 * time.Millisecond
)

// Start is one run that a runner began.
type Start struct {
	Runner, Task, Spec string
	Run, Fence         int64
	At                 time.Duration
	Ended              time.Duration // 0 while it runs
	How                string
	N                  int64
	Noted              time.Duration // when seenUpto reached its end, 0 if it didn't
	Lapsed             bool          // the runner's lease lapsed between the end and Noted
}

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// Fleet is the runners of one service.
type Fleet struct {
	rec     *Record
	service string
	// workFor returns how long a work unit runs.
	workFor func(task string) time.Duration
	// needs returns what a work unit takes of a runner's capacity.
	needs func(task string) resources
	// cutFromStore stops the check-ins while the store is down.
	cutFromStore atomic.Bool

	mu      sync.Mutex
	starts  []*Start
	runners []*Runner
}

// Runner is a stand-in for one runner with a clock, a fence number and a lease.
type Runner struct {
	fleet    *Fleet
	id       string
	address  string
	rack     string
	capacity resources
	born     time.Time

	// The fleet's lock guards the rest.
	fence   int64
	until   time.Duration // on the runner's clock
	running map[string]*Start
	highest map[string]int64 // run that was stopped or has ended, by work unit
	listed  []*Start
	lastN   int64
	changed chan struct{}
}

// NewFleet returns a service without runners.
func NewFleet(rec *Record, service string) *Fleet {
	return &Fleet{rec: rec, service: service}
}

// Add starts a runner and keeps its entry in the store.
func (f *Fleet) Add(store *Store, id, rack string, capacity resources) *Runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &Runner{fleet: f, id: id, address: l.Addr().String(), rack: rack, capacity: capacity, born: time.Now(),
		running: map[string]*Start{}, highest: map[string]int64{}, changed: make(chan struct{})}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.order(r.start))
	mux.HandleFunc("POST /api/run-stop", r.order(r.stop))
	mux.HandleFunc("POST /api/hold", r.order(r.hold))
	go func() { _ = http.Serve(l, mux) }()
	go r.expire()
	go func() {
		for seq := 1; ; seq++ {
			if !f.cutFromStore.Load() {
				r.checkIn(store, seq)
			}
			time.Sleep(heartbeat)
		}
	}()
	return r
}

// checkIn writes the runner's entry.
func (r *Runner) checkIn(store *Store, seq int) {
	store.Put("servers", r.id, map[string]any{
		"backend": r.fleet.service, "address": r.address, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "seq": seq, "capacity": r.capacity, "labels": []string{"a", r.rack}, "machine": "m-" + r.id, "born": r.born.UnixMilli(),
	})
}

func (r *Runner) clock() time.Duration { return time.Since(r.born) }

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	SeenUpto int64  `json:"seenUpto"`
	WaitMs   int64  `json:"waitMs"`
}

// order decodes an order and rejects those for another lifetime and those with a
// lower fence number than one seen before.
func (r *Runner) order(serve func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if id := req.Header.Get("Expected-Instance"); id != "" && id != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(req.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.fleet.mu.Lock()
		if o.Fence < r.fence {
			r.fleet.mu.Unlock()
			r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		r.fence = o.Fence
		if o.UntilMs > 0 {
			r.until = max(r.until, min(time.Duration(o.UntilMs)*time.Millisecond, r.clock()+holdMax))
		}
		r.fleet.mu.Unlock()
		serve(w, req, o)
	}
}

func (r *Runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = r.clock().Milliseconds()
	body["born"] = r.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *Runner) free() resources {
	c := r.capacity
	for task := range r.running {
		n := r.fleet.needs(task)
		c.CPU, c.MemMB, c.GPU = c.CPU-n.CPU, c.MemMB-n.MemMB, c.GPU-n.GPU
	}
	return c
}

func (r *Runner) start(w http.ResponseWriter, _ *http.Request, o order) {
	f := r.fleet
	reason := ""
	f.mu.Lock()
	have := r.running[o.Task]
	need, free := f.needs(o.Task), r.free()
	switch {
	case have != nil && have.Run == o.Run:
		f.mu.Unlock()
		r.answer(w, http.StatusOK, map[string]any{})
		return
	case o.Run <= r.highest[o.Task]:
		reason = "old"
	case time.Duration(o.UntilMs)*time.Millisecond <= r.clock():
		reason = "late"
	case need.CPU > free.CPU || need.MemMB > free.MemMB || need.GPU > free.GPU:
		reason = "room"
	}
	if reason != "" {
		f.mu.Unlock()
		f.rec.Log("runner %s rejects start of %s run %d: %s", r.id, o.Task, o.Run, reason)
		r.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	s := &Start{Runner: r.id, Task: o.Task, Spec: o.Spec, Run: o.Run, Fence: o.Fence, At: f.rec.Now()}
	r.running[o.Task] = s
	f.starts = append(f.starts, s)
	f.mu.Unlock()
	f.rec.Log("runner %s starts %s run %d fence %d", r.id, o.Task, o.Run, o.Fence)
	time.AfterFunc(f.workFor(o.Task), func() { r.end(s, "done") })
	r.answer(w, http.StatusOK, map[string]any{})
}

// end ends a run unless it has ended before.
func (r *Runner) end(s *Start, how string) {
	f := r.fleet
	f.mu.Lock()
	if r.running[s.Task] != s {
		f.mu.Unlock()
		return
	}
	delete(r.running, s.Task)
	r.highest[s.Task] = max(r.highest[s.Task], s.Run)
	r.lastN++
	s.Ended, s.How, s.N = f.rec.Now(), how, r.lastN
	r.listed = append(r.listed, s)
	close(r.changed)
	r.changed = make(chan struct{})
	f.mu.Unlock()
	f.rec.Log("runner %s lists end %d: %s run %d %s", r.id, s.N, s.Task, s.Run, how)
}

func (r *Runner) stop(w http.ResponseWriter, _ *http.Request, o order) {
	f := r.fleet
	f.mu.Lock()
	s := r.running[o.Task]
	if s == nil || s.Run != o.Run {
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		s = nil
	}
	f.mu.Unlock()
	f.rec.Log("runner %s is told to stop %s run %d", r.id, o.Task, o.Run)
	if s != nil {
		time.AfterFunc(stopTakes, func() { r.end(s, "stopped") })
	}
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *Runner) hold(w http.ResponseWriter, req *http.Request, o order) {
	f := r.fleet
	f.mu.Lock()
	for len(r.listed) > 0 && r.listed[0].N <= o.SeenUpto {
		s := r.listed[0]
		s.Noted = f.rec.Now()
		r.listed = r.listed[1:]
		f.rec.Log("runner %s: end %d of %s run %d taken note of, fence %d", r.id, s.N, s.Task, s.Run, o.Fence)
	}
	f.mu.Unlock()
	timeout := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; waiting; {
		f.mu.Lock()
		waiting = len(r.listed) == 0 && o.WaitMs > 0
		changed := r.changed
		f.mu.Unlock()
		if !waiting {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
	f.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for task, s := range r.running {
		percent := int(100 * (f.rec.Now() - s.At) / max(f.workFor(task), 1))
		running = append(running, []any{task, s.Run, "", min(percent, 99), 0})
	}
	for _, s := range r.listed[:min(len(r.listed), 500)] {
		ended = append(ended, []any{s.N, s.Task, s.Run, s.How, ""})
	}
	f.mu.Unlock()
	r.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// expire kills everything when the lease has expired.
func (r *Runner) expire() {
	for {
		time.Sleep(10 * time.Millisecond)
		f := r.fleet
		f.mu.Lock()
		var lapsed []*Start
		if r.until > 0 && r.clock() > r.until {
			for _, s := range r.running {
				lapsed = append(lapsed, s)
			}
			for _, s := range r.listed {
				s.Lapsed = true
			}
		}
		f.mu.Unlock()
		for _, s := range lapsed {
			r.end(s, "lapsed")
		}
	}
}

// Starts returns a copy of all starts so far.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Start, len(f.starts))
	for i, s := range f.starts {
		out[i] = *s
	}
	return out
}

// Twice returns the breaches of TWICE: two runs of one work unit at the same time,
// or a start after a run that ended done and whose end was taken note of while the
// runner's lease lasted.
func (f *Fleet) Twice() []string {
	starts := f.Starts()
	byTask := map[string][]Start{}
	for _, s := range starts {
		byTask[s.Task] = append(byTask[s.Task], s)
	}
	var out []string
	for task, list := range byTask {
		for i, a := range list {
			for _, b := range list[i+1:] {
				switch {
				case a.Ended == 0 || b.At < a.Ended:
					out = append(out, fmt.Sprintf("%s runs twice at once: run %d on %s from %.3f, run %d on %s from %.3f",
						task, a.Run, a.Runner, a.At.Seconds(), b.Run, b.Runner, b.At.Seconds()))
				case a.How == "done" && a.Noted > 0 && !a.Lapsed:
					out = append(out, fmt.Sprintf("%s run %d on %s ended done at %.3f, taken note of at %.3f; started again at %.3f as run %d on %s",
						task, a.Run, a.Runner, a.Ended.Seconds(), a.Noted.Seconds(), b.At.Seconds(), b.Run, b.Runner))
				}
			}
		}
	}
	return out
}
