package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// summaryLag bounds how long a submitted job is missing from the summary of
// its failure domain.
const summaryLag = 2 * time.Second

// rank is the preference of a failure domain for a job. Lower is better.
type rank int

const (
	// rankGuaranteed means enough free capacity, no queued jobs and a guarantee
	// that fits the job.
	rankGuaranteed rank = iota
	// rankFreeCapacity means enough free capacity and no queued jobs, without such
	// a guarantee.
	rankFreeCapacity
	// rankGuaranteeOnly means a guarantee that fits the job, but other jobs are
	// queued or there is too little free capacity.
	rankGuaranteeOnly
	rankOther
)

// candidate is a failure domain in which a job could be queued.
type candidate struct {
	domain string
	rank   rank
	// weight is the domain's share of the jobs among candidates of equal
	// rank.
	weight int
}

// chooseDomain returns the failure domain in which a new job is queued. Unless
// the job names one, it picks one of the best rank that isn't evacuated at random,
// weighted by free accelerators. All instances use the same lagging summaries, so always picking
// the best domain would send it a whole burst.
func (js *Jobs) chooseDomain(spec structs.JobSpec) string {
	if spec.Domain != "" {
		return spec.Domain
	}
	summaries := js.summaries()
	js.mu.Lock()
	defer js.mu.Unlock()
	now := time.Now()
	domain := js.pickWeighted(js.bestCandidates(spec, summaries, now))
	js.recentDemand.Add(now, domain, spec.Size())
	return domain
}

// bestCandidates returns the failure domains of the best rank.
func (js *Jobs) bestCandidates(spec structs.JobSpec, summaries map[string]port.DomainSummary, now time.Time) []candidate {
	var best []candidate
	for _, name := range js.openDomains() {
		c := js.candidate(spec, name, summaries[name], now)
		if len(best) > 0 && c.rank > best[0].rank {
			continue
		}
		if len(best) > 0 && c.rank < best[0].rank {
			best = best[:0]
		}
		best = append(best, c)
	}
	return best
}

// openDomains returns the failure domains that aren't evacuated, or all if all
// are.
func (js *Jobs) openDomains() []string {
	evacuated := js.config().Evacuated
	open := slices.DeleteFunc(slices.Clone(js.domains), func(name string) bool { return evacuated[name] })
	if len(open) == 0 {
		return js.domains
	}
	return open
}

func (js *Jobs) pickWeighted(candidates []candidate) string {
	total := 0
	for _, c := range candidates {
		total += c.weight
	}
	n := js.rand.IntN(max(total, 1))
	for _, c := range candidates {
		if n < c.weight {
			return c.domain
		}
		n -= c.weight
	}
	return candidates[len(candidates)-1].domain
}

func (js *Jobs) candidate(spec structs.JobSpec, name string, d port.DomainSummary, now time.Time) candidate {
	free := max(d.FreeAccelerators-js.recentDemand.Sum(now, name), 0)
	usable := free
	if spec.Adjacency != structs.AdjacencyDomain {
		usable = min(free, d.LargestBlock)
	}
	fits := usable >= spec.Size() && d.QueuedJobs == 0
	guaranteed := js.hasGuarantee(spec, name)
	c := candidate{domain: name, weight: free + 1}
	switch {
	case fits && guaranteed:
		c.rank = rankGuaranteed
	case fits:
		c.rank = rankFreeCapacity
	case guaranteed:
		c.rank = rankGuaranteeOnly
	default:
		c.rank = rankOther
	}
	return c
}

// hasGuarantee reports whether the workspace has a guarantee in a failure
// domain that fits the job.
func (js *Jobs) hasGuarantee(spec structs.JobSpec, domain string) bool {
	for _, g := range js.config().Workspaces[spec.Key.Workspace].Guarantees {
		if g.Domain == domain && g.Members >= spec.Members && g.Accelerators >= spec.Accelerators {
			return true
		}
	}
	return false
}

// summaries returns the known summaries by failure domain. Those of this
// instance take precedence over those of peers.
func (js *Jobs) summaries() map[string]port.DomainSummary {
	out := make(map[string]port.DomainSummary)
	for _, p := range js.peers.Live() {
		for _, d := range p.Heartbeat.Domains {
			out[d.Domain] = d
		}
	}
	for _, d := range js.localSummaries() {
		out[d.Domain] = d
	}
	return out
}

// Examine returns the failure domain in which a submission would be queued now, whose
// payload has payloadBytes bytes: of several, which Submit chooses at random, the most
// likely one. It fails with fault.Invalid or fault.NotFound as Submit does. Nothing is
// submitted or counted, and the store isn't asked whether the ID is in use.
func (js *Jobs) Examine(spec structs.JobSpec, payloadBytes int64) (domain string, err error) {
	if err := js.check(spec, payloadBytes); err != nil || spec.Domain != "" {
		return spec.Domain, err
	}
	summaries := js.summaries()
	js.mu.Lock()
	defer js.mu.Unlock()
	best := js.bestCandidates(spec, summaries, time.Now())
	return slices.MaxFunc(best, func(a, b candidate) int { return cmp.Compare(a.weight, b.weight) }).domain, nil
}
