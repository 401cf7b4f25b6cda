// Package soak runs several lentilwinch-poold processes on loopback and injects
// faults into them from outside. The faults are drawn from a seed. The test checks
// the promises to callers against the records of callers and workers.
package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/test/programs"
)

var (
	seedCount     = flag.Uint64("seeds", 2, "number of seeds to run in addition to the regression seeds")
	firstSeed     = flag.Uint64("first-seed", 1, "first seed")
	faultSeconds  = flag.Float64("seconds", 6, "duration of the fault injection, in seconds")
	instanceCount = flag.Int("machines", 4, "number of instances")
	workerCount   = flag.Int("runners", 8, "number of workers")
	logDir        = flag.String("logs", "", "directory for the logs of failed seeds")
)

// recoveryTimeout bounds the time until all instances serve requests after the
// faults have ended, and completionTimeout the time until all accepted jobs have
// ended. Recovery takes the expiry of a 4.5 s lease and a takeover. The bounds are
// several times that, so that a busy machine doesn't fail the run.
const (
	recoveryTimeout   = 60 * time.Second
	completionTimeout = 60 * time.Second
)

// regressionSeeds maps each seed that has failed to its failure.
var regressionSeeds = map[uint64]string{
	217: "a task started twice: an owner resumed from suspension repeated a start to a worker that had restarted in the meantime",
}

// binDir is the directory of the built program.
var binDir string

func TestMain(m *testing.M) { os.Exit(programs.Run(m, &binDir, "lentilwinch-poold")) }

func TestSoak(t *testing.T) {
	var seeds []uint64
	for s := range regressionSeeds {
		seeds = append(seeds, s)
	}
	for s := *firstSeed; s < *firstSeed+*seedCount; s++ {
		seeds = append(seeds, s)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, options{services: oneService}) })
	}
}

var oneService = []string{"triage"}

// delegatingShare is a share of a core so small that an owner of eight workers calls
// them through all other instances.
const delegatingShare = 0.02

// The same faults where the owner calls its workers through other instances.
func TestSoakWithDelegates(t *testing.T) {
	for s := *firstSeed; s < *firstSeed+*seedCount; s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) { runSoak(t, s, options{cpuShare: delegatingShare, services: oneService}) })
	}
}

// The same faults while queues move between two services and callers send accepted jobs
// once more.
func TestSoakWithMovingQueues(t *testing.T) {
	for s := *firstSeed; s < *firstSeed+*seedCount; s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) { runSoak(t, s, options{services: []string{"triage", "imagery"}}) })
	}
}

