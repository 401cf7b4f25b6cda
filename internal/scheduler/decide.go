package scheduler

// Decide returns what to do now in a failure domain. The same snapshot always
// gives the same plan. Asks within a guarantee go first, then lending by
// class and response ratio.
func Decide(s Snapshot) Plan {
	st := newState(s)
	st.plan.Unheld = st.unheld()
	never := newImpossible(st)
	jobs := make([]*Pending, 0, len(s.Queued))
	for _, p := range inOrder(s.Queued) {
		if reason := never.reason(p.Spec); reason != "" {
			st.plan.Unplaceable = append(st.plan.Unplaceable, Verdict{Key: p.Spec.Key, Reason: reason})
			continue
		}
		jobs = append(jobs, p)
	}
	asks, rest := st.split(jobs)
	st.serveAll(asks)
	newLender(st).lend(rest)
	return st.plan
}
