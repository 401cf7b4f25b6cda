// Package settings reads and validates the daemon's settings. All problems of
// a document are reported together.
package settings

import "time"

// Milliseconds is a duration as written in the settings.
type Milliseconds int64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Daemon holds the settings of one instance.
type Daemon struct {
	// InstanceID is unique among all instances.
	InstanceID string `json:"instance_id"`
	// FailureDomain is the failure domain in which the instance runs. It must be
	// one of Ownership.Domains.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// ListenAddress is the IP:port that the instance binds.
	ListenAddress string `json:"listen_address"`
	// AdvertiseAddress is the IP:port at which peers reach the instance.
	AdvertiseAddress string      `json:"advertise_address"`
	Platform         Platform    `json:"platform"`
	Session          Session     `json:"session"`
	Ownership        Ownership   `json:"ownership"`
	WorkerLease      WorkerLease `json:"worker_lease"`
	Config           Config      `json:"config"`
	Peers            Peers       `json:"peers"`
	Requests         Requests    `json:"requests"`
	Jobs             Jobs        `json:"jobs"`
	Log              Log         `json:"log"`
	Drain            Drain       `json:"drain"`
	Limits           Limits      `json:"limits"`
}

// Platform holds the addresses (IP:port) of the platform's services.
type Platform struct {
	TableAddress     string `json:"table_address"`
	ObjectsAddress   string `json:"objects_address"`
	InstancesAddress string `json:"instances_address"`
	WorkersAddress   string `json:"workers_address"`
	// CallTimeoutMillis bounds one call to the platform, except for calls to the
	// object store and checkpoints.
	CallTimeoutMillis Milliseconds `json:"call_timeout_ms"`
}

// Session configures the session row, by which an instance proves that it is
// alive.
type Session struct {
	// HeartbeatMillis is the time between renewals of the session row.
	HeartbeatMillis Milliseconds `json:"heartbeat_ms"`
	// TTLMillis is the time after which a session that isn't renewed expires.
	TTLMillis Milliseconds `json:"ttl_ms"`
}

// Ownership configures how instances become owners of failure domains.
type Ownership struct {
	// Domains lists the failure domains of the region.
	Domains []string `json:"domains"`
	// PollMillis is the time between reads of the owner rows.
	PollMillis Milliseconds `json:"poll_ms"`
}

// WorkerLease configures the leases on workers.
type WorkerLease struct {
	// TTLMillis is the time after which a lease that isn't renewed expires.
	TTLMillis Milliseconds `json:"ttl_ms"`
	// RenewMillis is the time between renewals of a lease.
	RenewMillis Milliseconds `json:"renew_ms"`
}

// Config configures how instances learn of accepted tickets.
type Config struct {
	// PollMillis is the longest time between reads of the version row.
	PollMillis Milliseconds `json:"poll_ms"`
	// StaleAfterMillis is the time after which the instance reports not ready
	// and accepts no requests or jobs if neither the table nor the peers confirm
	// its configuration.
	StaleAfterMillis Milliseconds `json:"stale_after_ms"`
}

// Peers configures the links between instances.
type Peers struct {
	// HeartbeatMillis is the time between heartbeats to the peers.
	HeartbeatMillis Milliseconds `json:"heartbeat_ms"`
	// ReadDeadlineMillis is the time without a message after which a link is
	// replaced.
	ReadDeadlineMillis Milliseconds `json:"read_deadline_ms"`
	// MaxMessageBytes bounds the size of one message between instances.
	MaxMessageBytes int64 `json:"max_message_bytes"`
}

// Requests configures the dispatch of requests.
type Requests struct {
	// QueueLimit bounds the requests that an instance holds, queued and running.
	QueueLimit int `json:"queue_limit"`
	// MaxBodyBytes bounds the size of a request's body, unless the service sets a
	// lower limit.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BackendConnectionsPerServer bounds the connections from this instance to
	// one backend server. A value of 1 counts as 2: one connection for probes and
	// one for requests.
	BackendConnectionsPerServer int `json:"backend_connections_per_server"`
	// ClaimFlushMillis is how long the claim or outcome of a request that may not
	// be repeated may wait to be batched with others in one commit.
	ClaimFlushMillis Milliseconds `json:"claim_flush_ms"`
	// ClaimBatch bounds the number of claims and outcomes in one commit.
	ClaimBatch int `json:"claim_batch"`
}

// Jobs configures how gangs are run.
type Jobs struct {
	// CheckpointTimeoutMillis bounds the time to checkpoint a gang that is being
	// stopped.
	CheckpointTimeoutMillis Milliseconds `json:"checkpoint_timeout_ms"`
	// MaxAttempts is the number of failed attempts after which a job fails.
	// Attempts that are stopped or lost don't count.
	MaxAttempts int `json:"max_attempts"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Limits are those of the process's machine. The bounds of callers' bodies and
// connections are derived from them.
type Limits struct {
	// MemoryMB is the memory that the process may use.
	MemoryMB int64 `json:"memory_mb"`
	// MaxFds is the number of descriptors that the process may open.
	MaxFds int `json:"max_fds"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// HandoverTimeoutMillis bounds the handover of ownership and afterwards the
	// wait for outcomes to be recorded. Requests in flight are limited by their
	// own deadlines only.
	HandoverTimeoutMillis Milliseconds `json:"handover_timeout_ms"`
}

// Default returns the default settings. Those for identity, addresses and
// failure domains have no default.
func Default() Daemon {
	return Daemon{
		Platform:    Platform{CallTimeoutMillis: 1000},
		Session:     Session{HeartbeatMillis: 500, TTLMillis: 2000},
		Ownership:   Ownership{PollMillis: 500},
		WorkerLease: WorkerLease{TTLMillis: 15000, RenewMillis: 3000},
		Config:      Config{PollMillis: 1000, StaleAfterMillis: 4000},
		Peers:       Peers{HeartbeatMillis: 500, ReadDeadlineMillis: 2000, MaxMessageBytes: 4 << 20},
		Requests: Requests{
			QueueLimit:                  2048,
			MaxBodyBytes:                1 << 20,
			BackendConnectionsPerServer: 7,
			ClaimFlushMillis:            4,
			ClaimBatch:                  64,
		},
		Jobs:  Jobs{CheckpointTimeoutMillis: 2000, MaxAttempts: 3},
		Log:   Log{Level: "info"},
		Drain: Drain{HandoverTimeoutMillis: 5000},
		// The bodies of held calls may take a quarter of the memory.
		Limits: Limits{MemoryMB: 1024, MaxFds: 8192},
	}
}
