package gangs

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// The times that the measures add to decisions.
const (
	// startDelay covers the decision, the row's writes and the members' leases.
	startDelay = 300 * time.Millisecond
	// checkpointLeast and checkpointMost bound a checkpoint and the stop after
	// it; a task that takes longer is stopped without.
	checkpointLeast = 500 * time.Millisecond
	checkpointMost  = 3 * time.Second
	// restore is what resuming from a checkpoint costs.
	restore = 10 * time.Second
	// wake is the time between decisions while jobs wait.
	wake = 2 * time.Minute
)

type eventKind int

const (
	arrives eventKind = iota
	ends
	stops
	wakes
)

type event struct {
	at      time.Duration
	kind    eventKind
	gang    int
	attempt int
}

// events is a heap by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// gang is a job under way.
type gang struct {
	job
	left     time.Duration
	queued   time.Duration
	started  time.Duration
	expected time.Duration
	waited   time.Duration
	attempt  int
	running  bool
	stopping bool
	told     time.Duration
	// promised is when a verdict first put the gang within a guarantee.
	promised time.Duration
	done     bool
	end      time.Duration
	lent     bool
	places   []scheduler.Place
	// asked says that a gang of its guarantee was left when it arrived.
	asked bool
}

// decider is a policy.
type decider func(scheduler.Snapshot) scheduler.Plan

// sim is an event loop in virtual time.
type sim struct {
	now       time.Duration
	events    events
	gangs     []gang
	byKey     map[structs.JobKey]int
	waiting   []int
	running   []int
	fleet     []scheduler.Worker
	spaces    []structs.Workspace
	estimates *scheduler.Estimates
	rng       *rand.Rand
	decide    decider
	woken     bool
	frag      fragmentation
	reclaims  int
	refused   int
}

func run(seed uint64, decide decider) *sim {
	s := &sim{
		byKey: make(map[structs.JobKey]int), fleet: fleet(), spaces: workspaces(), decide: decide,
		estimates: scheduler.NewEstimates(), rng: rand.New(rand.NewPCG(seed, 2)),
	}
	for i, j := range trace(seed) {
		s.gangs = append(s.gangs, gang{job: j, left: j.run})
		s.byKey[j.spec.Key] = i
		heap.Push(&s.events, event{at: j.arrive, kind: arrives, gang: i})
	}
	for len(s.events) > 0 {
		s.step()
	}
	return s
}

// step handles all events of one moment, then decides.
func (s *sim) step() {
	at := s.events[0].at
	s.frag.pass(at - s.now)
	s.now = at
	for len(s.events) > 0 && s.events[0].at == at {
		s.handle(heap.Pop(&s.events).(event))
	}
	if len(s.waiting) == 0 {
		s.frag = s.frag.with(s)
		return
	}
	s.apply(s.decide(s.snapshot()))
	s.frag = s.frag.with(s)
	if len(s.waiting) > 0 && !s.woken {
		s.woken = true
		heap.Push(&s.events, event{at: s.now + wake, kind: wakes})
	}
}

func (s *sim) handle(e event) {
	if e.kind == wakes {
		s.woken = false
		return
	}
	g := &s.gangs[e.gang]
	switch {
	case e.kind == arrives:
		g.queued = s.now
		g.asked = s.owed(g)
		s.waiting = append(s.waiting, e.gang)
	case e.attempt != g.attempt || g.done:
	case e.kind == ends:
		s.leave(e.gang)
		g.done = true
		g.end = s.now
		s.estimates.Observe(structs.ServiceKey{Workspace: g.spec.Key.Workspace, Name: g.spec.Service}, g.run)
	default:
		s.leave(e.gang)
		// The attempt's end, still in the heap, no longer counts.
		g.attempt++
		g.left += restore
		g.queued = s.now
		s.waiting = append(s.waiting, e.gang)
	}
}

func (s *sim) leave(i int) {
	g := &s.gangs[i]
	g.left = max(0, g.left-(s.now-g.started))
	g.running = false
	g.stopping = false
	s.running = drop(s.running, i)
}

func drop(list []int, i int) []int {
	out := list[:0]
	for _, x := range list {
		if x != i {
			out = append(out, x)
		}
	}
	return out
}

// owed reports whether the gang's workspace has a gang of its guarantee left
// that no other job runs in or waits for.
func (s *sim) owed(g *gang) bool {
	used := 0
	for _, list := range [][]int{s.waiting, s.running} {
		for _, i := range list {
			o := &s.gangs[i]
			if o.spec.Key.Workspace == g.spec.Key.Workspace && !(o.running && o.lent) {
				used++
			}
		}
	}
	for _, w := range s.spaces {
		if w.Name == g.spec.Key.Workspace {
			return used < w.Guarantees[0].Gangs
		}
	}
	return false
}

func (s *sim) snapshot() scheduler.Snapshot {
	snap := scheduler.Snapshot{Domain: domain, Workers: s.fleet, Workspaces: s.spaces}
	for _, i := range s.running {
		g := &s.gangs[i]
		stopped := time.Duration(0)
		if g.stopping {
			stopped = s.now - g.told
		}
		snap.Gangs = append(snap.Gangs, scheduler.Gang{
			StoppingFor: stopped,
			Key:         g.spec.Key, Class: g.spec.Class, Preemptible: g.spec.Preemptible, Borrowed: g.lent, Stopping: g.stopping,
			Members: g.places, Accelerators: g.spec.Accelerators, Adjacency: g.spec.Adjacency,
			Elapsed: s.now - g.started, ExpectedRun: g.expected,
		})
	}
	for _, i := range s.waiting {
		g := &s.gangs[i]
		key := structs.ServiceKey{Workspace: g.spec.Key.Workspace, Name: g.spec.Service}
		promised := time.Duration(0)
		if g.promised > 0 {
			promised = s.now - g.promised
		}
		snap.Queued = append(snap.Queued, scheduler.Pending{
			ReclaimWait: promised,
			Spec:        g.spec, QueuedFor: s.now - g.queued, ExpectedRun: s.estimates.Expected(key, g.spec.DeclaredRun),
		})
	}
	return snap
}

func (s *sim) apply(p scheduler.Plan) {
	s.refused += len(p.Unplaceable)
	for _, r := range p.Reclaims {
		i := s.byKey[r.Key]
		g := &s.gangs[i]
		g.stopping = true
		g.told = s.now
		s.reclaims++
		wait := checkpointLeast + time.Duration(s.rng.Int64N(int64(checkpointMost-checkpointLeast)))
		heap.Push(&s.events, event{at: s.now + wait, kind: stops, gang: i, attempt: g.attempt})
	}
	for _, v := range p.Waiting {
		if g := &s.gangs[s.byKey[v.Key]]; v.WaitsForReclaim && g.promised == 0 {
			g.promised = s.now
		}
	}
	for _, st := range p.Starts {
		s.start(s.byKey[st.Key], st)
	}
}

func (s *sim) start(i int, st scheduler.Start) {
	g := &s.gangs[i]
	g.attempt++
	g.started = s.now + startDelay
	g.promised = 0
	g.waited += g.started - g.queued
	g.running = true
	g.lent = st.Borrowed
	g.places = st.Places
	key := structs.ServiceKey{Workspace: g.spec.Key.Workspace, Name: g.spec.Service}
	g.expected = s.estimates.Expected(key, g.spec.DeclaredRun)
	s.waiting = drop(s.waiting, i)
	s.running = append(s.running, i)
	heap.Push(&s.events, event{at: g.started + g.left, kind: ends, gang: i, attempt: g.attempt})
}
