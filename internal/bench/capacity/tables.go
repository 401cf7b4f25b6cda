package capacity

// Tables returns the tables of the page. A table comes after the tables whose
// totals it includes.
func Tables() []Table {
	return []Table{
		nodeTable(), entryTable(), claimTable(), ownerTable(), renewalTable(), ticketTable(),
		peerTable(), sessionTable(), platformTable(), instanceTable(),
		meanTable(), outageTable(), domainLossTable(), restartTable(), peakTable(), backlogTable(), sharedTable(),
	}
}

func nodeTable() Table {
	renewalRate := 1 / renewIntervalSeconds
	return Table{
		Name: "node",
		Lines: []Line{
			{Description: "renewal, to the worker", Kind: WireBytes, Measure: "renew.in", Size: leasesPerWorker, SizeUnit: "leases of a worker", Times: renewalRate, TimesUnit: "renewals/s", DoubleSize: true},
			{Description: "renewal, from the worker", Kind: WireBytes, Measure: "renew.out", Size: leasesPerWorker, SizeUnit: "leases of a worker", Times: renewalRate, TimesUnit: "renewals/s", DoubleSize: true},
			{Description: "renewal, both ends", Kind: Processor, Measure: "renew.cpu", Size: leasesPerWorker, SizeUnit: "leases of a worker", Times: renewalRate, TimesUnit: "renewals/s", DoubleSize: true},
			{Description: "renewals", Kind: Calls, Slope: 1, Size: 1, SizeUnit: "call", Times: renewalRate, TimesUnit: "renewals/s"},
			{Description: "starts and ends of tasks", Kind: Calls, Measure: "task.calls", Marginal: true, Size: leasesPerWorker, SizeUnit: "tasks of a worker", Times: 1 / (jobHours * 3600.0), TimesUnit: "turnovers/s", DoubleSize: true},
			{Description: "the owner's state for a worker and its tasks", Kind: Memory, Measure: "domain.heap", Marginal: true, Size: 1, SizeUnit: "worker", Times: 1, TimesUnit: "once"},
		},
		Budgets: []Budget{
			{Kind: WireBytes, Bound: nodeTrafficBudget, Description: "11 KB/s a node"},
			{Kind: Processor, Bound: nodeCPUBudget, Description: "3.2% of a core a node"},
			{Kind: Memory, Bound: nodeMemoryBudget, Description: "64 MB a node"},
		},
	}
}

func entryTable() Table {
	rate := regionRequests / regionInstances
	return Table{
		Name: "entry",
		Lines: []Line{
			{Description: "requests held", Kind: Memory, Measure: "request.heap", Marginal: true, Size: queueLimit, SizeUnit: "requests, the queue's bound", Times: 1, TimesUnit: "once"},
			{Description: "workspaces and services", Kind: Memory, Measure: "workspace.heap", Size: allWorkspaces, SizeUnit: "workspaces", Times: 1, TimesUnit: "once", DoubleSize: true},
			{Description: "backend servers", Kind: Memory, Measure: "server.heap", Marginal: true, Size: regionServers, SizeUnit: "backend servers", Times: 1, TimesUnit: "once", DoubleSize: true},
			{Description: "queue, dispatch and result", Kind: Processor, Measure: "dispatch.workspaces.cpu", Size: allWorkspaces, SizeUnit: "workspaces with a backlog", Times: rate, TimesUnit: "requests/s", DoubleSize: true, DoubleTimes: true},
			{Description: "call to the backend server", Kind: Processor, Measure: "execute.cpu", Size: 1, SizeUnit: "KiB", Times: rate, TimesUnit: "requests/s", DoubleTimes: true},
			{Description: "call from the caller, taken as one more", Kind: Processor, Measure: "execute.cpu", Size: 1, SizeUnit: "KiB", Times: rate, TimesUnit: "requests/s", DoubleTimes: true},
			{Description: "servers and configuration taken in", Kind: Processor, Measure: "intake.cpu", Size: allWorkspaces, SizeUnit: "workspaces", Times: 1 + ticketsPerDay/daySeconds, TimesUnit: "intakes/s", DoubleSize: true},
			{Description: "calls to backend servers and from callers", Kind: Calls, Slope: 1, Size: 2, SizeUnit: "calls of a request", Times: rate, TimesUnit: "requests/s", DoubleTimes: true},
			{Description: "calls to backend servers and from callers", Kind: WireBytes, Measure: "execute.bytes", Size: 1, SizeUnit: "KiB", Times: 2 * rate, TimesUnit: "calls/s", DoubleTimes: true},
		},
	}
}

