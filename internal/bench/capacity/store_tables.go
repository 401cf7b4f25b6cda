package capacity

// What the store is asked by a region, in rows a second. The worst hours count
// on top of the mean.

const (
	meanName = "store-mean"
	// lostSeconds is the time over which the gangs of a lost failure domain
	// come back.
	lostSeconds = 60.0
	hourSeconds = 3600.0
	// backlogJobs is a backlog of a region that lasts.
	backlogJobs = 500
	// startRows are the rows written from the queue to a running gang.
	startRows = 3
)

func storeBudgets() []Budget {
	return []Budget{
		{Kind: Written, Bound: budgetWritten, Of: "several hundred rows written a second"},
		{Kind: Read, Bound: budgetRead, Of: "about two thousand rows read a second"},
	}
}

func meanTable() Table {
	beats := regionInstances * beatsASecond
	return Table{
		Name: meanName,
		Lines: []Line{
			{What: "sessions renewed", Kind: Written, Slope: 1, Size: 1, Of: "row", Times: beats, Every: "heartbeats/s", GrowTimes: true},
			{What: "jobs from submission to end", Kind: Written, Measure: "job.rows.written", Marginal: true, Size: 1, Of: "job", Times: jobsADay / day / regions, Every: "jobs/s", GrowTimes: true},
			{What: "tickets with one workspace", Kind: Written, Measure: "ticket.rows.written", Size: 1, Of: "workspace stated", Times: ticketsADay / day, Every: "tickets/s", GrowTimes: true},
			{What: "claims and outcomes", Kind: Written, Measure: "claim.rows.written", Marginal: true, Size: 1, Of: "request", Times: regionClaims, Every: "requests/s", GrowTimes: true},
			{What: "old rows deleted", Kind: Written, Slope: 1, Size: 1, Of: "row", Times: sweptRows, Every: "rows/s"},
			{What: "rows looked at by retention", Kind: Read, Slope: 1, Size: 1, Of: "row", Times: sweptRows, Every: "rows/s"},
			{What: "sessions read by all", Kind: Read, Measure: "session.rows.read", Size: regionInstances, Of: "instances", Times: beats, Every: "heartbeats/s", GrowSize: true, GrowTimes: true},
			{What: "owner rows read by all", Kind: Read, Measure: "owner.rows.read", Size: regionDomains, Of: "failure domains", Times: beats, Every: "polls/s", GrowSize: true, GrowTimes: true},
			{What: "configuration's version read by all", Kind: Read, Slope: 1, Size: 1, Of: "row", Times: regionInstances, Every: "polls/s", GrowTimes: true},
			{What: "tickets read by all", Kind: Read, Measure: "ticket.rows.read", Size: regionInstances, Of: "instances", Times: ticketsADay / day, Every: "tickets/s", GrowSize: true, GrowTimes: true},
			{What: "jobs from submission to end", Kind: Read, Measure: "job.rows.read", Marginal: true, Size: 1, Of: "job", Times: jobsADay / day / regions, Every: "jobs/s", GrowTimes: true},
			{What: "polls of the inboxes while jobs wait", Kind: Read, Measure: "waiting.rows.read", Marginal: true, Size: regionWaiting, Of: "waiting jobs", Times: inboxPolls, Every: "polls/s", GrowSize: true},
			{What: "callers that watch a job", Kind: Read, Measure: "watch.rows.read", Marginal: true, Size: regionWatched, Of: "callers", Times: 1, Every: "always", GrowSize: true},
			{What: "sessions renewed", Kind: Commits, Slope: 1, Size: 1, Of: "commit", Times: beats, Every: "heartbeats/s", GrowTimes: true},
			{What: "jobs from submission to end", Kind: Commits, Measure: "job.commits", Marginal: true, Size: 1, Of: "job", Times: jobsADay / day / regions, Every: "jobs/s", GrowTimes: true},
			{What: "tickets", Kind: Commits, Slope: 1, Size: 1, Of: "commit", Times: ticketsADay / day, Every: "tickets/s", GrowTimes: true},
			{What: "claims and outcomes, none sharing a commit", Kind: Commits, Slope: 1, Size: 2, Of: "commits", Times: regionClaims, Every: "requests/s", GrowTimes: true},
			{What: "sessions and owner rows", Kind: Reads, Slope: 1, Size: 2, Of: "reads", Times: beats, Every: "heartbeats/s", GrowTimes: true},
			{What: "configuration's version", Kind: Reads, Slope: 1, Size: 1, Of: "read", Times: regionInstances, Every: "polls/s", GrowTimes: true},
			{What: "tickets", Kind: Reads, Measure: "ticket.reads", Size: regionInstances, Of: "instances", Times: ticketsADay / day, Every: "tickets/s", GrowSize: true, GrowTimes: true},
			{What: "inboxes", Kind: Reads, Slope: 1, Size: readsPerPoll, Of: "reads", Times: regionDomains * inboxPolls, Every: "polls/s", GrowTimes: true},
			{What: "callers that watch a job, one row a read", Kind: Reads, Measure: "watch.rows.read", Marginal: true, Size: regionWatched, Of: "callers", Times: 1, Every: "always", GrowSize: true},
		},
		Budgets: storeBudgets(),
	}
}

