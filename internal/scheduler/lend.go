package scheduler

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// lender starts jobs beyond the guarantees.
type lender struct {
	st *state
	// all counts what lent jobs may use at all, and open what is left of it
	// beside the reservations.
	all  ground
	open ground
	// version is that of the keeper for which loose was worked out.
	version  int
	reserved []reservation
	releases []release
	// failed remembers the fewest members without a place: capacity only
	// shrinks, and a larger gang fits no better.
	failed map[failure]refusal
}

// ground is a pair of grids: everything free, and of it what no slot uses.
type ground struct {
	free  *grid
	loose *grid
}

func (g ground) take(b block) {
	g.free.take(b)
	g.loose.take(b)
}

// failure is a search that needn't be repeated.
type failure struct {
	accelerators int
	adjacency    structs.Adjacency
	preemptible  bool
	passes       bool
}

// refusal is the fewest members that failed, with the reason.
type refusal struct {
	members int
	reason  string
}

func newLender(st *state) *lender {
	l := &lender{st: st, failed: make(map[failure]refusal)}
	l.all = ground{free: st.free, loose: st.free.atMost(st.keep.spare)}
	l.open = l.all
	l.version = st.keep.version
	return l
}

// lend goes through the jobs in order. Nothing is lent while a guarantee has
// no place.
func (l *lender) lend(jobs []*Pending) {
	short := l.st.short()
	for _, p := range jobs {
		if short {
			l.st.wait(p, reasonNoLending)
			continue
		}
		l.offer(p)
	}
}

func (l *lender) offer(p *Pending) {
	name := p.Spec.Key.Workspace
	size := p.Spec.Size()
	if l.st.borrowed[name]+size > l.st.workspaces[name].BorrowingLimit {
		l.st.wait(p, reasonBorrowing)
		return
	}
	b, reason := l.place(p)
	if reason == reasonKept && len(p.Avoid) == 0 && l.st.idle() {
		l.st.plan.Unplaceable = append(l.st.plan.Unplaceable, Verdict{Key: p.Spec.Key, Reason: reasonAlwaysKept})
		return
	}
	if reason != "" {
		if l.reserve(p) {
			reason = reasonMoving
		}
		l.st.wait(p, reason)
		return
	}
	l.st.borrowed[name] += size
	l.st.soon.take(b)
	l.all.take(b)
	if len(l.reserved) > 0 {
		l.open.take(b)
	}
	l.refresh()
	l.st.start(p, b, true)
}

// refresh follows slots that moved.
func (l *lender) refresh() {
	if l.version == l.st.keep.version {
		return
	}
	l.version = l.st.keep.version
	l.all.loose = l.all.free.atMost(l.st.keep.spare)
	if len(l.reserved) == 0 {
		l.open = l.all
		return
	}
	l.open.loose = l.open.free.atMost(l.st.keep.spare)
}

// passes reports whether a job may use reserved accelerators: it is expected
// to end before any of the reservations begins, and no holder of one has
// waited beyond PassingLimit.
func (l *lender) passes(p *Pending) bool {
	for i := range l.reserved {
		r := &l.reserved[i]
		if r.waited >= PassingLimit || expected(p.Expected) > r.start {
			return false
		}
	}
	return true
}

// place finds a place for a lent job, or the reason why there is none.
func (l *lender) place(p *Pending) (block, string) {
	sh := shapeOf(p.Spec)
	key := failure{accelerators: sh.accelerators, adjacency: sh.adjacency, preemptible: p.Spec.Preemptible, passes: l.passes(p)}
	if r, ok := l.failed[key]; ok && sh.members >= r.members {
		return block{}, r.reason
	}
	g := l.open
	if key.passes {
		g = l.all
	}
	if len(p.Avoid) > 0 {
		return l.placeOn(p, ground{free: g.free.without(p.Avoid), loose: g.loose.without(p.Avoid)})
	}
	b, reason := l.placeOn(p, g)
	if reason != "" {
		l.failed[key] = refusal{members: sh.members, reason: reason}
	}
	return b, reason
}

// placeOn prefers accelerators that no slot uses. Preemptible jobs may use
// the others too; the rest only where the slots can move aside.
func (l *lender) placeOn(p *Pending, g ground) (block, string) {
	sh := shapeOf(p.Spec)
	if b, ok := g.loose.find(sh); ok {
		if p.Spec.Preemptible || l.st.keep.permit(b, -1) {
			return b, ""
		}
	}
	b, ok := g.free.find(sh)
	switch {
	case !ok && len(l.reserved) > 0:
		return block{}, reasonReserved
	case !ok:
		return block{}, reasonNoPlace
	case p.Spec.Preemptible || l.st.keep.permit(b, -1):
		return b, ""
	default:
		return block{}, reasonKept
	}
}

// reservation keeps accelerators for a waiting job from when they are
// expected to be free.
type reservation struct {
	block  block
	start  time.Duration
	waited time.Duration
}
