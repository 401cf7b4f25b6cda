package capacity

// Planned size of the deployment, as stated by the users.
const (
	regions        = 4
	allDomains     = 10
	allWorkers     = 3200
	allTasks       = 31_000
	allWorkspaces  = 230
	jobsPerDay     = 2500
	ticketsPerDay  = 1700
	restartsPerDay = 210
	maxGangMembers = 256
	daySeconds     = 86_400.0
)

// Planned size of one region, one failure domain and one worker.
const (
	regionWorkers    = allWorkers / regions
	regionDomains    = 3
	workersPerDomain = allWorkers / allDomains
	tasksPerDomain   = allTasks / allDomains
	leasesPerWorker  = float64(allTasks) / allWorkers
)

// Assumptions of the page, not stated by the users.
const (
	regionInstances = 8
	// jobHours is the mean run time of a job. It gives the number of running
	// jobs from the jobs per day.
	jobHours      = 12
	runningJobs   = jobsPerDay * jobHours / 24
	jobsPerDomain = runningJobs / allDomains
	regionJobs    = float64(runningJobs) / regions
	regionServers = 200
	// regionRequests is the request rate of a region per second, regionClaims
	// that of non-repeatable requests.
	regionRequests = 1000.0
	regionClaims   = 100.0
	// peakFactor is the ratio of the peak to the mean request rate.
	peakFactor = 10
	// regionWaitingJobs is the number of waiting jobs, regionWatchers the number
	// of callers that watch a job.
	regionWaitingJobs = 20
	regionWatchers    = regionJobs / 2
	// callMillis is the duration of one call to the table in milliseconds.
	callMillis = 1.5
)

// Rates and bounds from the settings' defaults and the daemon's constants.
const (
	renewIntervalSeconds     = 3.0
	heartbeatsPerSecond      = 2.0
	inventoryIntervalSeconds = 10.0
	// decisionsPerSecond is the rate of placement decisions while jobs wait and
	// nothing changes.
	decisionsPerSecond = 1.0
	// retentionRows is the number of rows per second that retention reads and,
	// at most, deletes.
	retentionRows       = 60.0
	inboxPollsPerSecond = 2.0
	// queueLimit is the number of requests that an instance holds, unresolvedCapacity
	// the number of outcomes that it keeps in memory until they are recorded. The
	// latter is below the bound of the claims duty, which is 16384.
	queueLimit         = 2048
	unresolvedCapacity = 4096
)

// Budgets stated by the users.
const (
	// rowsWrittenBudget and rowsReadBudget are in rows per second of one region's
	// table.
	rowsWrittenBudget = 300.0
	rowsReadBudget    = 2000.0
	// nodeCPUBudget is in ns/s, nodeTrafficBudget in B/s and nodeMemoryBudget in
	// bytes.
	nodeCPUBudget     = 0.032e9
	nodeTrafficBudget = 11_000.0
	nodeMemoryBudget  = 64e6
)
