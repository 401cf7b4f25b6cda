package capacity

// Tables returns the arithmetic of the page.
func Tables() []Table {
	return []Table{
		nodeTable(), entryTable(), claimTable(), ownerTable(), renewalTable(), ticketTable(),
		peerTable(), sessionTable(), platformTable(), instanceTable(),
		meanTable(), outageTable(), lostTable(), restartTable(), crestTable(), backlogTable(), sharedTable(),
	}
}

func nodeTable() Table {
	each := 1 / renewSeconds
	return Table{
		Name: "node",
		Lines: []Line{
			{What: "renewal, to the worker", Kind: Wire, Measure: "renew.in", Size: workerLeases, Of: "leases of a worker", Times: each, Every: "renewals/s", GrowSize: true},
			{What: "renewal, from the worker", Kind: Wire, Measure: "renew.out", Size: workerLeases, Of: "leases of a worker", Times: each, Every: "renewals/s", GrowSize: true},
			{What: "renewal, both ends", Kind: Processor, Measure: "renew.cpu", Size: workerLeases, Of: "leases of a worker", Times: each, Every: "renewals/s", GrowSize: true},
			{What: "renewals", Kind: Calls, Slope: 1, Size: 1, Of: "call", Times: each, Every: "renewals/s"},
			{What: "starts and ends of tasks", Kind: Calls, Measure: "task.calls", Marginal: true, Size: workerLeases, Of: "tasks of a worker", Times: 1 / (jobHours * 3600.0), Every: "turnovers/s", GrowSize: true},
			{What: "the owner's state for a worker and its tasks", Kind: Memory, Measure: "domain.heap", Marginal: true, Size: 1, Of: "worker", Times: 1, Every: "once"},
		},
		Budgets: []Budget{
			{Kind: Wire, Bound: nodeBytes, Of: "11 KB/s a node"},
			{Kind: Processor, Bound: nodeCore, Of: "3.2% of a core a node"},
			{Kind: Memory, Bound: nodeMemory, Of: "64 MB a node"},
		},
	}
}

func entryTable() Table {
	rate := regionRequests / regionInstances
	return Table{
		Name: "entry",
		Lines: []Line{
			{What: "requests held", Kind: Memory, Measure: "request.heap", Marginal: true, Size: queueLimit, Of: "requests, the queue's bound", Times: 1, Every: "once"},
			{What: "workspaces and services", Kind: Memory, Measure: "workspace.heap", Size: allWorkspaces, Of: "workspaces", Times: 1, Every: "once", GrowSize: true},
			{What: "backend servers", Kind: Memory, Measure: "server.heap", Marginal: true, Size: regionServers, Of: "backend servers", Times: 1, Every: "once", GrowSize: true},
			{What: "queue, dispatch and result", Kind: Processor, Measure: "dispatch.workspaces.cpu", Size: allWorkspaces, Of: "workspaces with a backlog", Times: rate, Every: "requests/s", GrowSize: true, GrowTimes: true},
			{What: "call to the backend server", Kind: Processor, Measure: "execute.cpu", Size: 1, Of: "KiB", Times: rate, Every: "requests/s", GrowTimes: true},
			{What: "call from the caller, taken as one more", Kind: Processor, Measure: "execute.cpu", Size: 1, Of: "KiB", Times: rate, Every: "requests/s", GrowTimes: true},
			{What: "servers and configuration taken in", Kind: Processor, Measure: "intake.cpu", Size: allWorkspaces, Of: "workspaces", Times: 1 + ticketsADay/day, Every: "intakes/s", GrowSize: true},
			{What: "calls to backend servers and from callers", Kind: Calls, Slope: 1, Size: 2, Of: "calls of a request", Times: rate, Every: "requests/s", GrowTimes: true},
			{What: "calls to backend servers and from callers", Kind: Wire, Measure: "execute.bytes", Size: 1, Of: "KiB", Times: 2 * rate, Every: "calls/s", GrowTimes: true},
		},
	}
}

