// Package requests measures request dispatch against baselines and against a
// clairvoyant scheduler, in virtual time and from fixed seeds.
//
// As in scheduling theory, the clairvoyant scheduler decides centrally with every
// run time known on arrival and every server's state known without delay.
package requests

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// servers is the number of backend servers.
	servers        = 50
	slotsPerServer = 8
	totalSlots     = servers * slotsPerServer
	// tailShare is the fraction of requests that run tailFactor times longer.
	tailShare  = 0.01
	tailFactor = 50
	// steadyHop and surgeHop are the one-way delays between failure domains.
	steadyHop = 1500 * time.Microsecond
	surgeHop  = 500 * time.Microsecond
	// sigma is the standard deviation of the logarithm of run times.
	sigma = 0.5
	// declaredErrorFactor is the largest factor between declared and actual
	// mean run times, in either direction.
	declaredErrorFactor = 10
	// arrivalSkew is the largest relative deviation, in either direction, of an
	// instance's weight in the arrivals from an even one.
	arrivalSkew = 0.5
)

// requestKind describes one service's requests.
type requestKind struct {
	workspace  string
	service    string
	class      structs.Class
	repeatable bool
	// median is the median run time without the tail.
	median   time.Duration
	deadline time.Duration
	// load is the fraction of all slots that the service occupies outside a
	// surge.
	load float64
	// burst is the mean number of requests that arrive at once. Zero means 1.
	burst float64
	// surgeFactor multiplies the arrival rate at the peak of a surge. Zero means
	// 1.
	surgeFactor float64
}

// mean returns the mean run time with the tail.
func (k requestKind) mean() time.Duration {
	m := float64(k.median) * math.Exp(sigma*sigma/2)
	return time.Duration(m * (1 - tailShare + tailShare*tailFactor))
}

// trace is one seed's workload.
type trace struct {
	kinds      []requestKind
	workspaces []structs.Workspace
	services   []structs.Service
	requests   []request
	// hop is the one-way delay between an instance and a server or a peer.
	hop time.Duration
	// Requests that arrive in [measureFrom, measureTo) are measured.
	measureFrom time.Duration
	measureTo   time.Duration
	// All requests arrive before end.
	end       time.Duration
	instances int
	faults    faults
	seed      uint64
}

// request is one request of a trace. Times are relative to the trace's start.
type request struct {
	at       time.Duration
	run      time.Duration
	deadline time.Duration
	kind     int
	// entry is the instance that the load balancer picks.
	entry int
}

// faults are the failures injected into a trace. A zero time means never.
type faults struct {
	// Instance 0 fails at instanceFails and restarts without state at
	// instanceRestarts.
	instanceFails    time.Duration
	instanceRestarts time.Duration
	// At serversFail, server 0 begins to fail every request, server 1 becomes
	// unreachable and server 2 starts leaving.
	serversFail time.Duration
}

// surge is an increase in demand with a linear ramp to a constant peak. The
// duration includes the ramp.
type surge struct {
	from     time.Duration
	ramp     time.Duration
	duration time.Duration
}

// factor returns the factor on the arrival rate at a time. It is 1 outside the
// surge.
func (s surge) factor(at time.Duration, peak float64) float64 {
	if s.duration == 0 || at < s.from || at >= s.from+s.duration {
		return 1
	}
	if at < s.from+s.ramp {
		return 1 + (peak-1)*float64(at-s.from)/float64(s.ramp)
	}
	return peak
}

// generate draws the trace's requests and the services' declared run times.
func (t *trace) generate(s surge) {
	rng := rand.New(rand.NewPCG(t.seed, 7))
	shares := drawShares(rng, t.instances)
	for i, k := range t.kinds {
		t.drawArrivals(rng, shares, i, k, s)
		errorFactor := math.Pow(declaredErrorFactor, 2*rng.Float64()-1)
		declared := time.Duration(float64(k.mean()) * errorFactor)
		t.services = append(t.services, structs.Service{
			Name:              k.service,
			Workspace:         k.workspace,
			Class:             k.class,
			Repeatable:        k.repeatable,
			DeadlineMillis:    k.deadline.Milliseconds(),
			DeclaredRunMillis: max(declared.Milliseconds(), 1),
		})
	}
	slices.SortStableFunc(t.requests, func(a, b request) int {
		return cmp.Compare(a.at, b.at)
	})
}

// drawArrivals draws a Poisson process of bursts by thinning a process at the
// peak rate.
func (t *trace) drawArrivals(rng *rand.Rand, shares []float64, kind int, k requestKind, s surge) {
	peak := max(k.surgeFactor, 1)
	burst := max(k.burst, 1)
	perSecond := k.load * totalSlots / k.mean().Seconds() / burst * peak
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= t.end {
			return
		}
		if rng.Float64() > s.factor(at, peak)/peak {
			continue
		}
		n := 1
		for rng.Float64() > 1/burst {
			n++
		}
		for range n {
			t.requests = append(t.requests, request{
				at:       at,
				run:      drawRun(rng, k),
				deadline: at + k.deadline,
				kind:     kind,
				entry:    pickInstance(rng, shares),
			})
		}
	}
}

