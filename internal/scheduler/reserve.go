package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// release is when a running gang is expected to end.
type release struct {
	gang int
	at   time.Duration
}

// reserve gives one of the first waiting jobs a reserved place. It reports
// whether it had gangs moved to free one.
func (l *lender) reserve(p *Pending) bool {
	if len(l.reserved) == maxReservations {
		return false
	}
	b, start, ok := l.earliest(p)
	moved := false
	if (!ok || start > 0) && p.Waited >= MoveAfter {
		if place, found := l.move(p, ok, start); found {
			b, start, ok, moved = place, 0, true, true
		}
	}
	if !ok {
		return false
	}
	if len(l.reserved) == 0 {
		l.open = ground{free: l.all.free.clone(), loose: l.all.loose.clone()}
	}
	l.open.take(b)
	l.reserved = append(l.reserved, reservation{block: b, start: start, waited: p.Waited})
	return moved
}

// earliest returns the place and time at which a job is expected to fit,
// beside the reservations before it.
func (l *lender) earliest(p *Pending) (block, time.Duration, bool) {
	l.listReleases()
	sh := shapeOf(p.Spec)
	n := sort.Search(len(l.releases)+1, func(n int) bool {
		_, ok := l.after(n, p.Spec.Preemptible).find(sh)
		return ok
	})
	if n > len(l.releases) {
		return block{}, 0, false
	}
	b, _ := l.after(n, p.Spec.Preemptible).find(sh)
	if n == 0 {
		return b, 0, true
	}
	return b, l.releases[n-1].at, true
}

func (l *lender) listReleases() {
	if l.releases != nil {
		return
	}
	l.releases = make([]release, 0, len(l.st.gangs))
	for i := range l.st.gangs {
		if g := &l.st.gangs[i]; !g.Stopping {
			l.releases = append(l.releases, release{gang: i, at: remaining(g)})
		}
	}
	slices.SortStableFunc(l.releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
}

// after counts what is free once the first n releases took place. A gang
// within a guarantee gives its accelerators back to the guarantee, so that
// they are free to preemptible jobs only.
func (l *lender) after(n int, preemptible bool) *grid {
	g := l.st.soon.clone()
	spare := l.st.keep.spare
	if !preemptible {
		spare = spare.clone()
	}
	for _, r := range l.releases[:n] {
		h := &l.st.gangs[r.gang]
		if h.Stopping {
			continue
		}
		b := l.st.usable(h.block)
		g.give(b)
		if !preemptible && h.Lent && !h.Preemptible {
			spare.give(b)
		}
	}
	for i := range l.reserved {
		g.take(l.reserved[i].block)
	}
	if preemptible {
		return g
	}
	return g.atMost(spare)
}
