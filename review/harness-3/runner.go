package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of sites/adama-willow.toml.
const (
	holdMax = 10 * time.Second
	stopMs  = 400 * time.Millisecond
)

type need struct{ cpu, mem, gpu int64 }

// work is what runners know of the jobs that clients sent.
type workBook struct {
	mu    sync.Mutex
	needs map[string]need // by ID.STEP
}

func (b *workBook) set(id string, step int, n need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.needs[fmt.Sprintf("%s.%d", id, step)] = n
}

func (b *workBook) of(task string) need {
	p := strings.Split(task, ".")
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(p) != 4 {
		return need{}
	}
	return b.needs[p[0]+"."+p[2]]
}

type run struct {
	number  int64
	started time.Time
	takes   time.Duration
	need    need
	timer   *time.Timer
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// runner is a stand-in for one runner.
type runner struct {
	id, address, zone, rack string
	book                    *workBook
	rec                     *recorder
	quiet                   bool

	service, kind string
	server        *http.Server

	mu      sync.Mutex
	start   time.Time
	fence   int64
	until   time.Duration // end of the lease, on the runner's clock
	lapse   *time.Timer
	running map[string]*run
	ended   []end
	n       int64
	highest map[string]int64
	free    need
	changed chan struct{}
	isDown  bool
	// checkNow has the runner check in at once.
	checkNow chan struct{}
}

func newRunner(id, address, zone, rack string, book *workBook, rec *recorder) *runner {
	return &runner{id: id, address: address, zone: zone, rack: rack, service: "assessing", kind: "a", book: book, rec: rec, start: time.Now(), running: map[string]*run{}, highest: map[string]int64{},
		free: need{64000, 131072, 8}, changed: make(chan struct{}), checkNow: make(chan struct{}, 1)}
}

func (r *runner) clock() time.Duration { return time.Since(r.start) }

func (r *runner) entry(seq int) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{"backend": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": 64000, "memMb": 131072, "gpu": 8}, "labels": []string{r.kind, r.rack}, "clockMs": r.clock().Milliseconds(), "seq": seq, "born": r.start.UnixMilli()}
}

// crash ends the runner's lifetime: it runs nothing, and its address refuses connections.
func (r *runner) crash() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.running {
		x.timer.Stop()
	}
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.running, r.ended, r.highest = map[string]*run{}, nil, map[string]int64{}
	r.n, r.fence, r.until, r.free = 0, 0, 0, need{64000, 131072, 8}
	r.isDown = true
	r.rec.log("runner %s crashed", r.id)
}

// restart begins a new lifetime, of the given kind, under the same id and address.
func (r *runner) restart(kind string) {
	r.mu.Lock()
	r.start, r.kind, r.isDown = time.Now(), kind, false
	r.mu.Unlock()
	r.rec.log("runner %s is back, of kind %s", r.id, kind)
}

// serve serves on an address, "" for a free port of the given IP.
func (r *runner) serve(ip string) {
	address := r.address
	if address == "" {
		address = ip + ":0"
	}
	l, err := net.Listen("tcp", address)
	must(err)
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: r}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
}

