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

// Times of the runners, by the settings that the instances get.
const (
	beatInterval  = 1500 * time.Millisecond
	missedBeats   = 3 // after which the store drops an entry
	maxLease      = 10 * time.Second
	stopDelay     = 100 * time.Millisecond // within stopMs
	leaseInterval = 20 * time.Millisecond
	startupTime   = 500 * time.Millisecond // of a work unit that lasts
)

type amount struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

func (a amount) plus(b amount) amount { return amount{a.CPU + b.CPU, a.MemMB + b.MemMB, a.GPU + b.GPU} }

func (a amount) minus(b amount) amount {
	return amount{a.CPU - b.CPU, a.MemMB - b.MemMB, a.GPU - b.GPU}
}

// times returns how many times need fits into a.
func (a amount) times(need amount) int64 {
	n := int64(1 << 30)
	for _, d := range [][2]int64{{a.CPU, need.CPU}, {a.MemMB, need.MemMB}, {a.GPU, need.GPU}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return n
}

type runState struct {
	task     string
	run      int64
	need     amount
	began    time.Time
	lasts    time.Duration // 0 for a work unit that runs until it is stopped
	fails    bool
	stopping bool
}

func (r *runState) percent(now time.Time) int {
	length := r.lasts
	if length == 0 {
		length = startupTime
	}
	return int(min(100*now.Sub(r.began)/length, 100))
}

type ending struct {
	n    int64
	task string
	run  int64
	how  string
}

// runner is one runner, which lives until crash is called.
type runner struct {
	fleet    *fleet
	id       string
	rack     string
	capacity amount
	bornAt   time.Time
	server   *http.Server
	address  string

	mu      sync.Mutex
	gone    bool
	fence   int64
	until   time.Duration // of the lease, on the runner's clock
	runs    map[string]*runState
	used    amount
	highest map[string]int64 // highest run of each work unit that was stopped or has ended
	ended   []ending
	lastEnd int64
	change  chan struct{} // closed by the next end
	seq     int64
	beatAt  time.Time
	muted   bool // its answers get lost
	down    bool // between a crash and the restart
}

func (r *runner) clock() time.Duration { return time.Since(r.bornAt) }

// fleet holds the runners of one service, and what their work units do.
type fleet struct {
	service string
	store   *store
	record  *record
	// ticketOK tells whether a start may run by the policy of its queue.
	ticketOK func(task, runner, ticket string) bool

	mu      sync.Mutex
	runners []*runner
	jobs    map[string]*jobSpec
	// failNext holds the work units whose next run fails, by name.
	failNext map[string]bool
	lastRun  map[string]time.Time // when a work unit last ran, by name
	doneRuns map[string]bool      // work units that have ended done, by name
	// started, if set, is called for each start.
	started func(r *runner, task string)
	twice   []string // overlaps of two runs of one work unit
}

func newFleet(service string, st *store, rec *record) *fleet {
	return &fleet{service: service, store: st, record: rec, jobs: map[string]*jobSpec{}, failNext: map[string]bool{}, lastRun: map[string]time.Time{}, doneRuns: map[string]bool{},
		ticketOK: func(string, string, string) bool { return true }}
}

// add starts a runner on ip.
func (f *fleet) add(ip, id, rack string, capacity amount) error {
	r := &runner{fleet: f, id: id, rack: rack, capacity: capacity, bornAt: time.Now(),
		runs: map[string]*runState{}, highest: map[string]int64{}, change: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.call(r.start))
	mux.HandleFunc("POST /api/run-stop", r.call(r.stop))
	mux.HandleFunc("POST /api/hold", r.call(r.hold))
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }() // ends with Close
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	r.beat()
	go r.live()
	return nil
}

func (f *fleet) all() []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*runner{}, f.runners...)
}

func (f *fleet) byID(id string) *runner {
	for _, r := range f.all() {
		if r.id == id {
			return r
		}
	}
	return nil
}

// live sends heartbeats and ends the runs whose lease is over, until the crash.
func (r *runner) live() {
	for {
		time.Sleep(leaseInterval)
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			return
		}
		if len(r.runs) > 0 && r.clock() > r.until {
			for task := range r.runs {
				r.end(task, "lapsed")
			}
		}
		due := time.Since(r.beatAt) >= beatInterval
		r.mu.Unlock()
		if due {
			r.beat()
		}
	}
}

func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	r.beatAt = time.Now()
	entry := map[string]any{
		"backend": r.fleet.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": r.capacity, "labels": []string{"a", r.rack}, "clockMs": r.clock().Milliseconds(), "born": r.bornAt.UnixMilli(), "seq": r.seq,
	}
	gone := r.gone
	r.mu.Unlock()
	if !gone {
		r.fleet.store.put("servers", r.id, entry)
	}
}