func runSoak(t *testing.T, seed uint64, o options) {
	c := newCluster(t, filepath.Join(binDir, "lentilwinch-poold"), *instanceCount, *workerCount, o)
	t.Cleanup(func() {
		if t.Failed() && *logDir != "" {
			path := filepath.Join(*logDir, fmt.Sprintf("soak-%d.log", seed))
			must.NoError(t, os.WriteFile(path, []byte(c.logs.String()), 0o600))
		}
	})
	c.restore(recoveryTimeout)
	rng := rand.New(rand.NewPCG(seed, 1))
	load := &callers{cluster: c, jobs: map[string]*job{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 3 {
		callerRNG := rand.New(rand.NewPCG(seed, uint64(i)+100))
		group.Go(func() { load.run(callerRNG, i, stop) })
	}
	if len(c.services) > 1 {
		moves := rand.New(rand.NewPCG(seed, 50))
		group.Go(func() { c.moveQueues(moves, stop) })
	}
	deadline := time.Now().Add(time.Duration(*faultSeconds * float64(time.Second)))
	for time.Now().Before(deadline) {
		for range 1 + rng.IntN(3) {
			c.changeFault(rng)
		}
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	}
	close(stop)
	c.restore(recoveryTimeout)
	group.Wait()
	load.repeats.Wait()
	load.check(completionTimeout)
	for _, violation := range c.site.Pool.Violations() {
		t.Error(violation)
	}
	must.EqOp(t, c.cpuShare > 0, strings.Contains(c.logs.String(), "delegate linked"))
}

// randomProxyMode returns a fault mode with probability 3/4 and forward otherwise.
func randomProxyMode(rng *rand.Rand) proxyMode {
	if rng.IntN(4) == 0 {
		return forward
	}
	return slow + proxyMode(rng.IntN(int(lastMode)))
}

// changeFault starts or ends one random fault. Faults may overlap.
func (c *cluster) changeFault(rng *rand.Rand) {
	in := c.instances[rng.IntN(len(c.instances))]
	w := c.workers[rng.IntN(len(c.workers))]
	action := ""
	switch rng.IntN(12) {
	case 0:
		action = "kill " + in.name
		in.kill()
	case 1:
		action = "planned stop " + in.name
		in.signal(syscall.SIGTERM)
	case 2:
		action = "suspend " + in.name
		in.signal(syscall.SIGSTOP)
	case 3:
		action = "resume " + in.name
		in.signal(syscall.SIGCONT)
	case 4, 5:
		action = "start all"
		for _, in := range c.instances {
			in.start()
		}
	case 6:
		to := randomProxyMode(rng)
		action = fmt.Sprintf("store of %s: %s", in.name, to)
		in.storeProxy.setMode(to)
	case 7:
		to := randomProxyMode(rng)
		action = fmt.Sprintf("worker %s: %s", w.id, to)
		w.proxy.setMode(to)
	case 8:
		action = "restart worker " + w.id
		c.site.RestartRunner(w.id)
	case 9:
		faults := []fake.PoolFaults{{}, {DropReplies: true}, {StartDelay: 1500 * time.Millisecond}, {StallRuns: true}, {FailRuns: true}}[rng.IntN(5)]
		action = fmt.Sprintf("faults of worker %s: %+v", w.id, faults)
		c.site.Pool.SetFaults(w.address, faults)
	case 10:
		faults := []fake.Faults{{}, {}, {Down: true}, {LoseReplies: true}, {Hang: true}, {Delay: 150 * time.Millisecond}}[rng.IntN(6)]
		action = fmt.Sprintf("faults of the store: %+v", faults)
		c.site.Rows.SetFaults(faults)
	case 11:
		action = "compact the store's history"
		c.site.Rows.Compact()
	}
	c.t.Logf("%6.2f %s", time.Since(c.startedAt).Seconds(), action)
}

// moveQueues has the queues move between the services until stop is closed.
func (c *cluster) moveQueues(rng *rand.Rand, stop <-chan struct{}) {
	for version := 2; ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.IntN(1300)) * time.Millisecond):
		}
		urgent, batch := c.services[rng.IntN(len(c.services))], c.services[rng.IntN(len(c.services))]
		err := c.configure(version, urgent, batch)
		c.t.Logf("%6.2f urgent work goes to %s, batch work to %s: %v", time.Since(c.startedAt).Seconds(), urgent, batch, err)
	}
}