// endRun ends a run; the caller holds r.mu.
func (r *runner) endRun(task string, how string) {
	x := r.running[task]
	if x == nil {
		return
	}
	x.timer.Stop()
	delete(r.running, task)
	r.free = need{r.free.cpu + x.need.cpu, r.free.mem + x.need.mem, r.free.gpu + x.need.gpu}
	r.n++
	r.ended = append(r.ended, end{r.n, task, x.number, how})
	if !r.quiet {
		r.rec.log("runner %s: run %d of %s ended %s", r.id, x.number, task, how)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// extend extends the lease of everything that runs; the caller holds r.mu.
func (r *runner) extend(untilMs int64) {
	now := r.clock()
	until := min(time.Duration(untilMs)*time.Millisecond, now+holdMax)
	if until <= r.until {
		return
	}
	r.until = until
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(until-now, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.clock() < r.until {
			return
		}
		for task := range r.running {
			r.endRun(task, "lapsed")
		}
	})
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o struct {
		Task     string `json:"task"`
		Run      int64  `json:"run"`
		Spec     string `json:"spec"`
		UntilMs  int64  `json:"untilMs"`
		Fence    int64  `json:"fence"`
		SeenUpto int64  `json:"seenUpto"`
		WaitMs   int64  `json:"waitMs"`
	}
	if q.Method == http.MethodPost && json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if o.Fence < r.fence {
		r.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clockMs": r.clock().Milliseconds(), "reason": "fence"})
		return
	}
	r.fence = max(r.fence, o.Fence)
	switch q.URL.Path {
	case "/api/run-start":
		status, reason := r.begin(o.Task, o.Run, o.Spec, o.UntilMs)
		r.mu.Unlock()
		body := map[string]any{"clockMs": r.clock().Milliseconds()}
		if reason != "" {
			body["reason"] = reason
		}
		answer(w, status, body)
	case "/api/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if x := r.running[o.Task]; x != nil && x.number == o.Run {
			x.timer.Stop()
			x.timer = time.AfterFunc(stopMs/4, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.running[o.Task] == x {
					r.endRun(o.Task, "stopped")
				}
			})
		}
		r.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"clockMs": r.clock().Milliseconds()})
	case "/api/hold":
		for len(r.ended) > 0 && r.ended[0].n <= o.SeenUpto {
			r.ended = r.ended[1:]
		}
		if o.UntilMs > 0 {
			r.extend(o.UntilMs)
		}
		timeout := time.After(time.Duration(o.WaitMs) * time.Millisecond)
		for waiting := o.WaitMs > 0; waiting && len(r.ended) == 0; {
			changed := r.changed
			r.mu.Unlock()
			select {
			case <-changed:
			case <-timeout:
				waiting = false
			case <-q.Context().Done():
				return
			}
			r.mu.Lock()
		}
		running, ended := [][]any{}, [][]any{}
		for task, x := range r.running {
			percent := min(int(time.Since(x.started)*100/max(x.takes, 1)), 99)
			running = append(running, []any{task, x.number, "", percent})
		}
		for i := range r.ended[:min(len(r.ended), 500)] {
			e := &r.ended[i]
			ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		}
		r.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.start.UnixMilli(), "running": running, "ended": ended})
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusOK)
	}
}

// begin starts a run; the caller holds r.mu.
func (r *runner) begin(task string, number int64, spec string, untilMs int64) (int, string) {
	if x := r.running[task]; x != nil && x.number == number {
		r.extend(untilMs)
		return http.StatusOK, ""
	}
	if number <= r.highest[task] {
		r.extend(untilMs)
		return http.StatusConflict, "old"
	}
	if time.Duration(untilMs)*time.Millisecond <= r.clock() {
		return http.StatusConflict, "late"
	}
	n := r.book.of(task)
	if r.running[task] != nil || n.cpu > r.free.cpu || n.mem > r.free.mem || n.gpu > r.free.gpu {
		r.extend(untilMs)
		return http.StatusConflict, "room"
	}
	takes := time.Second
	if _, ms, ok := strings.Cut(spec, "ms="); ok {
		if v, err := strconv.Atoi(strings.Fields(ms)[0]); err == nil {
			takes = time.Duration(v) * time.Millisecond
		}
	}
	r.extend(untilMs)
	r.free = need{r.free.cpu - n.cpu, r.free.mem - n.mem, r.free.gpu - n.gpu}
	r.highest[task] = number
	x := &run{number: number, started: time.Now(), takes: takes, need: n}
	x.timer = time.AfterFunc(takes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[task] == x {
			r.endRun(task, "done")
		}
	})
	r.running[task] = x
	if !r.quiet {
		r.rec.log("runner %s: run %d of %s begun", r.id, number, task)
	}
	r.rec.began(task, number, r.id, r.kind)
	return http.StatusOK, ""
}
