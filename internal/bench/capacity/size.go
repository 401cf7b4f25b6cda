package capacity

// The size that is planned for, as the users state it.
const (
	regions       = 4
	allDomains    = 10
	allWorkers    = 3200
	allTasks      = 31_000
	allWorkspaces = 230
	jobsADay      = 2500
	ticketsADay   = 1700
	restartsADay  = 210
	maxGang       = 256
	day           = 86_400.0
)

// What follows from it for one region, one failure domain and one worker.
const (
	regionWorkers = allWorkers / regions
	regionDomains = 3
	ownedWorkers  = allWorkers / allDomains
	ownedTasks    = allTasks / allDomains
	workerLeases  = float64(allTasks) / allWorkers
)

// What the users do not state and the page assumes.
const (
	regionInstances = 8
	// jobHours is the mean run time of a job; with it follows the number of
	// running jobs from the jobs of a day.
	jobHours      = 12
	runningJobs   = jobsADay * jobHours / 24
	ownedJobs     = runningJobs / allDomains
	regionJobs    = float64(runningJobs) / regions
	regionServers = 200
	// regionRequests and regionClaims are requests a second of a region, the
	// latter those that may not be repeated.
	regionRequests = 1000.0
	regionClaims   = 100.0
	// crestFactor is how many times as many come at the crest.
	crestFactor = 10
	// regionWaiting and regionWatched are the jobs that wait and the callers
	// that watch a job.
	regionWaiting = 20
	regionWatched = regionJobs / 2
	// callMillis is the time of one call to the table.
	callMillis = 1.5
)

// What the settings' defaults and the daemon's constants make of it.
const (
	renewSeconds     = 3.0
	beatsASecond     = 2.0
	inventorySeconds = 10.0
	// steadyDecisions are made while jobs wait and nothing changes.
	steadyDecisions = 1.0
	// sweptRows are rows read and at most deleted by retention.
	sweptRows      = 60.0
	inboxPolls     = 2.0
	queueLimit     = 2048
	settleCapacity = 4096
)

// The bounds that the users state.
const (
	// budgetWritten and budgetRead are rows a second of one region's table.
	budgetWritten = 300.0
	budgetRead    = 2000.0
	// nodeCore is a share of a core in ns/s, nodeBytes a rate in B/s and
	// nodeMemory a size in B.
	nodeCore   = 0.032e9
	nodeBytes  = 11_000.0
	nodeMemory = 64e6
)
