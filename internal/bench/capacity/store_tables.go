package capacity

// The tables in this file state the load of a region on the store, mostly per
// second. Those of peaks and failures include the totals of the mean. sharedTable
// states the load on a store that all regions share.

const (
	meanTableName = "store-mean"
	// recoverySeconds is the time in which the gangs of a lost failure domain
	// restart.
	recoverySeconds = 60.0
	hourSeconds     = 3600.0
	// backlogJobs is the size of a region's sustained backlog.
	backlogJobs = 500
	// startRows is the number of rows written to start a queued gang.
	startRows = 3
)

func storeBudgets() []Budget {
	return []Budget{
		{Kind: RowsWritten, Bound: rowsWrittenBudget, Description: "several hundred rows written a second"},
		{Kind: RowsRead, Bound: rowsReadBudget, Description: "about two thousand rows read a second"},
	}
}

func meanTable() Table {
	heartbeatRate := regionInstances * heartbeatsPerSecond
	return Table{
		Name: meanTableName,
		Lines: []Line{
			{Description: "sessions renewed", Kind: RowsWritten, Slope: 1, Size: 1, SizeUnit: "row", Times: heartbeatRate, TimesUnit: "heartbeats/s", DoubleTimes: true},
			{Description: "jobs from submission to end", Kind: RowsWritten, Measure: "job.rows.written", Marginal: true, Size: 1, SizeUnit: "job", Times: jobsPerDay / daySeconds / regions, TimesUnit: "jobs/s", DoubleTimes: true},
			{Description: "tickets with one workspace", Kind: RowsWritten, Measure: "ticket.rows.written", Size: 1, SizeUnit: "workspace stated", Times: ticketsPerDay / daySeconds, TimesUnit: "tickets/s", DoubleTimes: true},
			{Description: "claims and outcomes", Kind: RowsWritten, Measure: "claim.rows.written", Marginal: true, Size: 1, SizeUnit: "request", Times: regionClaims, TimesUnit: "requests/s", DoubleTimes: true},
			{Description: "old rows deleted", Kind: RowsWritten, Slope: 1, Size: 1, SizeUnit: "row", Times: retentionRows, TimesUnit: "rows/s"},
			{Description: "rows looked at by retention", Kind: RowsRead, Slope: 1, Size: 1, SizeUnit: "row", Times: retentionRows, TimesUnit: "rows/s"},
			{Description: "sessions read by all", Kind: RowsRead, Measure: "session.rows.read", Size: regionInstances, SizeUnit: "instances", Times: heartbeatRate, TimesUnit: "heartbeats/s", DoubleSize: true, DoubleTimes: true},
			{Description: "owner rows read by all", Kind: RowsRead, Measure: "owner.rows.read", Size: regionDomains, SizeUnit: "failure domains", Times: heartbeatRate, TimesUnit: "polls/s", DoubleSize: true, DoubleTimes: true},
			{Description: "configuration's version read by all", Kind: RowsRead, Slope: 1, Size: 1, SizeUnit: "row", Times: regionInstances, TimesUnit: "polls/s", DoubleTimes: true},
			{Description: "tickets read by all", Kind: RowsRead, Measure: "ticket.rows.read", Size: regionInstances, SizeUnit: "instances", Times: ticketsPerDay / daySeconds, TimesUnit: "tickets/s", DoubleSize: true, DoubleTimes: true},
			{Description: "jobs from submission to end", Kind: RowsRead, Measure: "job.rows.read", Marginal: true, Size: 1, SizeUnit: "job", Times: jobsPerDay / daySeconds / regions, TimesUnit: "jobs/s", DoubleTimes: true},
			{Description: "polls of the inboxes while jobs wait", Kind: RowsRead, Measure: "waiting.rows.read", Marginal: true, Size: regionWaitingJobs, SizeUnit: "waiting jobs", Times: inboxPollsPerSecond, TimesUnit: "polls/s", DoubleSize: true},
			{Description: "callers that watch a job", Kind: RowsRead, Measure: "watch.rows.read", Marginal: true, Size: regionWatchers, SizeUnit: "callers", Times: 1, TimesUnit: "always", DoubleSize: true},
			{Description: "sessions renewed", Kind: Commits, Slope: 1, Size: 1, SizeUnit: "commit", Times: heartbeatRate, TimesUnit: "heartbeats/s", DoubleTimes: true},
			{Description: "jobs from submission to end", Kind: Commits, Measure: "job.commits", Marginal: true, Size: 1, SizeUnit: "job", Times: jobsPerDay / daySeconds / regions, TimesUnit: "jobs/s", DoubleTimes: true},
			{Description: "tickets", Kind: Commits, Slope: 1, Size: 1, SizeUnit: "commit", Times: ticketsPerDay / daySeconds, TimesUnit: "tickets/s", DoubleTimes: true},
			{Description: "claims and outcomes, none sharing a commit", Kind: Commits, Slope: 1, Size: 2, SizeUnit: "commits", Times: regionClaims, TimesUnit: "requests/s", DoubleTimes: true},
			{Description: "sessions and owner rows", Kind: Reads, Slope: 1, Size: 2, SizeUnit: "reads", Times: heartbeatRate, TimesUnit: "heartbeats/s", DoubleTimes: true},
			{Description: "configuration's version", Kind: Reads, Slope: 1, Size: 1, SizeUnit: "read", Times: regionInstances, TimesUnit: "polls/s", DoubleTimes: true},
			{Description: "tickets", Kind: Reads, Measure: "ticket.reads", Size: regionInstances, SizeUnit: "instances", Times: ticketsPerDay / daySeconds, TimesUnit: "tickets/s", DoubleSize: true, DoubleTimes: true},
			{Description: "inboxes", Kind: Reads, Slope: 1, Size: readsPerPoll, SizeUnit: "reads", Times: regionDomains * inboxPollsPerSecond, TimesUnit: "polls/s", DoubleTimes: true},
			{Description: "callers that watch a job, one row a read", Kind: Reads, Measure: "watch.rows.read", Marginal: true, Size: regionWatchers, SizeUnit: "callers", Times: 1, TimesUnit: "always", DoubleSize: true},
		},
		Budgets: storeBudgets(),
	}
}

