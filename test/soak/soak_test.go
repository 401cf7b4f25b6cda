// Package soak runs the real program as processes on loopback, injects faults
// from outside them by seed, and checks the promises from what callers and
// workers see.
package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
)

var (
	seeds     = flag.Uint64("seeds", 2, "seeds to run, besides those that once failed")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	seconds   = flag.Float64("seconds", 6, "how long faults are injected, in seconds")
	machines  = flag.Int("machines", 4, "instances")
	runners   = flag.Int("runners", 8, "workers")
	keepLogs  = flag.String("logs", "", "directory for the logs of failed seeds")
)

// healWithin and endWithin bound how long the instances and the accepted jobs may
// take once all faults have ended. They are several times what is needed, so
// that a busy machine doesn't fail the run: leases of 4.5 s and a takeover.
const (
	healWithin = 60 * time.Second
	endWithin  = 60 * time.Second
)

// failedOnce lists seeds that ever failed, with what they showed.
var failedOnce = map[uint64]string{
	217: "TWICE: an owner that woke from a suspension sent a start again to a worker that had been restarted meanwhile",
}

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "lentilwinch-poold")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/lentilwinch-poold").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a leftover in the temporary directory does no harm
	os.Exit(code)
}

func TestSoak(t *testing.T) {
	var all []uint64
	for s := range failedOnce {
		all = append(all, s)
	}
	for s := *firstSeed; s < *firstSeed+*seeds; s++ {
		all = append(all, s)
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, program, *machines, *runners)
	t.Cleanup(func() {
		if t.Failed() && *keepLogs != "" {
			path := filepath.Join(*keepLogs, fmt.Sprintf("soak-%d.log", seed))
			must.NoError(t, os.WriteFile(path, []byte(w.logs.String()), 0o600))
		}
	})
	w.heal(healWithin)
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &callers{world: w, jobs: map[string]*job{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 3 {
		own := rand.New(rand.NewPCG(seed, uint64(i)+100))
		group.Go(func() { c.run(own, i, stop) })
	}
	until := time.Now().Add(time.Duration(*seconds * float64(time.Second)))
	for time.Now().Before(until) {
		for range 1 + rng.IntN(3) {
			w.inject(rng)
		}
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	}
	close(stop)
	w.heal(healWithin)
	group.Wait()
	c.check(endWithin)
	for _, broken := range w.site.Pool.Broken() {
		t.Error(broken)
	}
}

// randomMode is a fault three times out of four.
func randomMode(rng *rand.Rand) mode {
	if rng.IntN(4) == 0 {
		return pass
	}
	return slow + mode(rng.IntN(int(lastOfMode)))
}

// inject begins one fault, or ends one, at random; faults overlap.
func (w *world) inject(rng *rand.Rand) {
	m := w.machines[rng.IntN(len(w.machines))]
	r := w.runners[rng.IntN(len(w.runners))]
	what := ""
	switch rng.IntN(12) {
	case 0:
		what = "kill " + m.name
		m.kill()
	case 1:
		what = "planned stop " + m.name
		m.signal(syscall.SIGTERM)
	case 2:
		what = "suspend " + m.name
		m.signal(syscall.SIGSTOP)
	case 3:
		what = "resume " + m.name
		m.signal(syscall.SIGCONT)
	case 4, 5:
		what = "start all"
		for _, m := range w.machines {
			m.start()
		}
	case 6:
		to := randomMode(rng)
		what = fmt.Sprintf("store of %s: %s", m.name, to)
		m.store.set(to)
	case 7:
		to := randomMode(rng)
		what = fmt.Sprintf("worker %s: %s", r.id, to)
		r.proxy.set(to)
	case 8:
		what = "restart worker " + r.id
		w.site.Pool.Restart(r.address)
	case 9:
		f := []fake.PoolFaults{{}, {Mute: true}, {Late: 1500 * time.Millisecond}, {Hang: true}, {FailAll: true}}[rng.IntN(5)]
		what = fmt.Sprintf("worker %s misbehaves: %+v", r.id, f)
		w.site.Pool.SetFaults(r.address, f)
	case 10:
		f := []fake.Faults{{}, {}, {Down: true}, {LoseAnswers: true}, {Hang: true}, {Delay: 150 * time.Millisecond}}[rng.IntN(6)]
		what = fmt.Sprintf("store: %+v", f)
		w.site.Rows.SetFaults(f)
	case 11:
		what = "store forgets its history"
		w.site.Rows.Compact()
	}
	w.t.Logf("%6.2f %s", time.Since(w.startedAt).Seconds(), what)
}

// heal ends all faults and waits until every instance takes calls.
func (w *world) heal(limit time.Duration) {
	w.t.Helper()
	w.site.Rows.SetFaults(fake.Faults{})
	for _, r := range w.runners {
		r.proxy.set(pass)
		w.site.Pool.SetFaults(r.address, fake.PoolFaults{})
	}
	for _, m := range w.machines {
		m.store.set(pass)
		m.signal(syscall.SIGCONT)
	}
	until := time.Now().Add(limit)
	client := &http.Client{}
	for _, m := range w.machines {
		for {
			m.start()
			if status, _ := m.call(client, http.MethodGet, "/urgent/", ""); status == http.StatusOK {
				break
			}
			must.True(w.t, time.Now().Before(until), must.Sprintf("%s takes no calls %v after the faults ended", m.name, limit))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// job is what a caller knows of its job.
type job struct {
	path      string
	accepted  bool // answered with success
	uncertain bool // some try got no definite answer
	cancelled bool // the cancellation was sent
}

// callers hand jobs in, cancel some and remember what they were told.
type callers struct {
	world *world
	mu    sync.Mutex
	jobs  map[string]*job
}

var shapes = []string{
	`{"spec":"%s","steps":[{"count":2,"cpu":1000,"memMb":100,"gpu":1,"estimateMs":400}]}`,
	`{"spec":"%s","steps":[{"count":4,"cpu":1000,"memMb":100,"gpu":4,"estimateMs":600,"gang":true}]}`,
	`{"spec":"%s","steps":[{"count":2,"cpu":1000,"memMb":100,"gpu":1,"estimateMs":300},{"count":3,"gpu":2,"estimateMs":300,"after":[0]}]}`,
}

func (c *callers) run(rng *rand.Rand, caller int, stop <-chan struct{}) {
	client := &http.Client{}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.IntN(250)) * time.Millisecond):
		}
		id := fmt.Sprintf("%04x%012x", caller, n)
		shape := rng.IntN(len(shapes))
		profile := fake.Profile{Work: time.Duration(200+rng.IntN(800)) * time.Millisecond}
		if shape == 1 {
			profile.Gang = 4
		}
		c.world.site.Pool.Profile(id, profile)
		j := &job{path: []string{"/urgent/", "/batch/"}[rng.IntN(2)] + id}
		c.mu.Lock()
		c.jobs[id] = j
		c.mu.Unlock()
		c.submit(rng, client, j, fmt.Sprintf(shapes[shape], id))
		if j.accepted && rng.IntN(8) == 0 {
			j.cancelled = true
			c.any(rng).call(client, http.MethodDelete, j.path, "")
		}
	}
}

func (c *callers) any(rng *rand.Rand) *machine {
	return c.world.machines[rng.IntN(len(c.world.machines))]
}

// submit tries a few times, each at any instance, as the platform's callers do.
func (c *callers) submit(rng *rand.Rand, client *http.Client, j *job, body string) {
	for range 4 {
		status, text := c.any(rng).call(client, http.MethodPost, j.path, body)
		switch status {
		case http.StatusOK:
			j.accepted = true
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			// surely not stored by this try
		case 0, http.StatusGatewayTimeout:
			j.uncertain = true
		default:
			c.world.t.Errorf("%s: answer %d %s", j.path, status, text)
			return
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// check waits until every accepted job has ended and compares with what the
// workers saw.
func (c *callers) check(limit time.Duration) {
	t := c.world.t
	client := &http.Client{}
	until := time.Now().Add(limit)
	counts := map[string]int{}
	for id, j := range c.jobs {
		switch {
		case j.accepted:
			counts[c.await(client, j, until)]++
		case !j.uncertain:
			counts["rejected"]++
			if c.world.site.Pool.Started(id) {
				t.Errorf("%s ran though every try was rejected", j.path)
			}
		default:
			counts["uncertain"]++
		}
	}
	t.Logf("jobs: %v, runs: %d", counts, c.world.site.Pool.Starts())
}

// await returns the job's final state.
func (c *callers) await(client *http.Client, j *job, until time.Time) string {
	last := ""
	for time.Now().Before(until) {
		for _, m := range c.world.machines {
			status, text := m.call(client, http.MethodGet, j.path, "")
			var body struct{ State string }
			if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
				last = body.State
			} else {
				last = fmt.Sprintf("answer %d %s", status, strings.TrimSpace(text))
			}
			switch {
			case last == "completed", last == "failed", last == "cancelled" && j.cancelled:
				return last
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.world.t.Errorf("%s, accepted, is not ended: %s", j.path, last)
	return "open"
}
