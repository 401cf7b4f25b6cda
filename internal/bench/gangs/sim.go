package gangs

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Delays and intervals of the simulation.
const (
	// startDelay covers the decision, the writes of the job's row and the
	// members' leases.
	startDelay = 300 * time.Millisecond
	// minCheckpoint and maxCheckpoint bound the random time for a checkpoint and
	// the stop after it. Every simulated checkpoint succeeds. In operation, a gang
	// is stopped without a new checkpoint if a member's takes longer than the
	// checkpoint timeout.
	minCheckpoint = 500 * time.Millisecond
	maxCheckpoint = 3 * time.Second
	// restoreTime is the run time added by resuming from a checkpoint.
	restoreTime = 10 * time.Second
	// decideInterval is the longest time between two decisions while jobs wait.
	// Every event causes one too.
	decideInterval = 2 * time.Minute
)

type eventKind int

const (
	eventArrival eventKind = iota
	eventCompletion
	eventStopped
	eventDecide
)

type event struct {
	at      time.Duration
	kind    eventKind
	gang    int
	attempt int
}

// events is a heap ordered by time.
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

// gang is the simulated state of a job. queued, started, stopRequested and
// completed are points in virtual time. started includes startDelay and may lie
// in the future.
type gang struct {
	job
	remaining   time.Duration
	queued      time.Duration
	started     time.Duration
	expectedRun time.Duration
	// waited is the total time in the queue over all attempts, with their
	// startDelay.
	waited        time.Duration
	attempt       int
	running       bool
	stopping      bool
	stopRequested time.Duration
	// guaranteedSince is the time at which a plan first listed the gang as
	// waiting for a reclaim within a guarantee. Zero means not since the last
	// start. scheduler.Pending.GuaranteedFor is the time since then.
	guaranteedSince time.Duration
	done            bool
	completed       time.Duration
	borrowed        bool
	places          []scheduler.Place
	// entitled is set if the gang's workspace had an unused guaranteed gang when
	// this gang arrived.
	entitled bool
}

// decider is a placement policy.
type decider func(scheduler.Snapshot) scheduler.Plan

// sim is a discrete-event simulation in virtual time.
type sim struct {
	now             time.Duration
	events          events
	gangs           []gang
	byKey           map[structs.JobKey]int
	waiting         []int
	running         []int
	fleet           []scheduler.Worker
	workspaces      []structs.Workspace
	estimates       *scheduler.Estimates
	rng             *rand.Rand
	decide          decider
	decideScheduled bool
	frag            fragmentation
	reclaims        int
	unplaceable     int
}

func run(seed uint64, decide decider) *sim {
	s := &sim{
		byKey: make(map[structs.JobKey]int), fleet: fleet(), workspaces: workspaces(), decide: decide,
		estimates: scheduler.NewEstimates(), rng: rand.New(rand.NewPCG(seed, 2)),
	}
	for i, j := range drawTrace(seed) {
		s.gangs = append(s.gangs, gang{job: j, remaining: j.run})
		s.byKey[j.spec.Key] = i
		heap.Push(&s.events, event{at: j.arrive, kind: eventArrival, gang: i})
	}
	for len(s.events) > 0 {
		s.step()
	}
	return s
}

// step handles all events of one point in time, then runs a decision if jobs
// wait.
func (s *sim) step() {
	at := s.events[0].at
	s.frag.advance(at - s.now)
	s.now = at
	for len(s.events) > 0 && s.events[0].at == at {
		s.handle(heap.Pop(&s.events).(event))
	}
	if len(s.waiting) == 0 {
		s.frag = s.frag.recount(s)
		return
	}
	s.apply(s.decide(s.snapshot()))
	s.frag = s.frag.recount(s)
	if len(s.waiting) > 0 && !s.decideScheduled {
		s.decideScheduled = true
		heap.Push(&s.events, event{at: s.now + decideInterval, kind: eventDecide})
	}
}

func (s *sim) handle(e event) {
	if e.kind == eventDecide {
		s.decideScheduled = false
		return
	}
	g := &s.gangs[e.gang]
	switch {
	case e.kind == eventArrival:
		g.queued = s.now
		g.entitled = s.hasUnusedGuarantee(g)
		s.waiting = append(s.waiting, e.gang)
	case e.attempt != g.attempt || g.done:
		// The event belongs to an attempt that has ended.
	case e.kind == eventCompletion:
		s.removeRunning(e.gang)
		g.done = true
		g.completed = s.now
		s.estimates.Observe(structs.ServiceKey{Workspace: g.spec.Key.Workspace, Name: g.spec.Service}, g.run)
	default:
		s.removeRunning(e.gang)
		// The increment invalidates the attempt's completion event, which is
		// still in the heap.
		g.attempt++
		g.remaining += restoreTime
		g.queued = s.now
		s.waiting = append(s.waiting, e.gang)
	}
}

