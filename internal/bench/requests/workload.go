// Package requests measures request dispatch against baselines and against a
// clairvoyant scheduler, in virtual time and from fixed seeds.
//
// The clairvoyant is the one of scheduling theory: it knows every run time on
// arrival and the state of every server without delay, and decides centrally.
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
	// servers and slotsPerServer are the backend servers' number and size.
	servers        = 50
	slotsPerServer = 8
	totalSlots     = servers * slotsPerServer
	// tailShare of the requests run tailFactor times longer.
	tailShare  = 0.01
	tailFactor = 50
	// willowHop and crossingHop are the one-way delays between failure domains.
	willowHop   = 1500 * time.Microsecond
	crossingHop = 500 * time.Microsecond
	// sigma is the standard deviation of the logarithm of run times.
	sigma = 0.5
	// declaredOff is how far declared run times are off, both ways.
	declaredOff = 10
	// skew is how far an instance's part of the arrivals is off an even part,
	// both ways.
	skew = 0.5
)

// kindSpec describes one service's requests.
type kindSpec struct {
	workspace  string
	service    string
	class      structs.Class
	repeatable bool
	// median is that of the run time without the tail.
	median   time.Duration
	deadline time.Duration
	// load is the share of all slots that the service keeps busy outside a
	// storm.
	load float64
	// burst is the mean number of requests that arrive at once.
	burst float64
	// storm multiplies the arrivals during a storm.
	storm float64
}

// mean is that of the run time with the tail.
func (k kindSpec) mean() time.Duration {
	m := float64(k.median) * math.Exp(sigma*sigma/2)
	return time.Duration(m * (1 - tailShare + tailShare*tailFactor))
}

// trace is one seed's workload.
type trace struct {
	kinds      []kindSpec
	workspaces []structs.Workspace
	services   []structs.Service
	requests   []request
	// hop is the one-way delay between an instance and a server.
	hop time.Duration
	// measureFrom and measureTo bound the arrivals that are measured.
	measureFrom time.Duration
	measureTo   time.Duration
	end         time.Duration
	instances   int
	faults      faults
	seed        uint64
}

// request is one request of a trace. Times are since the trace's start.
type request struct {
	at       time.Duration
	run      time.Duration
	deadline time.Duration
	kind     int
	// entry is the instance that the balancer picks.
	entry int
}

// faults are what fails during a trace. Zero times mean never.
type faults struct {
	// instanceDies is when instance 0 dies; it is back, empty, at
	// instanceBack.
	instanceDies time.Duration
	instanceBack time.Duration
	// serversFail is when server 0 starts to fail all that it starts, server 1
	// becomes unreachable and server 2 is leaving.
	serversFail time.Duration
}

// storm is a swing of demand: a ramp up, then a crest.
type storm struct {
	from  time.Duration
	ramp  time.Duration
	lasts time.Duration
}

func (s storm) factor(at time.Duration, peak float64) float64 {
	if s.lasts == 0 || at < s.from || at >= s.from+s.lasts {
		return 1
	}
	if at < s.from+s.ramp {
		return 1 + (peak-1)*float64(at-s.from)/float64(s.ramp)
	}
	return peak
}

// generate draws a trace's requests and declarations.
func (t *trace) generate(s storm) {
	rng := rand.New(rand.NewPCG(t.seed, 7))
	parts := drawParts(rng, t.instances)
	for i, k := range t.kinds {
		t.arrivals(rng, parts, i, k, s)
		off := math.Pow(declaredOff, 2*rng.Float64()-1)
		declared := time.Duration(float64(k.mean()) * off)
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

// arrivals draws a Poisson process of bursts by thinning one at peak rate.
func (t *trace) arrivals(rng *rand.Rand, parts []float64, kind int, k kindSpec, s storm) {
	peak := max(k.storm, 1)
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
				entry:    pickPart(rng, parts),
			})
		}
	}
}

