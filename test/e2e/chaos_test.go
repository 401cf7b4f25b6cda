package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/settings"
	"github.com/lentilwinch/lentilwinch/internal/standin/backend"
	"github.com/lentilwinch/lentilwinch/internal/standin/platform"
)

const (
	chaosInstances   = 8
	chaosServers     = 50
	chaosCallers     = 24
	chaosFaultRounds = 8
	// maxTicketDelay is the promised bound on the time from the acceptance of a
	// ticket, which is a numbered configuration change, until every ready instance
	// uses the new configuration.
	maxTicketDelay = 7 * time.Second
)

// chaosSeeds returns the seeds to run: those of LENTILWINCH_SEEDS=first,count, or
// the two seeds of CI if it isn't set or can't be parsed.
func chaosSeeds() []uint64 {
	var first, count uint64
	if _, err := fmt.Sscanf(os.Getenv("LENTILWINCH_SEEDS"), "%d,%d", &first, &count); err != nil {
		return []uint64{1, 2}
	}
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, first+i)
	}
	return seeds
}

// TestChaos injects kills, freezes, outages and lost replies drawn from a seed
// under load from callers, operators and jobs. It then checks the records of
// callers, backend servers and workers. Replay with LENTILWINCH_SEEDS=<seed>,1.
func TestChaos(t *testing.T) {
	for _, seed := range chaosSeeds() {
		t.Run("seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
			runChaos(t, seed)
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	c := startCluster(t, options{instances: chaosInstances, servers: chaosServers, adjust: func(s *settings.Daemon) {
		s.WorkerLease.TTLMillis = 4000
		s.WorkerLease.RenewMillis = 800
	}})
	c.applyFirstTicket()
	chaos := &chaosRun{cluster: c, seed: seed, results: make(map[string][]requestResult), acceptedTickets: map[int64]acceptance{1: {at: time.Now()}}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range chaosCallers {
		wg.Go(func() { chaos.sendRequests(i, stop) })
	}
	for i := range 2 {
		wg.Go(func() { chaos.applyTickets(i, stop) })
	}
	wg.Go(func() { chaos.submitJobs(stop) })
	wg.Go(func() { chaos.watchTicketDelay(stop) })
	chaos.injectFaults()
	close(stop)
	wg.Wait()
	chaos.check()
}

// chaosRun is one seeded run with the results of its callers. results is keyed by
// request ID and acceptedTickets by ticket number. violations holds a message for
// each violation found during the run.
type chaosRun struct {
	*cluster
	seed uint64

	mu              sync.Mutex
	results         map[string][]requestResult
	acceptedJobs    []string
	acceptedTickets map[int64]acceptance
	violations      []string
}

func (r *chaosRun) newRand(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(r.seed, uint64(stream)))
}

func (r *chaosRun) randomInstance(rng *rand.Rand) *instance {
	return r.instances[rng.IntN(len(r.instances))]
}

func stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// sendRequests sends requests until stopped. Some go to two instances at once. A
// request that didn't complete is often retried under the same ID.
func (r *chaosRun) sendRequests(caller int, stop <-chan struct{}) {
	rng := r.newRand(100 + caller)
	for n := 0; !stopped(stop); n++ {
		workspace, service, idPrefix := "saw-bench", "moisture-check", "repeatable"
		if rng.IntN(2) == 0 {
			workspace, service, idPrefix = "seasoning", "stack-tally", "once"
		}
		id := fmt.Sprintf("%s-%d-%d", idPrefix, caller, n)
		runMillis := 5 + rng.IntN(60)
		var duplicate sync.WaitGroup
		if rng.IntN(8) == 0 {
			other := r.randomInstance(rng)
			duplicate.Go(func() { r.addResult(id, r.request(other, workspace, service, id, runMillis)) })
		}
		for range 3 {
			result := r.request(r.randomInstance(rng), workspace, service, id, runMillis)
			r.addResult(id, result)
			if result.outcome == lentilwinchv1.Outcome_OUTCOME_DONE || rng.IntN(3) == 0 {
				break
			}
		}
		duplicate.Wait()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func (r *chaosRun) addResult(id string, result requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[id] = append(r.results[id], result)
}

// applyTickets sends configuration changes until stopped. Two operators compete
// for the same ticket numbers.
func (r *chaosRun) applyTickets(operator int, stop <-chan struct{}) {
	rng := r.newRand(200 + operator)
	for !stopped(stop) {
		in := r.randomInstance(rng)
		if st := r.status(in); st != nil {
			r.applyTicket(in, st.GetConfigNumber()+1, operator)
		}
		time.Sleep(time.Duration(200+rng.IntN(400)) * time.Millisecond)
	}
}

func (r *chaosRun) applyTicket(in *instance, number int64, operator int) {
	ctx, cancel := withTimeout(5 * time.Second)
	defer cancel()
	document := fmt.Sprintf(`{"number":%d,"author":"operator-%d","workspaces":[{"name":"research","guarantees":[],`+
		`"borrowing_limit_accelerators":%d,"nominal_slots":20,"weight":1}]}`, number, operator, 64+number%8)
	_, err := r.api(in).Apply(ctx, connect.NewRequest(&lentilwinchv1.ApplyRequest{Document: []byte(document)}))
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The same operator may repeat a ticket, since Apply is idempotent.
	first, exists := r.acceptedTickets[number]
	if !exists {
		r.acceptedTickets[number] = acceptance{at: time.Now(), operator: operator}
	} else if first.operator != operator {
		r.violations = append(r.violations, fmt.Sprintf("ticket %d was accepted from both operators", number))
	}
}

// acceptance records when a ticket, which is a numbered configuration change, was
// first accepted and from which operator.
type acceptance struct {
	at       time.Time
	operator int
}

// submitJobs submits gangs until stopped and cancels some of them.
func (r *chaosRun) submitJobs(stop <-chan struct{}) {
	rng := r.newRand(300)
	for n := 0; !stopped(stop); n++ {
		id := fmt.Sprintf("gang-%d", n)
		spec := &lentilwinchv1.JobSpec{
			Workspace:    "bat-yards-grading",
			JobId:        id,
			Members:      int32(1 + rng.IntN(4)),
			Accelerators: int32(1 + rng.IntN(8)),
			Adjacency:    "rack",
			Class:        "normal",
			Preemptible:  rng.IntN(2) == 0,
			Payload:      fmt.Appendf(nil, `{"run_ms":%d}`, 200+rng.IntN(2500)),
		}
		if r.submit(r.randomInstance(rng), spec) {
			r.acceptedJobs = append(r.acceptedJobs, id)
		}
		if rng.IntN(6) == 0 {
			r.cancel(r.randomInstance(rng), id)
		}
		time.Sleep(time.Duration(50+rng.IntN(250)) * time.Millisecond)
	}
}

func (r *chaosRun) submit(in *instance, spec *lentilwinchv1.JobSpec) bool {
	ctx, cancel := withTimeout(4 * time.Second)
	defer cancel()
	_, err := r.api(in).Submit(ctx, connect.NewRequest(&lentilwinchv1.SubmitRequest{Spec: spec}))
	return err == nil
}

func (r *chaosRun) cancel(in *instance, id string) {
	ctx, cancel := withTimeout(4 * time.Second)
	defer cancel()
	// The checks hold whether or not the cancellation succeeds.
	_, _ = r.api(in).Cancel(ctx, connect.NewRequest(&lentilwinchv1.CancelRequest{Workspace: "bat-yards-grading", JobId: id}))
}

// watchTicketDelay polls the instances until stopped. It records a violation if a
// ready instance still uses an older configuration more than maxTicketDelay after
// a newer ticket was accepted.
func (r *chaosRun) watchTicketDelay(stop <-chan struct{}) {
	for !stopped(stop) {
		for _, in := range r.instances {
			at := time.Now()
			st := r.status(in)
			if st == nil || !st.GetReady() {
				continue
			}
			r.checkTicketDelay(in, at, st.GetConfigNumber())
		}
		time.Sleep(pollInterval)
	}
}

func (r *chaosRun) checkTicketDelay(in *instance, at time.Time, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, ticket := range r.acceptedTickets {
		if n > number && at.Sub(ticket.at) > maxTicketDelay {
			r.violations = append(r.violations, fmt.Sprintf("%s is ready with ticket %d, %v after %d was accepted", in.id, number, at.Sub(ticket.at), n))
		}
	}
}

// injectFaults injects random faults in rounds of one or two and ends each.
func (r *chaosRun) injectFaults() {
	rng := r.newRand(1)
	only, isSet := onlyFault()
	for range chaosFaultRounds {
		var wg sync.WaitGroup
		first := rng.IntN(faultKinds)
		if isSet {
			first = only
		}
		r.inject(&wg, first, rng)
		if !isSet && rng.IntN(2) == 0 {
			r.inject(&wg, (first+1+rng.IntN(faultKinds-1))%faultKinds, rng)
		}
		wg.Wait()
		time.Sleep(time.Duration(300+rng.IntN(700)) * time.Millisecond)
	}
}

// faultKinds is the number of fault kinds that inject implements.
const faultKinds = 9

// onlyFault returns the fault kind that LENTILWINCH_FAULT selects, so that its
// effect can be measured without other faults. ok is false if it isn't set or
// names no fault kind.
func onlyFault() (kind int, ok bool) {
	kind, err := strconv.Atoi(os.Getenv("LENTILWINCH_FAULT"))
	return kind, err == nil && kind >= 0 && kind < faultKinds
}

// inject starts a fault of the given kind in a goroutine of wg and ends it after a
// random duration.
func (r *chaosRun) inject(wg *sync.WaitGroup, kind int, rng *rand.Rand) {
	duration := time.Duration(500+rng.IntN(3000)) * time.Millisecond
	// A simultaneous kill and freeze affect different instances.
	in := r.instances[2*rng.IntN(len(r.instances)/2)+kind%2]
	faultyServers := r.servers[:1+rng.IntN(len(r.servers)/2)]
	r.t.Logf("fault %d for %v (%s, %d servers)", kind, duration, in.id, len(faultyServers))
	wg.Go(func() {
		switch kind {
		case 0:
			r.crash(in)
			time.Sleep(duration)
			r.launch(in)
		case 1:
			r.signal(in, syscall.SIGSTOP)
			time.Sleep(duration + time.Second)
			r.signal(in, syscall.SIGCONT)
		case 2:
			r.injectTableFault(platform.FaultsDocument{Refuse: true}, duration)
		case 3:
			r.injectTableFault(platform.FaultsDocument{LoseReplies: true}, duration/4)
		case 4:
			r.injectTableFault(platform.FaultsDocument{Hang: true}, duration)
		case 5:
			r.injectBackendFault(backend.FaultsDocument{Servers: faultyServers, DropAfterStart: true}, duration)
		case 6:
			r.injectBackendFault(backend.FaultsDocument{Servers: faultyServers, WrongID: true, Truncate: len(faultyServers)%2 == 0}, duration)
		case 7:
			r.injectWorkerFault(platform.FaultsDocument{Workers: workerSample(len(faultyServers)), Crash: true}, duration)
		case 8:
			r.injectWorkerFault(platform.FaultsDocument{Workers: workerSample(len(faultyServers)), Freeze: true}, 2*duration)
		}
	})
}

func (r *chaosRun) injectTableFault(f platform.FaultsDocument, duration time.Duration) {
	r.setTableFaults(f)
	time.Sleep(duration)
	r.setTableFaults(platform.FaultsDocument{})
}

func (r *chaosRun) injectWorkerFault(f platform.FaultsDocument, duration time.Duration) {
	f.Scope = platform.ScopeWorkers
	r.postJSON(r.platformAddress, "/faults", f)
	time.Sleep(duration)
	r.postJSON(r.platformAddress, "/faults", platform.FaultsDocument{Scope: platform.ScopeWorkers, Workers: f.Workers})
}

// workerSample returns the IDs of two workers of each failure domain, chosen by n.
func workerSample(n int) []string {
	var ids []string
	for _, d := range domains {
		ids = append(ids, fmt.Sprintf("%s-r01-w%02d", d, 1+n%6), fmt.Sprintf("%s-r02-w%02d", d, 1+(n+1)%6))
	}
	return ids
}

func (r *chaosRun) injectBackendFault(f backend.FaultsDocument, duration time.Duration) {
	r.setBackendFaults(f)
	time.Sleep(duration)
	r.setBackendFaults(backend.FaultsDocument{Servers: f.Servers})
}