func (s *sim) removeRunning(i int) {
	g := &s.gangs[i]
	g.remaining = max(0, g.remaining-(s.now-g.started))
	g.running = false
	g.stopping = false
	s.running = removeValue(s.running, i)
}

// removeValue removes a value from a list in place.
func removeValue(list []int, value int) []int {
	out := list[:0]
	for _, x := range list {
		if x != value {
			out = append(out, x)
		}
	}
	return out
}

// hasUnusedGuarantee reports whether the gang's workspace has a guaranteed gang
// that no other job uses or waits for, whatever the jobs' shapes. Jobs on borrowed
// capacity don't count.
func (s *sim) hasUnusedGuarantee(g *gang) bool {
	used := 0
	for _, list := range [][]int{s.waiting, s.running} {
		for _, i := range list {
			other := &s.gangs[i]
			if other.spec.Key.Workspace == g.spec.Key.Workspace && !(other.running && other.borrowed) {
				used++
			}
		}
	}
	for _, w := range s.workspaces {
		if w.Name == g.spec.Key.Workspace {
			return used < w.Guarantees[0].Gangs
		}
	}
	return false
}

func (s *sim) snapshot() scheduler.Snapshot {
	snap := scheduler.Snapshot{Domain: domain, Workers: s.fleet, Workspaces: s.workspaces}
	for _, i := range s.running {
		g := &s.gangs[i]
		stoppingFor := time.Duration(0)
		if g.stopping {
			stoppingFor = s.now - g.stopRequested
		}
		snap.Gangs = append(snap.Gangs, scheduler.Gang{
			StoppingFor: stoppingFor,
			Key:         g.spec.Key, Class: g.spec.Class, Preemptible: g.spec.Preemptible, Borrowed: g.borrowed, Stopping: g.stopping,
			Members: g.places, Accelerators: g.spec.Accelerators, Adjacency: g.spec.Adjacency,
			Elapsed: s.now - g.started, ExpectedRun: g.expectedRun,
		})
	}
	for _, i := range s.waiting {
		g := &s.gangs[i]
		key := structs.ServiceKey{Workspace: g.spec.Key.Workspace, Name: g.spec.Service}
		guaranteedFor := time.Duration(0)
		if g.guaranteedSince > 0 {
			guaranteedFor = s.now - g.guaranteedSince
		}
		snap.Queued = append(snap.Queued, scheduler.Pending{
			GuaranteedFor: guaranteedFor,
			Spec:          g.spec, QueuedFor: s.now - g.queued, ExpectedRun: s.estimates.Expected(key, g.spec.DeclaredRun),
		})
	}
	return snap
}

func (s *sim) apply(p scheduler.Plan) {
	s.unplaceable += len(p.Unplaceable)
	for _, r := range p.Reclaims {
		i := s.byKey[r.Key]
		g := &s.gangs[i]
		g.stopping = true
		g.stopRequested = s.now
		s.reclaims++
		checkpoint := minCheckpoint + time.Duration(s.rng.Int64N(int64(maxCheckpoint-minCheckpoint)))
		heap.Push(&s.events, event{at: s.now + checkpoint, kind: eventStopped, gang: i, attempt: g.attempt})
	}
	for _, v := range p.Waiting {
		if g := &s.gangs[s.byKey[v.Key]]; v.WaitsForReclaim && g.guaranteedSince == 0 {
			g.guaranteedSince = s.now
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
	g.guaranteedSince = 0
	g.waited += g.started - g.queued
	g.running = true
	g.borrowed = st.Borrowed
	g.places = st.Places
	key := structs.ServiceKey{Workspace: g.spec.Key.Workspace, Name: g.spec.Service}
	g.expectedRun = s.estimates.Expected(key, g.spec.DeclaredRun)
	s.waiting = removeValue(s.waiting, i)
	s.running = append(s.running, i)
	heap.Push(&s.events, event{at: g.started + g.remaining, kind: eventCompletion, gang: i, attempt: g.attempt})
}