// drawParts returns each instance's part of the arrivals.
func drawParts(rng *rand.Rand, instances int) []float64 {
	parts := make([]float64, instances)
	sum := 0.0
	for i := range parts {
		parts[i] = 1 + skew*(2*rng.Float64()-1)
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

func pickPart(rng *rand.Rand, parts []float64) int {
	x := rng.Float64()
	for i, p := range parts {
		if x < p {
			return i
		}
		x -= p
	}
	return len(parts) - 1
}

func drawRun(rng *rand.Rand, k kindSpec) time.Duration {
	run := float64(k.median) * math.Exp(sigma*rng.NormFloat64())
	if rng.Float64() < tailShare {
		run *= tailFactor
	}
	return time.Duration(run)
}

// willow is a steady load of 80%: short moisture checks while grain scans and
// tallies run.
func willow(seed uint64) *trace {
	t := &trace{
		hop:         willowHop,
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
	check := kindSpec{
		service: "moisture-check", class: structs.ClassUrgent, repeatable: true,
		median: 300 * time.Millisecond, deadline: 30 * time.Second,
	}
	scan := kindSpec{
		service: "grain-scan", class: structs.ClassNormal, repeatable: true,
		median: 6 * time.Second, deadline: 20 * time.Minute, burst: 10,
	}
	tally := kindSpec{
		service: "stack-tally", class: structs.ClassBatch,
		median: time.Second, deadline: 20 * time.Minute, burst: 10,
	}
	t.kinds = []kindSpec{
		check.in("cutters", 0.10), check.in("makers", 0.05),
		scan.in("cutters", 0.20), scan.in("makers", 0.20), scan.in("office", 0.10),
		tally.in("seasoning", 0.15),
	}
	if seed%2 == 0 {
		t.faults.instanceDies = 500 * time.Second
		t.faults.instanceBack = 530 * time.Second
	}
	t.generate(storm{})
	return t
}

// crossing is a storm that multiplies demand by ten within 2 s for 60 s while
// trend batches run.
func crossing(seed uint64) *trace {
	s := storm{from: 40 * time.Second, ramp: 2 * time.Second, lasts: 60 * time.Second}
	t := &trace{
		hop:         crossingHop,
		measureFrom: s.from,
		measureTo:   s.from + s.lasts,
		end:         s.from + s.lasts + 15*time.Second,
		instances:   6 + int(seed%3),
		seed:        seed,
		workspaces: []structs.Workspace{
			{Name: "province", Weight: 4, NominalSlots: 60},
			{Name: "coast", Weight: 3, NominalSlots: 40},
			{Name: "interior", Weight: 2, NominalSlots: 20},
			{Name: "analytics", Weight: 1},
		},
	}
	triage := kindSpec{
		service: "triage", class: structs.ClassUrgent, repeatable: true,
		median: 150 * time.Millisecond, deadline: 3 * time.Second, storm: 10,
	}
	report := kindSpec{
		service: "gate-arm-report", class: structs.ClassUrgent,
		median: 100 * time.Millisecond, deadline: 5 * time.Second, storm: 10,
	}
	trend := kindSpec{
		service: "trend-batch", class: structs.ClassBatch, repeatable: true,
		median: 2 * time.Second, deadline: 20 * time.Minute, burst: 10,
	}
	t.kinds = []kindSpec{
		triage.in("province", 0.09), triage.in("coast", 0.05), triage.in("interior", 0.02),
		report.in("province", 0.04),
		trend.in("analytics", 0.20),
	}
	if seed%2 == 0 {
		t.faults.instanceDies = s.from + 20*time.Second
		t.faults.instanceBack = s.from + 35*time.Second
	}
	if seed%3 == 0 {
		t.faults.serversFail = s.from + 30*time.Second
	}
	t.generate(s)
	return t
}

func (k kindSpec) in(workspace string, load float64) kindSpec {
	k.workspace = workspace
	k.load = load
	return k
}