func claimTable() Table {
	rate := regionClaims / regionInstances
	return Table{
		Name: "claims",
		Lines: []Line{
			{What: "claim and outcome", Kind: Processor, Measure: "claim.cpu", Marginal: true, Size: 1, Of: "request", Times: rate, Every: "requests/s of an instance", GrowTimes: true},
			{What: "rows of the region", Kind: Written, Measure: "claim.rows.written", Marginal: true, Size: 1, Of: "request", Times: regionClaims, Every: "requests/s of the region", GrowTimes: true},
			{What: "commits of the region, if all came at once", Kind: Commits, Measure: "claim.commits", Marginal: true, Size: 1, Of: "request", Times: regionClaims, Every: "requests/s of the region", GrowTimes: true},
			{What: "rows kept in the table after a day", Kind: Size, Measure: "claim.bytes", Marginal: true, Size: 1, Of: "request", Times: regionClaims * day, Every: "requests a day of the region", GrowTimes: true},
		},
	}
}

func ownerTable() Table {
	return Table{
		Name: "owner",
		Lines: []Line{
			{What: "runner with its jobs, tasks and leases", Kind: Memory, Measure: "domain.heap", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1, Every: "once", GrowSize: true},
			{What: "runner while a gang waits", Kind: Processor, Measure: "domain.wait.cpu", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1, Every: "always", GrowSize: true},
			{What: "jobs from submission to end", Kind: Processor, Measure: "job.cpu", Marginal: true, Size: 1, Of: "job", Times: jobsADay / day / allDomains, Every: "jobs/s of the domain", GrowTimes: true},
			{What: "gangs of 25 from start to end: calls to workers", Kind: Calls, Measure: "task.calls", Marginal: true, Size: gangMembers, Of: "tasks", Times: jobsADay / day / allDomains, Every: "jobs/s of the domain", GrowTimes: true},
			{What: "polls of the inbox while jobs wait", Kind: Processor, Measure: "waiting.cpu", Marginal: true, Size: regionWaiting, Of: "waiting jobs", Times: inboxPolls, Every: "polls/s", GrowSize: true},
			{What: "runner while nothing waits", Kind: Processor, Measure: "domain.idle.cpu", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1, Every: "always", GrowSize: true, Extra: true},
			{What: "decision, 125 gangs of a lost failure domain wait", Kind: Once, Measure: "decide.queue.cpu", Size: ownedJobs, Of: "waiting gangs", Times: 1, Every: "decision", GrowSize: true, Extra: true},
			{What: "decision, all is lent and all guarantees are asked for", Kind: Once, Measure: "decide.reclaim.cpu", Size: ownedWorkers, Of: "workers", Times: 1, Every: "decision", GrowSize: true, Extra: true},
			{What: "decisions while a guarantee has no place", Kind: Processor, Measure: "decide.unheld.cpu", Size: ownedWorkers, Of: "workers", Times: steadyDecisions, Every: "decisions/s", GrowSize: true, Extra: true},
			{What: "takeover: load and first renewal", Kind: Once, Measure: "domain.load.cpu", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1, Every: "takeover", GrowSize: true, Extra: true},
			{What: "takeover: rows read", Kind: Read, Measure: "domain.load.rows", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1, Every: "takeover", GrowSize: true, Extra: true},
			{What: "takeover: calls to workers", Kind: Calls, Measure: "domain.load.calls", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1, Every: "takeover", GrowSize: true, Extra: true},
			{What: "takeover: calls to workers at once", Kind: Calls, Measure: "domain.load.peak", Size: ownedWorkers, Of: "workers with 10 tasks", Times: 1, Every: "takeover", GrowSize: true, Extra: true},
			{What: "row of the largest gang", Kind: Size, Measure: "task.row.bytes", Size: maxGang, Of: "tasks", Times: 1, Every: "write", Extra: true},
			{What: "calls of the largest gang, start to end", Kind: Calls, Measure: "task.calls", Size: maxGang, Of: "tasks", Times: 1, Every: "gang", Extra: true},
		},
	}
}

