package scheduler

import (
	"cmp"
	"slices"
)

// guaranteedJob is a queued job that an unused gang of a guarantee covers.
type guaranteedJob struct {
	*Pending
	// guarantee is the index in guaranteeSet.list.
	guarantee int
}

// splitGuaranteed assigns the unused gangs that have a slot to jobs in queue
// order and returns those jobs and the others. The guaranteed jobs are sorted by
// the time since Verdict.WaitsForReclaim was first set, longest first, so that a
// job with a reclaim in progress gets the accelerators that it frees; then by
// class and wait.
func (st *state) splitGuaranteed(jobs []*Pending) (guaranteed []guaranteedJob, rest []*Pending) {
	if len(st.guarantees.list) == 0 {
		return nil, jobs
	}
	available := st.placeableGuarantees()
	for _, p := range jobs {
		if i := available.smallestCovering(p.Spec.Key.Workspace, shapeOf(p.Spec)); i >= 0 {
			available.list[i].unused--
			guaranteed = append(guaranteed, guaranteedJob{Pending: p, guarantee: i})
			continue
		}
		rest = append(rest, p)
	}
	slices.SortStableFunc(guaranteed, func(a, b guaranteedJob) int {
		return cmp.Or(
			-cmp.Compare(a.GuaranteedFor, b.GuaranteedFor),
			cmp.Compare(a.Spec.Class.Rank(), b.Spec.Class.Rank()),
			-cmp.Compare(a.QueuedFor, b.QueuedFor),
		)
	})
	return guaranteed, rest
}

// placeGuaranteed places the jobs one by one. If that reclaims gangs, it starts
// over and tries to place all jobs at once on accelerators that are free or held
// by stopping gangs, so that one round of reclaims is enough. If they don't fit
// there, it places them one by one after all.
func (st *state) placeGuaranteed(jobs []guaranteedJob) {
	if len(jobs) < 2 {
		st.placeEach(jobs)
		return
	}
	before := st.clone()
	st.placeEach(jobs)
	if len(st.plan.Reclaims) == 0 {
		return
	}
	*st = before
	if !st.placeTogether(jobs) {
		st.placeEach(jobs)
	}
}

func (st *state) placeEach(jobs []guaranteedJob) {
	for i := range jobs {
		st.placeOne(&jobs[i])
	}
}

// placeTogether places all jobs on accelerators that are free or held by
// stopping gangs. It reports whether they fit.
func (st *state) placeTogether(jobs []guaranteedJob) bool {
	blocks, ok := st.slots.tryTakeWithin(jobs, st.soonFree)
	if !ok {
		return false
	}
	for i, b := range blocks {
		isFree := st.free.fits(b)
		st.commit(b)
		if isFree {
			st.start(jobs[i].Pending, b, false)
			continue
		}
		st.waitForStops(jobs[i].Pending)
	}
	return true
}

// placeOne starts a job on free accelerators, else lets it wait for stopping
// gangs, else reclaims borrowed accelerators.
func (st *state) placeOne(job *guaranteedJob) {
	if b, ok := st.takeWithin(job, st.free, job.AvoidWorkers); ok {
		st.commit(b)
		st.start(job.Pending, b, false)
		return
	}
	if b, ok := st.takeSoonFree(job); ok {
		st.commit(b)
		st.waitForStops(job.Pending)
		return
	}
	if b, ok := st.reclaimFor(job); ok {
		st.stop(st.victims(b), job.Spec.Key)
		st.commit(b)
		st.waitForStops(job.Pending)
		return
	}
	st.wait(job.Pending, reasonUnmet)
}

// takeSoonFree takes a place that becomes free when stopping gangs exit, those
// with the oldest stop orders first. Otherwise a waiting job could switch to the
// place of a later stop, and other jobs could take those accelerators of its first
// place that are already free.
func (st *state) takeSoonFree(job *guaranteedJob) (block, bool) {
	for _, age := range st.stopAges() {
		if b, ok := st.takeWithin(job, st.freeAfterStops(age), nil); ok {
			return b, true
		}
	}
	return st.takeWithin(job, st.soonFree, nil)
}

// takeWithin takes a place within the given capacity that leaves a slot for
// every other unused gang of a guarantee. It tries best fit, then the job's
// slots, then an exact search. Best fit uses a worker to avoid only if the job
// fits on no others; the other steps ignore avoid.
func (st *state) takeWithin(job *guaranteedJob, within *capacity, avoid []string) (block, bool) {
	sh := shapeOf(job.Spec)
	b, ok := within.without(avoid).find(sh)
	if ok && st.slots.tryTake(b, job.guarantee) {
		return b, true
	}
	if !ok {
		if b, ok = within.find(sh); !ok {
			return block{}, false
		}
		if st.slots.tryTake(b, job.guarantee) {
			return b, true
		}
	}
	for _, b := range st.blocksInSlots(job) {
		if within.fits(b) && st.slots.tryTake(b, job.guarantee) {
			return b, true
		}
	}
	blocks, ok := st.slots.tryTakeWithin([]guaranteedJob{*job}, within)
	if !ok {
		return block{}, false
	}
	return blocks[0], true
}

// blocksInSlots lists places for the job inside the slots of its guarantee.
func (st *state) blocksInSlots(job *guaranteedJob) []block {
	var out []block
	for i := range st.slots.list {
		if s := &st.slots.list[i]; s.guarantee == job.guarantee {
			out = append(out, fitInto(s.block, shapeOf(job.Spec)))
		}
	}
	return out
}

// fitInto returns a place for a shape on the workers of a slot's block. The slot's
// guarantee must cover the shape.
func fitInto(b block, sh shape) block {
	out := block{accelerators: sh.accelerators}
	remaining := sh.members
	for _, a := range b.assignments {
		n := min(remaining, a.members*b.accelerators/sh.accelerators)
		if n == 0 {
			continue
		}
		out.assignments = append(out.assignments, assignment{worker: a.worker, members: n})
		remaining -= n
	}
	return out
}