func outageTable() Table {
	// Each instance resolves outcomes one by one, each with a read and a commit.
	rate := regionInstances * 1000 / (2 * callMillis)
	return Table{
		Name:       "store-outage",
		TotalsFrom: []string{meanTableName},
		Lines: []Line{
			{Description: "outcomes settled one by one", Kind: RowsWritten, Slope: 1, Size: 1, SizeUnit: "row", Times: rate, TimesUnit: "outcomes/s"},
			{Description: "outcomes settled one by one", Kind: RowsRead, Slope: 1, Size: 1, SizeUnit: "row", Times: rate, TimesUnit: "outcomes/s"},
			{Description: "tickets accepted in ten minutes, fetched within a second", Kind: RowsRead, Slope: 1, Size: 600 * ticketsPerDay / daySeconds, SizeUnit: "tickets", Times: regionInstances, TimesUnit: "instances/s", DoubleSize: true, DoubleTimes: true},
			{Description: "rows to write in all, with every ring full", Kind: Size, Slope: 1, Size: unresolvedCapacity, SizeUnit: "outcomes of an instance", Times: regionInstances, TimesUnit: "instances", DoubleTimes: true, Extra: true},
			{Description: "rows written for a request refused in the outage", Kind: Size, Measure: "settle.rows.written", Marginal: true, Size: 1, SizeUnit: "request", Times: 1, TimesUnit: "request", Extra: true},
			{Description: "rows read for a request refused in the outage", Kind: Size, Measure: "settle.rows.read", Marginal: true, Size: 1, SizeUnit: "request", Times: 1, TimesUnit: "request", Extra: true},
		},
		Budgets: storeBudgets(),
	}
}

func domainLossTable() Table {
	return Table{
		Name:       "store-lost",
		TotalsFrom: []string{meanTableName},
		Lines: []Line{
			{Description: "gangs stopped, back in the queue", Kind: RowsWritten, Measure: "lost.rows.written", Marginal: true, Size: jobsPerDomain, SizeUnit: "gangs", Times: 1 / recoverySeconds, TimesUnit: "in a minute", DoubleSize: true},
			{Description: "gangs moved to another failure domain", Kind: RowsWritten, Measure: "moved.rows.written", Marginal: true, Size: jobsPerDomain, SizeUnit: "gangs", Times: 1 / recoverySeconds, TimesUnit: "in a minute", DoubleSize: true},
			{Description: "gangs started there", Kind: RowsWritten, Slope: startRows, Size: jobsPerDomain, SizeUnit: "gangs", Times: 1 / recoverySeconds, TimesUnit: "in a minute", DoubleSize: true},
			{Description: "polls of the inbox while gangs wait there", Kind: RowsRead, Measure: "waiting.rows.read", Marginal: true, Size: jobsPerDomain, SizeUnit: "waiting gangs", Times: inboxPollsPerSecond, TimesUnit: "polls/s", DoubleSize: true},
			{Description: "takeover of a failure domain whose owner was lost too", Kind: RowsRead, Measure: "domain.load.rows", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1 / recoverySeconds, TimesUnit: "in a minute", DoubleSize: true},
		},
		Budgets: storeBudgets(),
	}
}