// crash ends the runner for good. Its entry is removed after missedBeats.
func (r *runner) crash() {
	r.mu.Lock()
	r.gone = true
	for task, run := range r.runs {
		r.fleet.record.add("runner %s: run %s run=%d is gone with its runner", r.id, task, run.run)
		r.fleet.ran(task)
	}
	r.runs, r.used = map[string]*runState{}, amount{}
	beatAt := r.beatAt
	r.mu.Unlock()
	_ = r.server.Close() // it always succeeds as far as this case is concerned
	r.fleet.record.add("disruption: runner %s crashes for good", r.id)
	time.AfterFunc(time.Until(beatAt.Add(missedBeats*beatInterval)), func() { r.fleet.store.remove("servers", r.id) })
}

// cut loses the runner's answers for length. Behind the cut it crashes and starts again
// under its id.
func (r *runner) cut(length, downFor time.Duration) {
	r.mu.Lock()
	r.muted, r.down = true, true
	r.runs, r.used = map[string]*runState{}, amount{}
	r.mu.Unlock()
	r.fleet.record.add("disruption: the answers of runner %s are lost from now on, it crashes", r.id)
	time.AfterFunc(downFor, func() {
		r.mu.Lock()
		r.down, r.bornAt, r.fence, r.until = false, time.Now(), 0, 0
		r.highest, r.ended, r.lastEnd, r.seq = map[string]int64{}, nil, 0, 0
		r.mu.Unlock()
		r.fleet.record.add("disruption: runner %s has started again", r.id)
		r.beat()
	})
	time.AfterFunc(length, func() {
		r.mu.Lock()
		r.muted = false
		r.mu.Unlock()
		r.fleet.record.add("disruption: the answers of runner %s arrive again", r.id)
	})
}

func (f *fleet) ran(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRun[task] = time.Now()
}

// end ends a run that is there. The lock must be held.
func (r *runner) end(task, how string) {
	run := r.runs[task]
	if run == nil {
		return
	}
	delete(r.runs, task)
	r.used = r.used.minus(run.need)
	r.highest[task] = max(r.highest[task], run.run)
	r.lastEnd++
	r.ended = append(r.ended, ending{r.lastEnd, task, run.run, how})
	r.fleet.record.add("runner %s: end %d of %s run=%d %s", r.id, r.lastEnd, task, run.run, how)
	r.fleet.ran(task)
	if how == "done" {
		r.fleet.mu.Lock()
		r.fleet.doneRuns[task] = true
		r.fleet.mu.Unlock()
	}
	close(r.change)
	r.change = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	Ticket   string `json:"ticket"`
	SeenUpto int64  `json:"seenUpto"`
	WaitMs   int64  `json:"waitMs"`
}

// call decodes an order and rejects one for another runner. serve is called with the
// lock held and returns a status and a body.
func (r *runner) call(serve func(*http.Request, *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if id := req.Header.Get("Expected-Instance"); id != "" && id != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		if r.down {
			r.mu.Unlock()
			<-req.Context().Done()
			return
		}
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= r.fence {
			r.fence = o.Fence
			status, body = serve(req, &o)
		}
		if body == nil {
			body = map[string]any{}
		}
		body["clockMs"] = r.clock().Milliseconds()
		muted := r.muted
		r.mu.Unlock()
		if muted {
			<-req.Context().Done()
			return
		}
		writeJSON(w, status, body)
	}
}

// extend renews the lease, which never gets shorter.
func (r *runner) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, r.clock()+maxLease)
	r.until = max(r.until, until)
}