func claimTable() Table {
	rate := regionClaims / regionInstances
	return Table{
		Name: "claims",
		Lines: []Line{
			{Description: "claim and outcome", Kind: Processor, Measure: "claim.cpu", Marginal: true, Size: 1, SizeUnit: "request", Times: rate, TimesUnit: "requests/s of an instance", DoubleTimes: true},
			{Description: "rows of the region", Kind: RowsWritten, Measure: "claim.rows.written", Marginal: true, Size: 1, SizeUnit: "request", Times: regionClaims, TimesUnit: "requests/s of the region", DoubleTimes: true},
			{Description: "commits of the region, if all came at once", Kind: Commits, Measure: "claim.commits", Marginal: true, Size: 1, SizeUnit: "request", Times: regionClaims, TimesUnit: "requests/s of the region", DoubleTimes: true},
			{Description: "rows kept in the table after a day", Kind: Size, Measure: "claim.bytes", Marginal: true, Size: 1, SizeUnit: "request", Times: regionClaims * daySeconds, TimesUnit: "requests a day of the region", DoubleTimes: true},
		},
	}
}

func ownerTable() Table {
	return Table{
		Name: "owner",
		Lines: []Line{
			{Description: "runner with its jobs, tasks and leases", Kind: Memory, Measure: "domain.heap", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1, TimesUnit: "once", DoubleSize: true},
			{Description: "runner while a gang waits", Kind: Processor, Measure: "domain.wait.cpu", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1, TimesUnit: "always", DoubleSize: true},
			{Description: "jobs from submission to end", Kind: Processor, Measure: "job.cpu", Marginal: true, Size: 1, SizeUnit: "job", Times: jobsPerDay / daySeconds / allDomains, TimesUnit: "jobs/s of the domain", DoubleTimes: true},
			{Description: "gangs of 25 from start to end: calls to workers", Kind: Calls, Measure: "task.calls", Marginal: true, Size: gangMembers, SizeUnit: "tasks", Times: jobsPerDay / daySeconds / allDomains, TimesUnit: "jobs/s of the domain", DoubleTimes: true},
			{Description: "polls of the inbox while jobs wait", Kind: Processor, Measure: "waiting.cpu", Marginal: true, Size: regionWaitingJobs, SizeUnit: "waiting jobs", Times: inboxPollsPerSecond, TimesUnit: "polls/s", DoubleSize: true},
			{Description: "runner while nothing waits", Kind: Processor, Measure: "domain.idle.cpu", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1, TimesUnit: "always", DoubleSize: true, Extra: true},
			{Description: "decision, 125 gangs of a lost failure domain wait", Kind: ProcessorOnce, Measure: "decide.queue.cpu", Size: jobsPerDomain, SizeUnit: "waiting gangs", Times: 1, TimesUnit: "decision", DoubleSize: true, Extra: true},
			{Description: "decision, all is lent and all guarantees are asked for", Kind: ProcessorOnce, Measure: "decide.reclaim.cpu", Size: workersPerDomain, SizeUnit: "workers", Times: 1, TimesUnit: "decision", DoubleSize: true, Extra: true},
			{Description: "decisions while a guarantee has no place", Kind: Processor, Measure: "decide.unheld.cpu", Size: workersPerDomain, SizeUnit: "workers", Times: decisionsPerSecond, TimesUnit: "decisions/s", DoubleSize: true, Extra: true},
			{Description: "takeover: load and first renewal", Kind: ProcessorOnce, Measure: "domain.load.cpu", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1, TimesUnit: "takeover", DoubleSize: true, Extra: true},
			{Description: "takeover: rows read", Kind: RowsRead, Measure: "domain.load.rows", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1, TimesUnit: "takeover", DoubleSize: true, Extra: true},
			{Description: "takeover: calls to workers", Kind: Calls, Measure: "domain.load.calls", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1, TimesUnit: "takeover", DoubleSize: true, Extra: true},
			{Description: "takeover: calls to workers at once", Kind: Calls, Measure: "domain.load.peak", Size: workersPerDomain, SizeUnit: "workers with 10 tasks", Times: 1, TimesUnit: "takeover", DoubleSize: true, Extra: true},
			{Description: "row of the largest gang", Kind: Size, Measure: "task.row.bytes", Size: maxGangMembers, SizeUnit: "tasks", Times: 1, TimesUnit: "write", Extra: true},
			{Description: "calls of the largest gang, start to end", Kind: Calls, Measure: "task.calls", Size: maxGangMembers, SizeUnit: "tasks", Times: 1, TimesUnit: "gang", Extra: true},
		},
	}
}

