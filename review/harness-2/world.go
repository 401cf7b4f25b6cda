package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	service       = "triage-svc"
	host          = "jobs.example"
	key           = "key-of-tenant-a"
	runnerCount   = 48 // as at crossbar-lw
	runnersOfRack = 6
	instanceCount = 4
	finishTime    = 14 * time.Second // finish_s
	idleLimit     = 3 * time.Second  // for which a job may have nothing running
	calmTime      = 4 * time.Second  // without disruption before that
	lastingLimit  = 6 * time.Second  // after which a work unit that lasts has to run again
)

// route is a queue of the manifest.
type route struct {
	prefix   string
	priority int
	stretch  float64
	aimMs    int
	attempts int
	advice   bool
}

// The queues, with the figures of crossbar-lw; those with advice are extra.
var (
	urgent      = route{prefix: "/flasher-triage/", priority: 0, stretch: 1.5, aimMs: 250, attempts: 4}
	normal      = route{prefix: "/trend-batch/", priority: 1, stretch: 3, aimMs: 1000, attempts: 4}
	low         = route{prefix: "/gate-imagery/", priority: 2, stretch: 3, aimMs: 3000, attempts: 4}
	adviceHigh  = route{prefix: "/advised-trend/", priority: 1, stretch: 3, aimMs: 1000, attempts: 4, advice: true}
	adviceLow   = route{prefix: "/advised-imagery/", priority: 2, stretch: 3, aimMs: 3000, attempts: 4, advice: true}
	routes      = []route{urgent, normal, low, adviceHigh, adviceLow}
	runnerSize  = amount{CPU: 32000, MemMB: 65536, GPU: 8}
	errNoAnswer = fmt.Errorf("no answer")
)

// world is a small deployment: the stand-ins and the processes of the scheduler.
type world struct {
	record    *record
	dir       string
	store     *store
	fleet     *fleet
	policy    *policy
	instances []*instance
	client    *http.Client
	next      int // instance that the next call goes to
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, dir: dir, store: newStore(), client: &http.Client{Timeout: 4 * time.Second}}
	// A subnet of the loopback range of its own, so that the fixed port of the metrics is
	// free too.
	net24 := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))
	storeAddress, err := w.store.serve(net24 + "2")
	if err != nil {
		return w, err
	}
	w.fleet = newFleet(service, w.store, rec)
	w.policy = newPolicy(rec)
	policyAddress, err := w.policy.serve(net24 + "3")
	if err != nil {
		return w, err
	}
	for i := range runnerCount {
		id, rack := fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("r1-%d", i/runnersOfRack+1)
		if err := w.fleet.add(net24+"4", id, rack, runnerSize); err != nil {
			return w, err
		}
	}
	w.store.put("op", "config", manifest())
	var ips []string
	for i := range instanceCount {
		ips = append(ips, fmt.Sprintf("%s%d", net24, 11+i))
	}
	w.instances, err = startInstances(dir, ips, storeAddress, policyAddress)
	if err != nil {
		return w, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for _, in := range w.instances {
		if err := in.awaitReady(ctx); err != nil {
			return w, err
		}
	}
	time.Sleep(3 * time.Second) // until the pool has an owner that has called the runners
	return w, nil
}

func manifest() map[string]any {
	var list []map[string]any
	for i, q := range routes {
		r := map[string]any{
			"name": fmt.Sprintf("route-%d", i), "host": host, "prefix": q.prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": q.aimMs,
			"priority": q.priority, "backend": service, "maxAttempts": q.attempts, "stretch": q.stretch, "allowAnonymous": false,
		}
		if q.advice {
			r["advice"] = map[string]int{"decideMs": decideTime, "eachMs": eachTime, "validMs": ticketTime}
		}
		list = append(list, r)
	}
	return map[string]any{
		"version": 7, "routes": list,
		"backends": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "tenant-a", "apiKeys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": 72}}},
	}
}