func renewalTable() Table {
	rate := ownedWorkers / renewSeconds
	return Table{
		Name: "renewal",
		Lines: []Line{
			{What: "renewals, both ends", Kind: Processor, Measure: "renew.cpu", Size: workerLeases, Of: "leases of a worker", Times: rate, Every: "renewals/s", GrowTimes: true},
			{What: "renewals, sent", Kind: Wire, Measure: "renew.in", Size: workerLeases, Of: "leases of a worker", Times: rate, Every: "renewals/s", GrowTimes: true},
			{What: "renewals, received", Kind: Wire, Measure: "renew.out", Size: workerLeases, Of: "leases of a worker", Times: rate, Every: "renewals/s", GrowTimes: true},
			{What: "renewals", Kind: Calls, Slope: 1, Size: 1, Of: "call", Times: rate, Every: "renewals/s", GrowTimes: true},
		},
	}
}

func ticketTable() Table {
	rate := ticketsADay / day
	return Table{
		Name: "tickets",
		Lines: []Line{
			{What: "configuration", Kind: Memory, Measure: "workspace.heap", Marginal: true, Size: allWorkspaces, Of: "workspaces", Times: 1, Every: "once", GrowSize: true, Extra: true},
			{What: "comes into force", Kind: Processor, Measure: "ticket.apply.cpu", Size: allWorkspaces, Of: "workspaces", Times: rate, Every: "tickets/s", GrowSize: true, GrowTimes: true},
			{What: "read and checked, with one workspace", Kind: Processor, Measure: "ticket.parse.cpu", Size: 1, Of: "workspace stated", Times: rate, Every: "tickets/s", GrowTimes: true},
			{What: "notices to peers", Kind: Calls, Slope: 1, Size: regionInstances - 1, Of: "peers", Times: rate / regionInstances, Every: "tickets/s of an instance", GrowSize: true, GrowTimes: true},
			{What: "acceptance: do the shapes fit, per failure domain touched", Kind: Once, Measure: "ticket.holds.cpu", Size: domainGuarantees, Of: "guarantees", Times: 1, Every: "ticket", GrowSize: true, Extra: true},
			{What: "ticket with one workspace", Kind: Size, Measure: "ticket.bytes", Size: 1, Of: "workspace stated", Times: 1, Every: "ticket", Extra: true},
			{What: "whole configuration to a peer", Kind: Size, Measure: "config.bytes", Size: allWorkspaces, Of: "workspaces", Times: 1, Every: "request", GrowSize: true, Extra: true},
			{What: "an instance starts: rows read", Kind: Read, Measure: "config.load.rows", Size: allWorkspaces, Of: "workspaces", Times: 1, Every: "start", GrowSize: true, Extra: true},
		},
	}
}

func peerTable() Table {
	peers := regionInstances - 1.0
	return Table{
		Name: "peers",
		Lines: []Line{
			{What: "heartbeats, sent and received", Kind: Processor, Measure: "peer.cpu", Size: peers, Of: "peers", Times: beatsASecond, Every: "heartbeats/s", GrowSize: true},
			{What: "heartbeats, sent", Kind: Wire, Measure: "peer.bytes", Size: peers, Of: "peers", Times: beatsASecond, Every: "heartbeats/s", GrowSize: true},
			{What: "heartbeats, received", Kind: Wire, Measure: "peer.bytes", Size: peers, Of: "peers", Times: beatsASecond, Every: "heartbeats/s", GrowSize: true},
			{What: "heartbeats, sent", Kind: Calls, Measure: "peer.messages", Size: peers, Of: "peers", Times: beatsASecond, Every: "heartbeats/s", GrowSize: true},
		},
	}
}

