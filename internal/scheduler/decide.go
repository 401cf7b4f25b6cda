package scheduler

// Decide returns the plan for a failure domain. It is deterministic. Jobs within
// a guarantee are placed first, then jobs that borrow, in the order of queueOrder.
// In an evacuated failure domain all jobs wait, and nothing is reclaimed for them.
func Decide(s Snapshot) Plan {
	st := newState(s)
	st.plan.UnmetGuarantees = st.unmetGuarantees()
	feasibility := newFeasibilityCheck(st)
	jobs := make([]*Pending, 0, len(s.Queued))
	for _, p := range queueOrder(s.Queued) {
		if reason := feasibility.unplaceableReason(p.Spec); reason != "" {
			st.plan.Unplaceable = append(st.plan.Unplaceable, Verdict{Key: p.Spec.Key, Reason: reason})
			continue
		}
		jobs = append(jobs, p)
	}
	if s.Evacuated {
		for _, p := range jobs {
			st.wait(p, EvacuatedReason(s.Domain))
		}
		return st.plan
	}
	guaranteed, rest := st.splitGuaranteed(jobs)
	st.placeGuaranteed(guaranteed)
	newBorrowPass(st).startAll(rest)
	return st.plan
}