func outageTable() Table {
	// Each instance settles one outcome after the other, with a read and a
	// commit.
	rate := regionInstances * 1000 / (2 * callMillis)
	return Table{
		Name: "store-outage",
		From: []string{meanName},
		Lines: []Line{
			{What: "outcomes settled one by one", Kind: Written, Slope: 1, Size: 1, Of: "row", Times: rate, Every: "outcomes/s"},
			{What: "outcomes settled one by one", Kind: Read, Slope: 1, Size: 1, Of: "row", Times: rate, Every: "outcomes/s"},
			{What: "tickets accepted in ten minutes, fetched within a second", Kind: Read, Slope: 1, Size: 600 * ticketsADay / day, Of: "tickets", Times: regionInstances, Every: "instances/s", GrowSize: true, GrowTimes: true},
			{What: "rows to write in all, with every ring full", Kind: Size, Slope: 1, Size: settleCapacity, Of: "outcomes of an instance", Times: regionInstances, Every: "instances", GrowTimes: true, Extra: true},
			{What: "rows written for a request refused in the outage", Kind: Size, Measure: "settle.rows.written", Marginal: true, Size: 1, Of: "request", Times: 1, Every: "request", Extra: true},
			{What: "rows read for a request refused in the outage", Kind: Size, Measure: "settle.rows.read", Marginal: true, Size: 1, Of: "request", Times: 1, Every: "request", Extra: true},
		},
		Budgets: storeBudgets(),
	}
}

func lostTable() Table {
	return Table{
		Name: "store-lost",
		From: []string{meanName},
		Lines: []Line{
			{What: "gangs stopped, back in the queue", Kind: Written, Measure: "lost.rows.written", Marginal: true, Size: ownedJobs, Of: "gangs", Times: 1 / lostSeconds, Every: "in a minute", GrowSize: true},
			{What: "gangs moved to another failure domain", Kind: Written, Measure: "moved.rows.written", Marginal: true, Size: ownedJobs, Of: "gangs", Times: 1 / lostSeconds, Every: "in a minute", GrowSize: true},
			{What: "gangs started there", Kind: Written, Slope: startRows, Size: ownedJobs, Of: "gangs", Times: 1 / lostSeconds, Every: "in a minute", GrowSize: true},
			{What: "polls of the inbox while gangs wait there", Kind: Read, Measure: "waiting.rows.read", Marginal: true, Size: ownedJobs, Of: "waiting gangs", Times: inboxPolls, Every: "polls/s", GrowSize: true},
			{What: "takeover of a failure domain whose owner was lost too", Kind: Read, Measure: "domain.load.rows", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1 / lostSeconds, Every: "in a minute", GrowSize: true},
		},
		Budgets: storeBudgets(),
	}
}

func restartTable() Table {
	rate := restartsADay / hourSeconds
	owners := float64(regionDomains) / regionInstances
	return Table{
		Name: "store-restarts",
		From: []string{meanName},
		Lines: []Line{
			{What: "sessions made and ended", Kind: Written, Slope: 1, Size: 2, Of: "rows", Times: rate, Every: "restarts/s", GrowTimes: true},
			{What: "failure domains released and taken over", Kind: Written, Slope: 1, Size: 2 * owners, Of: "rows", Times: rate, Every: "restarts/s", GrowTimes: true},
			{What: "configuration read by the new instance", Kind: Read, Measure: "config.load.rows", Size: allWorkspaces, Of: "workspaces", Times: rate, Every: "restarts/s", GrowSize: true, GrowTimes: true},
			{What: "failure domains loaded", Kind: Read, Measure: "domain.load.rows", Size: ownedWorkers, Of: "workers with 10 tasks", Times: rate * owners, Every: "takeovers/s", GrowSize: true, GrowTimes: true},
		},
		Budgets: storeBudgets(),
	}
}

func crestTable() Table {
	rate := (crestFactor - 1) * regionClaims
	return Table{
		Name: "store-crest",
		From: []string{meanName},
		Lines: []Line{
			{What: "claims and outcomes beyond the mean", Kind: Written, Measure: "claim.rows.written", Marginal: true, Size: 1, Of: "request", Times: rate, Every: "requests/s", GrowTimes: true},
			{What: "commits of these, if all came at once", Kind: Commits, Measure: "claim.commits", Marginal: true, Size: 1, Of: "request", Times: rate, Every: "requests/s", GrowTimes: true, Extra: true},
		},
		Budgets: storeBudgets(),
	}
}

func backlogTable() Table {
	return Table{
		Name: "store-backlog",
		From: []string{meanName},
		Lines: []Line{
			{What: "jobs that wait beyond the mean", Kind: Read, Measure: "waiting.rows.read", Marginal: true, Size: backlogJobs - regionWaiting, Of: "waiting jobs", Times: inboxPolls, Every: "polls/s", GrowSize: true},
			{What: "callers beyond the mean: one watches each job", Kind: Read, Measure: "watch.rows.read", Marginal: true, Size: regionJobs - regionWatched + backlogJobs, Of: "callers", Times: 1, Every: "always", GrowSize: true},
		},
		Budgets: storeBudgets(),
	}
}

func sharedTable() Table {
	all := float64(regions * regionInstances)
	return Table{
		Name: "store-shared",
		Lines: []Line{
			{What: "sessions renewed", Kind: Written, Slope: 1, Size: 1, Of: "row", Times: all * beatsASecond, Every: "heartbeats/s", GrowTimes: true},
			{What: "sessions read by all", Kind: Read, Measure: "session.rows.read", Size: all, Of: "instances", Times: all * beatsASecond, Every: "heartbeats/s", GrowSize: true, GrowTimes: true},
			{What: "owner rows read by all", Kind: Read, Measure: "owner.rows.read", Size: allDomains, Of: "failure domains", Times: all * beatsASecond, Every: "polls/s", GrowSize: true, GrowTimes: true},
		},
		Budgets: storeBudgets(),
	}
}
