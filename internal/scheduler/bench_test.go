package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// benchSize is the size of a failure domain and its load.
type benchSize struct {
	name           string
	workers        int
	accelerators   int
	workersPerRack int
	workspaces     int
	queued         int
	largestGang    int
}

// benchSizes has today's domain, one of ten domains at the size expected in two
// years, and half and all of that size in a single domain.
var benchSizes = []benchSize{
	{"today", 50, 400, 6, 4, 40, 16},
	{"one-of-ten", 320, 580, 16, 23, 100, 64},
	{"half", 1600, 2900, 16, 115, 500, 256},
	{"whole", 3200, 5800, 16, 230, 1000, 256},
}

// loadedSnapshot builds a domain with nine tenths of its accelerators in use and a
// full queue. About a third to a half of the accelerators are guaranteed, and
// about three fifths of those in use are borrowed by preemptible gangs.
func (size benchSize) loadedSnapshot() Snapshot {
	rng := rand.New(rand.NewPCG(7, uint64(size.workers)))
	s := Snapshot{Domain: "d"}
	for i := range size.workers {
		n := size.accelerators / size.workers
		if i < size.accelerators%size.workers {
			n++
		}
		s.Workers = append(s.Workers, Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/size.workersPerRack), Accelerators: n, Usable: true})
	}
	share := size.accelerators / size.workspaces / 2
	for i := range size.workspaces {
		g := structs.Guarantee{Domain: "d", Gangs: max(1, share/8), Members: min(8, max(1, share)), Accelerators: 1, Adjacency: structs.AdjacencyRack}
		s.Workspaces = append(s.Workspaces, structs.Workspace{Name: fmt.Sprint("ws", i), BorrowingLimit: size.accelerators, Guarantees: []structs.Guarantee{g}})
	}
	used := 0
	for i := 0; used < size.accelerators*9/10; i++ {
		s.Queued = []Pending{size.randomJob(rng, i, 8)}
		for _, st := range Decide(s).Starts {
			spec := s.Queued[0].Spec
			used += spec.Size()
			s.Gangs = append(s.Gangs, Gang{
				Key: spec.Key, Class: spec.Class, Preemptible: spec.Preemptible, Borrowed: st.Borrowed, Members: st.Places,
				Accelerators: spec.Accelerators, Adjacency: spec.Adjacency, Elapsed: time.Duration(rng.IntN(100)) * time.Minute, ExpectedRun: time.Hour,
			})
		}
		if i > 20*size.accelerators {
			break
		}
	}
	s.Queued = nil
	for i := range size.queued {
		s.Queued = append(s.Queued, size.randomJob(rng, 1_000_000+i, size.largestGang))
	}
	return s
}

func (size benchSize) randomJob(rng *rand.Rand, i, largest int) Pending {
	members := 1 + rng.IntN(largest)
	adjacency := structs.AdjacencyRack
	if members > 8 {
		adjacency = structs.AdjacencyDomain
	}
	return Pending{
		QueuedFor: time.Duration(rng.IntN(90)) * time.Minute, ExpectedRun: time.Duration(1+rng.IntN(240)) * time.Minute,
		Spec: structs.JobSpec{
			Key:     structs.JobKey{Workspace: fmt.Sprint("ws", rng.IntN(size.workspaces)), ID: fmt.Sprint(i)},
			Members: members, Accelerators: 1, Adjacency: adjacency, Class: structs.ClassNormal, Preemptible: rng.IntN(4) > 0,
		},
	}
}

// BenchmarkDecide measures one decision with a full queue.
func BenchmarkDecide(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(z.name, func(b *testing.B) {
			s := z.loadedSnapshot()
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				Decide(s)
			}
			p := Decide(s)
			b.ReportMetric(float64(len(p.Starts)), "starts")
			b.ReportMetric(float64(len(p.Reclaims)), "reclaims")
			b.ReportMetric(float64(len(s.Gangs)), "gangs")
			b.ReportMetric(float64(len(p.UnmetGuarantees)), "unheld")
		})
	}
}