// close ends the processes. It keeps the logs if keep is set.
func (w *world) close(keep bool) {
	for _, in := range w.instances {
		in.stop()
	}
	if keep {
		fmt.Println("logs of the instances:", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir) // a folder that stays does no harm
}

// call sends one call of the consumer and returns its status, and errNoAnswer without one.
func (w *world) call(method, path string, body any) (int, map[string]any, error) {
	in := w.instances[w.next%len(w.instances)]
	w.next++
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequest(method, "http://"+in.front+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := w.client.Do(req)
	if err != nil {
		w.record.add("consumer: %s %s at %s: %v", method, path, in.name, err)
		return 0, nil, errNoAnswer
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, errNoAnswer
	}
	out := map[string]any{}
	_ = json.Unmarshal(answer, &out) // an answer may have no body
	w.record.add("consumer: %s %s at %s: %d %s", method, path, in.name, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode, out, nil
}

// submit hands a job in, with up to four retries, and fails unless it is accepted.
func (w *world) submit(q route, j *jobSpec) error {
	w.fleet.mu.Lock()
	w.fleet.jobs[j.id] = j
	w.fleet.mu.Unlock()
	for range 5 {
		status, _, err := w.call(http.MethodPost, q.prefix+j.id, map[string]any{"spec": j.spec, "steps": j.steps})
		if err == nil && status/100 == 2 {
			return nil
		}
		if err == nil && status/100 == 4 && status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s isn't accepted", j.id)
}

func (w *world) state(q route, j *jobSpec) string {
	_, body, err := w.call(http.MethodGet, q.prefix+j.id, nil)
	if err != nil {
		return ""
	}
	state, _ := body["state"].(string)
	return state
}

// awaitRuns waits until the first n work units of a job run.
func (w *world) awaitRuns(j *jobSpec, n int, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		running := 0
		for i := range n {
			if w.fleet.where(j.unit(i)) != "" {
				running++
			}
		}
		if running == n {
			return nil
		}
	}
	return fmt.Errorf("job %s doesn't run", j.id)
}

// job returns a job of one step. number makes its ID.
func job(number int, step stepSpec) *jobSpec {
	id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+number)
	return &jobSpec{id: id, spec: "work of " + id, steps: []stepSpec{step}}
}

// idle is the check of the rule LOST for the units of jobs that wait: how long each has
// had nothing running although there was capacity for it twice over.
type idle struct {
	since map[string]time.Time
	worst time.Duration
	what  string
}

// watchIdle samples, for span, the jobs that have nothing running and haven't ended. With
// lasting set, the rule for work units that last holds, which has no bound on the use of
// the service. It returns the longest time for which the rule's condition held.
func (w *world) watchIdle(jobs []*jobSpec, span time.Duration, lasting bool, allowed func(runner string) bool) *idle {
	out := &idle{since: map[string]time.Time{}}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		share := w.fleet.usedShare()
		for _, j := range jobs {
			step := &j.steps[0]
			running, ended := 0, 0
			for i := range step.Count {
				if w.fleet.where(j.unit(i)) != "" {
					running++
				}
				if w.fleet.done(j.unit(i)) {
					ended++
				}
			}
			waits := running == 0 && ended < step.Count
			if !waits || w.fleet.room(step.need(), step.Label, allowed) < 2 || !lasting && share >= 0.5 {
				delete(out.since, j.id)
				continue
			}
			if _, ok := out.since[j.id]; !ok {
				out.since[j.id] = now
			}
			if d := now.Sub(out.since[j.id]); d > out.worst {
				out.worst = d
				out.what = fmt.Sprintf("job %s had nothing running for %.1f s, with capacity for %d of its work units and %.0f%% of the service in use",
					j.id, d.Seconds(), w.fleet.room(step.need(), step.Label, allowed), 100*share)
			}
		}
	}
	return out
}

// policy is a stand-in for the service behind advice.
type policy struct {
	record *record
	// allowed holds the runners that may run a job's steps; a job that isn't in it may run
	// on all.
	mu      sync.Mutex
	allowed map[string]map[string]bool
	tickets map[string]time.Time // until when a ticket is valid
	turn    sync.Mutex           // one call at a time
}

// Times of the policy service in milliseconds, as in the examples of the pages.
const (
	decideTime = 50
	eachTime   = 5
	ticketTime = 3000
)

func newPolicy(rec *record) *policy {
	return &policy{record: rec, allowed: map[string]map[string]bool{}, tickets: map[string]time.Time{}}
}

func (p *policy) serve(ip string) (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", p.advise)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, mux) }() // runs until the process ends
	return l.Addr().String(), nil
}

func (p *policy) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.turn.Lock()
	time.Sleep(time.Duration(decideTime+eachTime*len(q.Workers)) * time.Millisecond)
	p.turn.Unlock()
	good := [][]string{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range q.Workers {
		if p.mayRun(strings.SplitN(q.Step, ".", 2)[0], id) {
			ticket := q.Step + "-" + id
			p.tickets[ticket] = time.Now().Add(ticketTime * time.Millisecond)
			good = append(good, []string{id, ticket})
		}
	}
	p.record.add("policy: step %s: %d of %d runners may run it", q.Step, len(good), len(q.Workers))
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "validMs": ticketTime})
}

// mayRun reports whether the policy allows a job on a runner. The lock must be held.
func (p *policy) mayRun(job, runner string) bool {
	allowed, limited := p.allowed[job]
	return !limited || allowed[runner]
}

// accepts reports whether a runner accepts the ticket of a start.
func (p *policy) accepts(task, runner, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	until, ok := p.tickets[ticket]
	return ok && ticket == step+"-"+runner && time.Now().Before(until)
}
