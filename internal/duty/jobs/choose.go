package jobs

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// summaryLag bounds how long a submitted job is missing from the summary of
// its failure domain.
const summaryLag = 2 * time.Second

// rank orders failure domains for a job, best first.
type rank int

const (
	// rankGuaranteed has room and a guarantee that fits the job.
	rankGuaranteed rank = iota
	// rankRoom has room.
	rankRoom
	// rankOwed has a guarantee that fits, but no room now.
	rankOwed
	rankOther
)

// candidate is a failure domain for a job.
type candidate struct {
	domain string
	rank   rank
	// weight is the share of jobs that it gets among those of its rank.
	weight int
}

// choose picks the failure domain that a new job is queued in: one of the best
// rank, at random by free accelerators. All instances choose by the same
// lagging summaries, so that the best one alone would get a whole burst.
func (s *Jobs) choose(spec structs.JobSpec) string {
	if spec.Domain != "" {
		return spec.Domain
	}
	known := s.summaries()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var best []candidate
	for _, name := range s.domains {
		c := s.candidate(spec, name, known[name], now)
		if len(best) > 0 && c.rank > best[0].rank {
			continue
		}
		if len(best) > 0 && c.rank < best[0].rank {
			best = best[:0]
		}
		best = append(best, c)
	}
	domain := s.draw(best)
	s.chosen.Add(now, domain, spec.Size())
	return domain
}

func (s *Jobs) draw(from []candidate) string {
	total := 0
	for _, c := range from {
		total += c.weight
	}
	n := s.rand.IntN(max(total, 1))
	for _, c := range from {
		if n < c.weight {
			return c.domain
		}
		n -= c.weight
	}
	return from[len(from)-1].domain
}

func (s *Jobs) candidate(spec structs.JobSpec, name string, d port.DomainSummary, now time.Time) candidate {
	free := max(d.FreeAccelerators-s.chosen.Sum(now, name), 0)
	block := free
	if spec.Adjacency != structs.AdjacencyDomain {
		block = min(free, d.LargestBlock)
	}
	fits := block >= spec.Size() && d.QueuedJobs == 0
	owed := s.owed(spec, name)
	c := candidate{domain: name, weight: free + 1}
	switch {
	case fits && owed:
		c.rank = rankGuaranteed
	case fits:
		c.rank = rankRoom
	case owed:
		c.rank = rankOwed
	default:
		c.rank = rankOther
	}
	return c
}

// owed reports whether a guarantee of the workspace in a failure domain fits
// the job.
func (s *Jobs) owed(spec structs.JobSpec, domain string) bool {
	for _, g := range s.config().Workspaces[spec.Key.Workspace].Guarantees {
		if g.Domain == domain && g.Members >= spec.Members && g.Accelerators >= spec.Accelerators {
			return true
		}
	}
	return false
}

// summaries returns what is known of each failure domain.
func (s *Jobs) summaries() map[string]port.DomainSummary {
	out := make(map[string]port.DomainSummary)
	for _, p := range s.peers.Live() {
		for _, d := range p.Load.Domains {
			out[d.Domain] = d
		}
	}
	for _, d := range s.local() {
		out[d.Domain] = d
	}
	return out
}