func (r *runner) start(_ *http.Request, o *order) (int, map[string]any) {
	reject := func(reason string) (int, map[string]any) {
		r.fleet.record.add("runner %s: start of %s run=%d rejected: %s", r.id, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if time.Duration(o.UntilMs)*time.Millisecond <= r.clock() {
		return reject("late")
	}
	r.extend(o.UntilMs)
	if o.Run <= r.highest[o.Task] {
		return reject("old")
	}
	if run := r.runs[o.Task]; run != nil {
		if run.run == o.Run {
			return http.StatusOK, nil
		}
		return reject("old")
	}
	f := r.fleet
	f.mu.Lock()
	job := f.jobs[strings.SplitN(o.Task, ".", 2)[0]]
	fails := f.failNext[o.Task]
	delete(f.failNext, o.Task)
	f.mu.Unlock()
	if job == nil || job.spec != o.Spec {
		f.record.add("runner %s: start of %s run=%d that nobody sent", r.id, o.Task, o.Run)
		return http.StatusBadRequest, nil
	}
	step := job.step(o.Task)
	if r.capacity.minus(r.used).times(step.need()) < 1 {
		return reject("room")
	}
	if !f.ticketOK(o.Task, r.id, o.Ticket) {
		return reject("ticket")
	}
	run := &runState{task: o.Task, run: o.Run, need: step.need(), began: time.Now(), lasts: step.runs, fails: fails}
	r.runs[o.Task] = run
	r.used = r.used.plus(run.need)
	f.record.add("runner %s: start of %s run=%d", r.id, o.Task, o.Run)
	go f.noteStart(r, o.Task)
	switch {
	case fails:
		time.AfterFunc(min(step.runs/4, time.Second), func() { r.finish(run, "failed") })
	case step.runs > 0:
		time.AfterFunc(step.runs, func() { r.finish(run, "done") })
	}
	return http.StatusOK, nil
}

// finish ends a run unless it has ended before.
func (r *runner) finish(run *runState, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.gone && r.runs[run.task] == run {
		r.end(run.task, how)
	}
}

func (r *runner) stop(_ *http.Request, o *order) (int, map[string]any) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if run := r.runs[o.Task]; run != nil && run.run <= o.Run && !run.stopping {
		run.stopping = true
		r.fleet.record.add("runner %s: stop of %s run=%d", r.id, o.Task, o.Run)
		time.AfterFunc(stopDelay, func() { r.finish(run, "stopped") })
	}
	return http.StatusOK, nil
}

func (r *runner) hold(req *http.Request, o *order) (int, map[string]any) {
	if o.WaitMs > 2000 {
		return http.StatusBadRequest, nil
	}
	if o.UntilMs > 0 {
		r.extend(o.UntilMs)
	}
	for len(r.ended) > 0 && r.ended[0].n <= o.SeenUpto {
		r.ended = r.ended[1:]
	}
	if len(r.ended) == 0 && o.WaitMs > 0 {
		change := r.change
		r.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-req.Context().Done():
		}
		r.mu.Lock()
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, run := range r.runs {
		running = append(running, []any{run.task, run.run, "", run.percent(now), 0})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended, "born": r.bornAt.UnixMilli()}
}

// jobSpec is a job as the consumer sends it, and what its work units do.
type jobSpec struct {
	id    string
	spec  string
	steps []stepSpec
}

type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"memMb"`
	GPU          int64  `json:"gpu,omitempty"`
	EstimateMs   int64  `json:"estimateMs"`
	Label        string `json:"requiredLabel,omitempty"`
	MaxPerServer int    `json:"maxPerServer,omitempty"`
	LongLived    bool   `json:"longLived,omitempty"`

	runs time.Duration // how long a work unit runs; 0 if it lasts
}

func (s *stepSpec) need() amount { return amount{s.CPU, s.MemMB, s.GPU} }

// step returns the step of a work unit with the name ID.K.STEP.INDEX.
func (j *jobSpec) step(task string) *stepSpec {
	k, err := strconv.Atoi(strings.Split(task, ".")[2])
	if err != nil {
		panic(err)
	}
	return &j.steps[k]
}

func (j *jobSpec) unit(index int) string { return fmt.Sprintf("%s.0.0.%d", j.id, index) }

// noteStart records whether a work unit that has just started on r runs elsewhere too.
func (f *fleet) noteStart(r *runner, task string) {
	for _, other := range f.all() {
		if other == r {
			continue
		}
		other.mu.Lock()
		run := other.runs[task]
		if run != nil {
			text := fmt.Sprintf("%s starts on runner %s while its run %d is running on runner %s", task, r.id, run.run, other.id)
			f.record.add("%s", text)
			f.mu.Lock()
			f.twice = append(f.twice, text)
			f.mu.Unlock()
		}
		other.mu.Unlock()
	}
	f.mu.Lock()
	started := f.started
	f.mu.Unlock()
	if started != nil {
		started(r, task)
	}
}

// done reports whether a work unit has ended done.
func (f *fleet) done(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doneRuns[task]
}

// where returns the runner on which a work unit runs, "" if there is none.
func (f *fleet) where(task string) string {
	for _, r := range f.all() {
		r.mu.Lock()
		_, ok := r.runs[task]
		r.mu.Unlock()
		if ok {
			return r.id
		}
	}
	return ""
}

// room returns how many times need fits on the free capacity of the runners that are up
// and have the label, as far as allowed permits them.
func (f *fleet) room(need amount, label string, allowed func(runner string) bool) int64 {
	n := int64(0)
	for _, r := range f.all() {
		r.mu.Lock()
		if !r.gone && (label == "" || label == "a" || label == r.rack) && (allowed == nil || allowed(r.id)) {
			n += r.capacity.minus(r.used).times(need)
		}
		r.mu.Unlock()
	}
	return n
}

// usedShare returns the largest share of a resource of the runners that are up that is in
// use.
func (f *fleet) usedShare() float64 {
	var used, capacity amount
	for _, r := range f.all() {
		r.mu.Lock()
		if !r.gone {
			used, capacity = used.plus(r.used), capacity.plus(r.capacity)
		}
		r.mu.Unlock()
	}
	return max(float64(used.CPU)/float64(capacity.CPU), float64(used.MemMB)/float64(capacity.MemMB), float64(used.GPU)/float64(capacity.GPU))
}