// drawShares returns each instance's share of the arrivals.
func drawShares(rng *rand.Rand, instances int) []float64 {
	shares := make([]float64, instances)
	sum := 0.0
	for i := range shares {
		shares[i] = 1 + arrivalSkew*(2*rng.Float64()-1)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

func pickInstance(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, p := range shares {
		if x < p {
			return i
		}
		x -= p
	}
	return len(shares) - 1
}

func drawRun(rng *rand.Rand, k requestKind) time.Duration {
	run := float64(k.median) * math.Exp(sigma*rng.NormFloat64())
	if rng.Float64() < tailShare {
		run *= tailFactor
	}
	return time.Duration(run)
}

// steadyTrace returns a trace with a steady load of 80%, in which short moisture
// checks run alongside grain scans and tallies. With an even seed, an instance
// fails.
func steadyTrace(seed uint64) *trace {
	t := &trace{
		hop:         steadyHop,
		measureFrom: 400 * time.Second,
		measureTo:   800 * time.Second,
		end:         800 * time.Second,
		instances:   6 + int(seed%3),
		seed:        seed,
		workspaces: []structs.Workspace{
			{Name: "cutters", Weight: 4, NominalSlots: 40},
			{Name: "makers", Weight: 3, NominalSlots: 30},
			{Name: "seasoning", Weight: 2, NominalSlots: 20},
			{Name: "office", Weight: 1},
		},
	}
	moistureCheck := requestKind{
		service: "moisture-check", class: structs.ClassUrgent, repeatable: true,
		median: 300 * time.Millisecond, deadline: 30 * time.Second,
	}
	grainScan := requestKind{
		service: "grain-scan", class: structs.ClassNormal, repeatable: true,
		median: 6 * time.Second, deadline: 20 * time.Minute, burst: 10,
	}
	stackTally := requestKind{
		service: "stack-tally", class: structs.ClassBatch,
		median: time.Second, deadline: 20 * time.Minute, burst: 10,
	}
	t.kinds = []requestKind{
		moistureCheck.forWorkspace("cutters", 0.10), moistureCheck.forWorkspace("makers", 0.05),
		grainScan.forWorkspace("cutters", 0.20), grainScan.forWorkspace("makers", 0.20), grainScan.forWorkspace("office", 0.10),
		stackTally.forWorkspace("seasoning", 0.15),
	}
	if seed%2 == 0 {
		t.faults.instanceFails = 500 * time.Second
		t.faults.instanceRestarts = 530 * time.Second
	}
	t.generate(surge{})
	return t
}

// surgeTrace returns a trace with a surge of 60 s that multiplies urgent demand by
// ten within 2 s while trend batches run. With an even seed an instance fails, and
// with one divisible by three servers fail.
func surgeTrace(seed uint64) *trace {
	s := surge{from: 40 * time.Second, ramp: 2 * time.Second, duration: 60 * time.Second}
	t := &trace{
		hop:         surgeHop,
		measureFrom: s.from,
		measureTo:   s.from + s.duration,
		end:         s.from + s.duration + 15*time.Second,
		instances:   6 + int(seed%3),
		seed:        seed,
		workspaces: []structs.Workspace{
			{Name: "province", Weight: 4, NominalSlots: 60},
			{Name: "coast", Weight: 3, NominalSlots: 40},
			{Name: "interior", Weight: 2, NominalSlots: 20},
			{Name: "analytics", Weight: 1},
		},
	}
	triage := requestKind{
		service: "triage", class: structs.ClassUrgent, repeatable: true,
		median: 150 * time.Millisecond, deadline: 3 * time.Second, surgeFactor: 10,
	}
	gateArmReport := requestKind{
		service: "gate-arm-report", class: structs.ClassUrgent,
		median: 100 * time.Millisecond, deadline: 5 * time.Second, surgeFactor: 10,
	}
	trend := requestKind{
		service: "trend-batch", class: structs.ClassBatch, repeatable: true,
		median: 2 * time.Second, deadline: 20 * time.Minute, burst: 10,
	}
	t.kinds = []requestKind{
		triage.forWorkspace("province", 0.09), triage.forWorkspace("coast", 0.05), triage.forWorkspace("interior", 0.02),
		gateArmReport.forWorkspace("province", 0.04),
		trend.forWorkspace("analytics", 0.20),
	}
	if seed%2 == 0 {
		t.faults.instanceFails = s.from + 20*time.Second
		t.faults.instanceRestarts = s.from + 35*time.Second
	}
	if seed%3 == 0 {
		t.faults.serversFail = s.from + 30*time.Second
	}
	t.generate(s)
	return t
}

func (k requestKind) forWorkspace(workspace string, load float64) requestKind {
	k.workspace = workspace
	k.load = load
	return k
}
