package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/rendezvous"
)

// minImbalance is the least difference between the failure domains owned by
// two instances that warrants a handover. A handover at a difference of one
// would only swap the two instances' parts.
const minImbalance = 2

// view is what one poll knows: its own copy of the owner rows and the live
// sessions.
type view struct {
	domains  []string
	owners   map[string]record
	sessions map[string]session.Info
}

func newView(domains []string, owners map[string]record, live []session.Info) view {
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

// held counts the failure domains by incarnation.
func (v view) held() map[string]int {
	held := make(map[string]int)
	for _, owner := range v.owners {
		if owner.Incarnation != "" {
			held[owner.Incarnation]++
		}
	}
	return held
}

// candidates returns the sessions that may take over a failure domain, best
// first: the one that the last owner named, then those below an even share,
// then those of the same failure domain, then by rendezvous score. The bound
// on the load is that of consistent hashing with bounded loads.
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
	held := v.held()
	share := v.evenShare(len(out))
	next := v.owners[domain].Next
	slices.SortFunc(out, func(a, b session.Info) int {
		return cmp.Or(
			preferTrue(next != "" && a.Instance == next, next != "" && b.Instance == next),
			preferTrue(held[a.Incarnation] < share, held[b.Incarnation] < share),
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

// evenShare returns the failure domains per candidate, rounded up.
func (v view) evenShare(candidates int) int {
	if candidates == 0 {
		return 0
	}
	return (len(v.domains) + candidates - 1) / candidates
}

// position returns an incarnation's place among a failure domain's candidates,
// from 0, or -1 for none.
func (v view) position(domain, incarnation string) int {
	return slices.IndexFunc(v.candidates(domain), func(i session.Info) bool {
		return i.Incarnation == incarnation
	})
}

// successor returns the best candidate other than an incarnation.
func (v view) successor(domain, incarnation string) (session.Info, bool) {
	for _, info := range v.candidates(domain) {
		if info.Incarnation != incarnation {
			return info, true
		}
	}
	return session.Info{}, false
}

// transfer is a handover that evens the load out.
type transfer struct {
	domain string
	to     session.Info
}

// rebalance returns the handover that an owner should make, if any: from it to
// the instance that holds the fewest, when the difference is large enough.
// Every such handover lowers the sum of the squares of the counts, so that a
// series of them ends.
func (v view) rebalance(incarnation string) (transfer, bool) {
	held := v.held()
	least, ok := v.leastLoaded(held)
	if !ok || held[incarnation]-held[least.Incarnation] < minImbalance {
		return transfer{}, false
	}
	mine := v.ownedBy(incarnation)
	slices.SortFunc(mine, func(a, b string) int {
		return cmp.Or(
			preferTrue(a == least.Domain, b == least.Domain),
			cmp.Compare(rendezvous.Score(b, least.Instance), rendezvous.Score(a, least.Instance)),
			cmp.Compare(a, b),
		)
	})
	return transfer{domain: mine[0], to: least}, true
}

func (v view) leastLoaded(held map[string]int) (session.Info, bool) {
	var least session.Info
	found := false
	for _, info := range v.sessions {
		if info.Draining {
			continue
		}
		if !found || lessLoaded(held, info, least) {
			least, found = info, true
		}
	}
	return least, found
}

func lessLoaded(held map[string]int, a, b session.Info) bool {
	return cmp.Or(
		cmp.Compare(held[a.Incarnation], held[b.Incarnation]),
		cmp.Compare(a.Incarnation, b.Incarnation),
	) < 0
}

func (v view) ownedBy(incarnation string) []string {
	var out []string
	for domain, owner := range v.owners {
		if owner.Incarnation == incarnation {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}