func sessionTable() Table {
	return Table{
		Name: "sessions",
		Lines: []Line{
			{What: "session renewed", Kind: Processor, Measure: "commit.cpu", Size: 1, Of: "row", Times: beatsASecond, Every: "heartbeats/s"},
			{What: "sessions read", Kind: Processor, Measure: "get.cpu", Size: regionInstances, Of: "rows", Times: beatsASecond, Every: "heartbeats/s", GrowSize: true},
			{What: "owner rows read", Kind: Processor, Measure: "get.cpu", Size: regionDomains, Of: "rows", Times: beatsASecond, Every: "polls/s", GrowSize: true},
			{What: "session renewed", Kind: Commits, Slope: 1, Size: 1, Of: "commit", Times: beatsASecond, Every: "heartbeats/s"},
			{What: "sessions and owner rows read", Kind: Reads, Slope: 1, Size: 2, Of: "reads", Times: beatsASecond, Every: "heartbeats/s"},
			{What: "session renewed", Kind: Wire, Measure: "commit.bytes", Size: 1, Of: "row", Times: beatsASecond, Every: "heartbeats/s"},
			{What: "sessions read", Kind: Wire, Measure: "get.bytes", Size: regionInstances, Of: "rows", Times: beatsASecond, Every: "heartbeats/s", GrowSize: true},
			{What: "owner rows read", Kind: Wire, Measure: "get.bytes", Size: regionDomains, Of: "rows", Times: beatsASecond, Every: "polls/s", GrowSize: true},
		},
	}
}

func platformTable() Table {
	listed := float64(regionServers + regionInstances)
	return Table{
		Name: "platform",
		Lines: []Line{
			{What: "inventory", Kind: Memory, Measure: "worker.heap", Size: regionWorkers, Of: "workers of the region", Times: 1, Every: "once", GrowSize: true},
			{What: "inventory read, both ends", Kind: Processor, Measure: "inventory.cpu", Size: regionWorkers, Of: "workers of the region", Times: 1 / inventorySeconds, Every: "reads/s", GrowSize: true},
			{What: "inventory read", Kind: Wire, Measure: "inventory.bytes", Size: regionWorkers, Of: "workers of the region", Times: 1 / inventorySeconds, Every: "reads/s", GrowSize: true},
			{What: "instance list read, both ends", Kind: Processor, Measure: "instances.cpu", Size: listed, Of: "listed instances", Times: 1, Every: "reads/s", GrowSize: true},
			{What: "instance list read", Kind: Wire, Measure: "instances.bytes", Size: listed, Of: "listed instances", Times: 1, Every: "reads/s", GrowSize: true},
			{What: "configuration's version read", Kind: Processor, Measure: "get.cpu", Size: 1, Of: "row", Times: 1, Every: "reads/s"},
			{What: "configuration's version read", Kind: Wire, Measure: "get.bytes", Size: 1, Of: "row", Times: 1, Every: "reads/s"},
			{What: "version read", Kind: Reads, Slope: 1, Size: 1, Of: "read", Times: 1, Every: "reads/s"},
			{What: "inbox read by an owner", Kind: Reads, Slope: 1, Size: readsPerPoll, Of: "reads", Times: inboxPolls, Every: "polls/s"},
			{What: "inventory and instance list", Kind: Calls, Slope: 1, Size: 1, Of: "call", Times: 1 + 1/inventorySeconds, Every: "lists/s"},
			{What: "inbox read by an owner", Kind: Processor, Measure: "get.cpu", Size: 0, Of: "rows", Times: beatsASecond, Every: "polls/s"},
			{What: "inbox read by an owner", Kind: Wire, Measure: "get.bytes", Size: 0, Of: "rows", Times: beatsASecond, Every: "polls/s"},
		},
	}
}

func instanceTable() Table {
	return Table{
		Name: "instance",
		From: []string{"owner", "renewal", "tickets", "peers", "sessions", "platform"},
		Budgets: []Budget{
			{Kind: Processor, Bound: nodeCore, Of: "3.2% of a core"},
			{Kind: Memory, Bound: nodeMemory, Of: "64 MB"},
			{Kind: Wire, Bound: nodeBytes, Of: "11 KB/s"},
		},
	}
}