func renewalTable() Table {
	rate := workersPerDomain / renewIntervalSeconds
	return Table{
		Name: "renewal",
		Lines: []Line{
			{Description: "renewals, both ends", Kind: Processor, Measure: "renew.cpu", Size: leasesPerWorker, SizeUnit: "leases of a worker", Times: rate, TimesUnit: "renewals/s", DoubleTimes: true},
			{Description: "renewals, sent", Kind: WireBytes, Measure: "renew.in", Size: leasesPerWorker, SizeUnit: "leases of a worker", Times: rate, TimesUnit: "renewals/s", DoubleTimes: true},
			{Description: "renewals, received", Kind: WireBytes, Measure: "renew.out", Size: leasesPerWorker, SizeUnit: "leases of a worker", Times: rate, TimesUnit: "renewals/s", DoubleTimes: true},
			{Description: "renewals", Kind: Calls, Slope: 1, Size: 1, SizeUnit: "call", Times: rate, TimesUnit: "renewals/s", DoubleTimes: true},
		},
	}
}

func ticketTable() Table {
	rate := ticketsPerDay / daySeconds
	return Table{
		Name: "tickets",
		Lines: []Line{
			{Description: "configuration", Kind: Memory, Measure: "workspace.heap", Marginal: true, Size: allWorkspaces, SizeUnit: "workspaces", Times: 1, TimesUnit: "once", DoubleSize: true, Extra: true},
			{Description: "comes into force", Kind: Processor, Measure: "ticket.apply.cpu", Size: allWorkspaces, SizeUnit: "workspaces", Times: rate, TimesUnit: "tickets/s", DoubleSize: true, DoubleTimes: true},
			{Description: "read and checked, with one workspace", Kind: Processor, Measure: "ticket.parse.cpu", Size: 1, SizeUnit: "workspace stated", Times: rate, TimesUnit: "tickets/s", DoubleTimes: true},
			{Description: "notices to peers", Kind: Calls, Slope: 1, Size: regionInstances - 1, SizeUnit: "peers", Times: rate / regionInstances, TimesUnit: "tickets/s of an instance", DoubleSize: true, DoubleTimes: true},
			{Description: "acceptance: do the shapes fit, per failure domain touched", Kind: ProcessorOnce, Measure: "ticket.holds.cpu", Size: domainGuarantees, SizeUnit: "guarantees", Times: 1, TimesUnit: "ticket", DoubleSize: true, Extra: true},
			{Description: "ticket with one workspace", Kind: Size, Measure: "ticket.bytes", Size: 1, SizeUnit: "workspace stated", Times: 1, TimesUnit: "ticket", Extra: true},
			{Description: "whole configuration to a peer", Kind: Size, Measure: "config.bytes", Size: allWorkspaces, SizeUnit: "workspaces", Times: 1, TimesUnit: "request", DoubleSize: true, Extra: true},
			{Description: "an instance starts: rows read", Kind: RowsRead, Measure: "config.load.rows", Size: allWorkspaces, SizeUnit: "workspaces", Times: 1, TimesUnit: "start", DoubleSize: true, Extra: true},
		},
	}
}

func peerTable() Table {
	peers := regionInstances - 1.0
	return Table{
		Name: "peers",
		Lines: []Line{
			{Description: "heartbeats, sent and received", Kind: Processor, Measure: "peer.cpu", Size: peers, SizeUnit: "peers", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleSize: true},
			{Description: "heartbeats, sent", Kind: WireBytes, Measure: "peer.bytes", Size: peers, SizeUnit: "peers", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleSize: true},
			{Description: "heartbeats, received", Kind: WireBytes, Measure: "peer.bytes", Size: peers, SizeUnit: "peers", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleSize: true},
			{Description: "heartbeats, sent", Kind: Calls, Measure: "peer.messages", Size: peers, SizeUnit: "peers", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleSize: true},
		},
	}
}

