package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/rendezvous"
)

// minImbalance is the smallest difference between the numbers of failure
// domains owned by two instances that justifies a handover. At a difference of
// one, a handover would only swap the two instances' loads.
const minImbalance = 2

// view is the state that one poll works on: a private copy of the owner rows
// and the live sessions.
type view struct {
	domains  []string
	owners   map[string]ownerRow
	sessions map[string]session.Info
}

func newView(domains []string, owners map[string]ownerRow, live []session.Info) view {
	sessions := make(map[string]session.Info, len(live))
	for _, info := range live {
		sessions[info.Incarnation] = info
	}
	return view{domains: domains, owners: maps.Clone(owners), sessions: sessions}
}

// vacant reports whether a failure domain has no owner with a live session.
func (v view) vacant(domain string) bool {
	owner := v.owners[domain]
	if owner.Incarnation == "" {
		return true
	}
	_, alive := v.sessions[owner.Incarnation]
	return !alive
}

// domainCounts returns the number of owned failure domains by incarnation.
func (v view) domainCounts() map[string]int {
	counts := make(map[string]int)
	for _, owner := range v.owners {
		if owner.Incarnation != "" {
			counts[owner.Incarnation]++
		}
	}
	return counts
}

// candidates returns the sessions that may take over a failure domain, best
// first: the successor chosen by the previous owner, then those below an even
// share, then those in the same failure domain, then by rendezvous score. The
// bound on the load is that of consistent hashing with bounded loads.
//
// Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
// Loads", SODA 2018.
func (v view) candidates(domain string) []session.Info {
	var out []session.Info
	for _, info := range v.sessions {
		if !info.Draining {
			out = append(out, info)
		}
	}
	counts := v.domainCounts()
	share := v.evenShare(len(out))
	next := v.owners[domain].Next
	slices.SortFunc(out, func(a, b session.Info) int {
		return cmp.Or(
			preferTrue(next != "" && a.Instance == next, next != "" && b.Instance == next),
			preferTrue(counts[a.Incarnation] < share, counts[b.Incarnation] < share),
			preferTrue(a.Domain == domain, b.Domain == domain),
			rendezvous.Compare(domain, a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return out
}

func preferTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// evenShare returns the number of failure domains per candidate, rounded up.
func (v view) evenShare(candidates int) int {
	if candidates == 0 {
		return 0
	}
	return (len(v.domains) + candidates - 1) / candidates
}

// position returns an incarnation's index among a failure domain's candidates,
// or -1 if it isn't a candidate.
func (v view) position(domain, incarnation string) int {
	return slices.IndexFunc(v.candidates(domain), func(i session.Info) bool {
		return i.Incarnation == incarnation
	})
}

// successor returns the best candidate other than the given incarnation, if any.
func (v view) successor(domain, incarnation string) (session.Info, bool) {
	for _, info := range v.candidates(domain) {
		if info.Incarnation != incarnation {
			return info, true
		}
	}
	return session.Info{}, false
}

// handover is the transfer of a failure domain to balance the load.
type handover struct {
	domain string
	to     session.Info
}

// rebalance returns the handover from an owner to the least loaded instance if
// their loads differ by at least minImbalance. Every such handover lowers the
// sum of the squared counts, so a series of them terminates.
func (v view) rebalance(incarnation string) (handover, bool) {
	counts := v.domainCounts()
	least, ok := v.leastLoaded(counts)
	if !ok || counts[incarnation]-counts[least.Incarnation] < minImbalance {
		return handover{}, false
	}
	owned := v.ownedBy(incarnation)
	slices.SortFunc(owned, func(a, b string) int {
		return cmp.Or(
			preferTrue(a == least.Domain, b == least.Domain),
			cmp.Compare(rendezvous.Score(b, least.Instance), rendezvous.Score(a, least.Instance)),
			cmp.Compare(a, b),
		)
	})
	return handover{domain: owned[0], to: least}, true
}

func (v view) leastLoaded(counts map[string]int) (session.Info, bool) {
	var least session.Info
	found := false
	for _, info := range v.sessions {
		if info.Draining {
			continue
		}
		if !found || lessLoaded(counts, info, least) {
			least, found = info, true
		}
	}
	return least, found
}

func lessLoaded(counts map[string]int, a, b session.Info) bool {
	return cmp.Or(
		cmp.Compare(counts[a.Incarnation], counts[b.Incarnation]),
		cmp.Compare(a.Incarnation, b.Incarnation),
	) < 0
}

func (v view) ownedBy(incarnation string) []string {
	var owned []string
	for domain, owner := range v.owners {
		if owner.Incarnation == incarnation {
			owned = append(owned, domain)
		}
	}
	slices.Sort(owned)
	return owned
}