func restartTable() Table {
	// The table shows the worst hour, in which all restarts of a day occur.
	rate := restartsPerDay / hourSeconds
	owners := float64(regionDomains) / regionInstances
	return Table{
		Name:       "store-restarts",
		TotalsFrom: []string{meanTableName},
		Lines: []Line{
			{Description: "sessions made and ended", Kind: RowsWritten, Slope: 1, Size: 2, SizeUnit: "rows", Times: rate, TimesUnit: "restarts/s", DoubleTimes: true},
			{Description: "failure domains released and taken over", Kind: RowsWritten, Slope: 1, Size: 2 * owners, SizeUnit: "rows", Times: rate, TimesUnit: "restarts/s", DoubleTimes: true},
			{Description: "configuration read by the new instance", Kind: RowsRead, Measure: "config.load.rows", Size: allWorkspaces, SizeUnit: "workspaces", Times: rate, TimesUnit: "restarts/s", DoubleSize: true, DoubleTimes: true},
			{Description: "failure domains loaded", Kind: RowsRead, Measure: "domain.load.rows", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: rate * owners, TimesUnit: "takeovers/s", DoubleSize: true, DoubleTimes: true},
		},
		Budgets: storeBudgets(),
	}
}

func peakTable() Table {
	rate := (peakFactor - 1) * regionClaims
	return Table{
		Name:       "store-crest",
		TotalsFrom: []string{meanTableName},
		Lines: []Line{
			{Description: "claims and outcomes beyond the mean", Kind: RowsWritten, Measure: "claim.rows.written", Marginal: true, Size: 1, SizeUnit: "request", Times: rate, TimesUnit: "requests/s", DoubleTimes: true},
			{Description: "commits of these, if all came at once", Kind: Commits, Measure: "claim.commits", Marginal: true, Size: 1, SizeUnit: "request", Times: rate, TimesUnit: "requests/s", DoubleTimes: true, Extra: true},
		},
		Budgets: storeBudgets(),
	}
}

func backlogTable() Table {
	return Table{
		Name:       "store-backlog",
		TotalsFrom: []string{meanTableName},
		Lines: []Line{
			{Description: "jobs that wait beyond the mean", Kind: RowsRead, Measure: "waiting.rows.read", Marginal: true, Size: backlogJobs - regionWaitingJobs, SizeUnit: "waiting jobs", Times: inboxPollsPerSecond, TimesUnit: "polls/s", DoubleSize: true},
			{Description: "callers beyond the mean: one watches each job", Kind: RowsRead, Measure: "watch.rows.read", Marginal: true, Size: regionJobs - regionWatchers + backlogJobs, SizeUnit: "callers", Times: 1, TimesUnit: "always", DoubleSize: true},
		},
		Budgets: storeBudgets(),
	}
}

func sharedTable() Table {
	all := float64(regions * regionInstances)
	return Table{
		Name: "store-shared",
		Lines: []Line{
			{Description: "sessions renewed", Kind: RowsWritten, Slope: 1, Size: 1, SizeUnit: "row", Times: all * heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleTimes: true},
			{Description: "sessions read by all", Kind: RowsRead, Measure: "session.rows.read", Size: all, SizeUnit: "instances", Times: all * heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleSize: true, DoubleTimes: true},
			{Description: "owner rows read by all", Kind: RowsRead, Measure: "owner.rows.read", Size: allDomains, SizeUnit: "failure domains", Times: all * heartbeatsPerSecond, TimesUnit: "polls/s", DoubleSize: true, DoubleTimes: true},
		},
		Budgets: storeBudgets(),
	}
}
