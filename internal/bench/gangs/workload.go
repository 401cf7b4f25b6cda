// Package gangs measures gang placement in virtual time against baselines and
// a clairvoyant bound.
package gangs

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Parameters of the simulated failure domain and its load.
const (
	domain                = "north-yard"
	workers               = 50
	acceleratorsPerWorker = 8
	workersPerRack        = 6
	totalAccelerators     = workers * acceleratorsPerWorker
	// horizon is the time over which jobs arrive.
	horizon = 24 * time.Hour
	// load is the mean fraction of the accelerators that the jobs demand.
	load = 0.8
	// tailShare is the fraction of jobs that run tailFactor times longer.
	tailShare  = 0.01
	tailFactor = 50
	// declaredErrorFactor is the largest factor between the declared run time
	// and the run time without the tail, in either direction.
	declaredErrorFactor = 10
	// burstShare is the fraction of a service's jobs that arrive in bursts.
	burstShare    = 0.3
	burstInterval = time.Hour
	// burstSpan is the time within which the jobs of a burst arrive.
	burstSpan = 2 * time.Second
)

// service describes one service's gangs. Each gang's size is drawn from members
// and accelerators with equal probability.
type service struct {
	workspace    string
	name         string
	members      []int
	accelerators []int
	adjacency    structs.Adjacency
	class        structs.Class
	preemptible  bool
	// medianRun is the median run time without the tail. sigma is the standard
	// deviation of the logarithm of these run times.
	medianRun time.Duration
	sigma     float64
	// share is the service's fraction of the load.
	share float64
}

var services = []service{
	{"bat-yards", "grain-scan", []int{2, 3, 4}, []int{4, 8}, structs.AdjacencyRack, structs.ClassNormal, true, 30 * time.Minute, 0.5, 0.45},
	{"stacks", "tally", []int{1}, []int{1, 2}, structs.AdjacencyWorker, structs.ClassBatch, false, 4 * time.Minute, 0.5, 0.1},
	{"crossbar", "trend", []int{4, 8, 16}, []int{1, 2}, structs.AdjacencyRack, structs.ClassBatch, true, 20 * time.Minute, 0.5, 0.4},
	{"dispatch", "urgent", []int{1, 2}, []int{8}, structs.AdjacencyRack, structs.ClassUrgent, false, 2 * time.Minute, 0.5, 0.05},
}

// workspaces returns workspaces whose guarantees cover a little over half of the
// accelerators.
func workspaces() []structs.Workspace {
	guarantee := func(gangs, members, accelerators int, a structs.Adjacency) []structs.Guarantee {
		return []structs.Guarantee{{Domain: domain, Gangs: gangs, Members: members, Accelerators: accelerators, Adjacency: a}}
	}
	return []structs.Workspace{
		{Name: "bat-yards", BorrowingLimit: totalAccelerators, Guarantees: guarantee(3, 4, 8, structs.AdjacencyRack)},
		{Name: "crossbar", BorrowingLimit: totalAccelerators, Guarantees: guarantee(2, 16, 2, structs.AdjacencyRack)},
		{Name: "dispatch", BorrowingLimit: totalAccelerators, Guarantees: guarantee(2, 2, 8, structs.AdjacencyRack)},
		{Name: "stacks", BorrowingLimit: totalAccelerators, Guarantees: guarantee(16, 1, 2, structs.AdjacencyWorker)},
	}
}

func fleet() []scheduler.Worker {
	out := make([]scheduler.Worker, workers)
	for i := range out {
		out[i] = scheduler.Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/workersPerRack), Accelerators: acceleratorsPerWorker, Usable: true}
	}
	return out
}

// job is one gang of the trace.
type job struct {
	spec   structs.JobSpec
	arrive time.Duration
	run    time.Duration
}

// drawTrace draws one seed's jobs in order of arrival.
func drawTrace(seed uint64) []job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []job
	for _, s := range services {
		mean := s.meanAcceleratorSeconds()
		count := int(load * s.share * totalAccelerators * horizon.Seconds() / mean)
		for range count {
			out = append(out, s.drawJob(rng))
		}
	}
	slices.SortStableFunc(out, func(a, b job) int { return cmp.Compare(a.arrive, b.arrive) })
	for i := range out {
		out[i].spec.Key.ID = fmt.Sprintf("%06d", i)
	}
	return out
}

// meanAcceleratorSeconds returns the mean accelerator seconds of a gang.
func (s service) meanAcceleratorSeconds() float64 {
	run := s.medianRun.Seconds() * math.Exp(s.sigma*s.sigma/2) * (1 + tailShare*(tailFactor-1))
	return mean(s.members) * mean(s.accelerators) * run
}

func mean(values []int) float64 {
	sum := 0
	for _, v := range values {
		sum += v
	}
	return float64(sum) / float64(len(values))
}

func (s service) drawJob(rng *rand.Rand) job {
	typical := s.medianRun.Seconds() * math.Exp(s.sigma*rng.NormFloat64())
	declared := typical * math.Pow(declaredErrorFactor, 2*rng.Float64()-1)
	run := typical
	if rng.Float64() < tailShare {
		run *= tailFactor
	}
	return job{
		arrive: drawArrival(rng),
		run:    seconds(run),
		spec: structs.JobSpec{
			Key:          structs.JobKey{Workspace: s.workspace},
			Members:      s.members[rng.IntN(len(s.members))],
			Accelerators: s.accelerators[rng.IntN(len(s.accelerators))],
			Adjacency:    s.adjacency, Class: s.class, Preemptible: s.preemptible,
			DeclaredRun: seconds(declared), Domain: domain, Service: s.name,
		},
	}
}

// drawArrival draws an arrival, uniform over the horizon or within a burst.
func drawArrival(rng *rand.Rand) time.Duration {
	if rng.Float64() >= burstShare {
		return time.Duration(rng.Int64N(int64(horizon)))
	}
	burst := 1 + rng.IntN(int(horizon/burstInterval)-1)
	return time.Duration(burst)*burstInterval + time.Duration(rng.Int64N(int64(burstSpan)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