func sessionTable() Table {
	return Table{
		Name: "sessions",
		Lines: []Line{
			{Description: "session renewed", Kind: Processor, Measure: "commit.cpu", Size: 1, SizeUnit: "row", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s"},
			{Description: "sessions read", Kind: Processor, Measure: "get.cpu", Size: regionInstances, SizeUnit: "rows", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleSize: true},
			{Description: "owner rows read", Kind: Processor, Measure: "get.cpu", Size: regionDomains, SizeUnit: "rows", Times: heartbeatsPerSecond, TimesUnit: "polls/s", DoubleSize: true},
			{Description: "session renewed", Kind: Commits, Slope: 1, Size: 1, SizeUnit: "commit", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s"},
			{Description: "sessions and owner rows read", Kind: Reads, Slope: 1, Size: 2, SizeUnit: "reads", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s"},
			{Description: "session renewed", Kind: WireBytes, Measure: "commit.bytes", Size: 1, SizeUnit: "row", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s"},
			{Description: "sessions read", Kind: WireBytes, Measure: "get.bytes", Size: regionInstances, SizeUnit: "rows", Times: heartbeatsPerSecond, TimesUnit: "heartbeats/s", DoubleSize: true},
			{Description: "owner rows read", Kind: WireBytes, Measure: "get.bytes", Size: regionDomains, SizeUnit: "rows", Times: heartbeatsPerSecond, TimesUnit: "polls/s", DoubleSize: true},
		},
	}
}

func platformTable() Table {
	listed := float64(regionServers + regionInstances)
	return Table{
		Name: "platform",
		Lines: []Line{
			{Description: "inventory", Kind: Memory, Measure: "worker.heap", Size: regionWorkers, SizeUnit: "workers of the region", Times: 1, TimesUnit: "once", DoubleSize: true},
			{Description: "inventory read, both ends", Kind: Processor, Measure: "inventory.cpu", Size: regionWorkers, SizeUnit: "workers of the region", Times: 1 / inventoryIntervalSeconds, TimesUnit: "reads/s", DoubleSize: true},
			{Description: "inventory read", Kind: WireBytes, Measure: "inventory.bytes", Size: regionWorkers, SizeUnit: "workers of the region", Times: 1 / inventoryIntervalSeconds, TimesUnit: "reads/s", DoubleSize: true},
			{Description: "instance list read, both ends", Kind: Processor, Measure: "instances.cpu", Size: listed, SizeUnit: "listed instances", Times: 1, TimesUnit: "reads/s", DoubleSize: true},
			{Description: "instance list read", Kind: WireBytes, Measure: "instances.bytes", Size: listed, SizeUnit: "listed instances", Times: 1, TimesUnit: "reads/s", DoubleSize: true},
			{Description: "configuration's version read", Kind: Processor, Measure: "get.cpu", Size: 1, SizeUnit: "row", Times: 1, TimesUnit: "reads/s"},
			{Description: "configuration's version read", Kind: WireBytes, Measure: "get.bytes", Size: 1, SizeUnit: "row", Times: 1, TimesUnit: "reads/s"},
			{Description: "version read", Kind: Reads, Slope: 1, Size: 1, SizeUnit: "read", Times: 1, TimesUnit: "reads/s"},
			{Description: "inbox read by an owner", Kind: Reads, Slope: 1, Size: readsPerPoll, SizeUnit: "reads", Times: inboxPollsPerSecond, TimesUnit: "polls/s"},
			{Description: "inventory and instance list", Kind: Calls, Slope: 1, Size: 1, SizeUnit: "call", Times: 1 + 1/inventoryIntervalSeconds, TimesUnit: "lists/s"},
			{Description: "inbox read by an owner", Kind: Processor, Measure: "get.cpu", Size: 0, SizeUnit: "rows", Times: heartbeatsPerSecond, TimesUnit: "polls/s"},
			{Description: "inbox read by an owner", Kind: WireBytes, Measure: "get.bytes", Size: 0, SizeUnit: "rows", Times: heartbeatsPerSecond, TimesUnit: "polls/s"},
		},
	}
}

func instanceTable() Table {
	return Table{
		Name:       "instance",
		TotalsFrom: []string{"owner", "renewal", "tickets", "peers", "sessions", "platform"},
		Budgets: []Budget{
			{Kind: Processor, Bound: nodeCPUBudget, Description: "3.2% of a core"},
			{Kind: Memory, Bound: nodeMemoryBudget, Description: "64 MB"},
			{Kind: WireBytes, Bound: nodeTrafficBudget, Description: "11 KB/s"},
		},
	}
}