// restore ends all faults and waits until every instance serves requests. It
// fails the test after the timeout.
func (c *cluster) restore(timeout time.Duration) {
	c.t.Helper()
	c.site.Rows.SetFaults(fake.Faults{})
	for _, w := range c.workers {
		w.proxy.setMode(forward)
		c.site.Pool.SetFaults(w.address, fake.PoolFaults{})
	}
	for _, in := range c.instances {
		in.storeProxy.setMode(forward)
		in.signal(syscall.SIGCONT)
	}
	deadline := time.Now().Add(timeout)
	client := &http.Client{}
	for _, in := range c.instances {
		for {
			in.start()
			if status, _ := in.call(client, http.MethodGet, "/urgent/", ""); status == http.StatusOK {
				break
			}
			must.True(c.t, time.Now().Before(deadline), must.Sprintf("%s doesn't serve requests %v after the faults ended", in.name, timeout))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// job is a caller's record of its submission.
type job struct {
	path      string
	accepted  bool // a submission succeeded
	uncertain bool // the outcome of at least one try is unknown
	cancelled bool // a cancellation was sent
}

// callers submit jobs, cancel some of them and record the responses.
type callers struct {
	cluster *cluster
	mu      sync.Mutex
	jobs    map[string]*job
	repeats sync.WaitGroup
}

// jobTemplates are job documents with a placeholder for the spec, which is the
// job's ID here. Template 1 is a gang of 4 members.
var jobTemplates = []string{
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
		template := rng.IntN(len(jobTemplates))
		profile := fake.Profile{RunTime: time.Duration(200+rng.IntN(800)) * time.Millisecond}
		if template == 1 {
			profile.GangSize = 4
		}
		c.cluster.site.Pool.SetProfile(id, profile)
		j := &job{path: []string{"/urgent/", "/batch/"}[rng.IntN(2)] + id}
		c.mu.Lock()
		c.jobs[id] = j
		c.mu.Unlock()
		body := fmt.Sprintf(jobTemplates[template], id)
		c.submit(rng, client, j, body)
		if j.accepted && len(c.cluster.services) > 1 && rng.IntN(2) == 0 {
			c.repeat(rng, client, j.path, body)
		}
		if j.accepted && rng.IntN(8) == 0 {
			j.cancelled = true
			c.randomInstance(rng).call(client, http.MethodDelete, j.path, "")
		}
	}
}

// repeat has the submission of an accepted job arrive once more within three seconds.
func (c *callers) repeat(rng *rand.Rand, client *http.Client, path, body string) {
	in, delay := c.randomInstance(rng), time.Duration(rng.IntN(3000))*time.Millisecond
	c.repeats.Go(func() {
		time.Sleep(delay)
		in.call(client, http.MethodPost, path, body)
	})
}

func (c *callers) randomInstance(rng *rand.Rand) *instance {
	return c.cluster.instances[rng.IntN(len(c.cluster.instances))]
}

// submit tries up to four times, each at a random instance, as the platform's
// callers do.
func (c *callers) submit(rng *rand.Rand, client *http.Client, j *job, body string) {
	for range 4 {
		status, text := c.randomInstance(rng).call(client, http.MethodPost, j.path, body)
		switch status {
		case http.StatusOK:
			j.accepted = true
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			// this try stored nothing
		case 0, http.StatusGatewayTimeout:
			j.uncertain = true
		default:
			c.cluster.t.Errorf("%s: unexpected status %d %s", j.path, status, text)
			return
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// check waits until every accepted job has ended. It reports those that haven't
// ended by the timeout, and jobs that ran on a worker although every try was
// rejected.
func (c *callers) check(timeout time.Duration) {
	t := c.cluster.t
	client := &http.Client{}
	deadline := time.Now().Add(timeout)
	counts := map[string]int{}
	for id, j := range c.jobs {
		switch {
		case j.accepted:
			counts[c.awaitEnd(client, j, deadline)]++
		case !j.uncertain:
			counts["rejected"]++
			if c.cluster.site.Pool.HasStarted(id) {
				t.Errorf("%s ran although every try was rejected", j.path)
			}
		default:
			counts["uncertain"]++
		}
	}
	t.Logf("jobs: %v, runs: %d", counts, c.cluster.site.Pool.StartCount())
}

// awaitEnd waits for the job's final state and returns it. The state cancelled is
// final only if a cancellation was sent. After the deadline it reports an error and
// returns "open".
func (c *callers) awaitEnd(client *http.Client, j *job, deadline time.Time) string {
	last := ""
	for time.Now().Before(deadline) {
		for _, in := range c.cluster.instances {
			status, text := in.call(client, http.MethodGet, j.path, "")
			var body struct{ State string }
			if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
				last = body.State
			} else {
				last = fmt.Sprintf("status %d %s", status, strings.TrimSpace(text))
			}
			switch {
			case last == "completed", last == "failed", last == "cancelled" && j.cancelled:
				return last
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.cluster.t.Errorf("accepted job %s hasn't ended: %s", j.path, last)
	return "open"
}
