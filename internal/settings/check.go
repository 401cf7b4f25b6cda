package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/settings/document"
)

const (
	maxDomains  = 64
	addressRule = "IP:port, as in 10.0.0.7:7420"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker validates decoded settings and collects the problems.
type checker struct {
	problems *document.Problems
}

func (c checker) check(d Daemon) {
	c.checkIdentity(d)
	c.checkPlatform(d.Platform)
	c.checkSession(d.Session)
	c.checkOwnership(d)
	c.checkWorkerLease(d.WorkerLease)
	c.checkConfig(d.Config)
	c.checkPeers(d.Peers)
	c.checkRequests(d.Requests)
	c.checkJobs(d.Jobs)
	c.problems.CheckOneOf("log.level", d.Log.Level, logLevels)
	c.checkMillis("drain.handover_timeout_ms", d.Drain.HandoverTimeoutMillis, 100, 600_000)
	c.problems.CheckRange("limits.memory_mb", d.Limits.MemoryMB, 64, 1<<20)
	c.problems.CheckRange("limits.max_fds", int64(d.Limits.MaxFds), 64, 1<<20)
	c.checkCombinations(d)
}

func (c checker) checkIdentity(d Daemon) {
	c.problems.CheckName("instance_id", d.InstanceID)
	c.problems.CheckName("failure_domain", d.FailureDomain)
	c.problems.CheckName("region", d.Region)
	c.checkListenAddress("listen_address", d.ListenAddress)
	c.checkDialAddress("advertise_address", d.AdvertiseAddress)
}

func (c checker) checkPlatform(p Platform) {
	c.checkDialAddress("platform.table_address", p.TableAddress)
	c.checkDialAddress("platform.objects_address", p.ObjectsAddress)
	c.checkDialAddress("platform.instances_address", p.InstancesAddress)
	c.checkDialAddress("platform.workers_address", p.WorkersAddress)
	c.checkMillis("platform.call_timeout_ms", p.CallTimeoutMillis, 10, 60_000)
}

func (c checker) checkSession(s Session) {
	c.checkMillis("session.heartbeat_ms", s.HeartbeatMillis, 50, 10_000)
	c.checkMillis("session.ttl_ms", s.TTLMillis, 200, 60_000)
}

func (c checker) checkOwnership(d Daemon) {
	const path = "ownership.domains"
	c.checkMillis("ownership.poll_ms", d.Ownership.PollMillis, 50, 10_000)
	if n := len(d.Ownership.Domains); n == 0 || n > maxDomains {
		c.problems.Add(path, strconv.Itoa(n)+" domains", "1 to "+strconv.Itoa(maxDomains)+" failure domains of the region")
		return
	}
	seen := make(map[string]bool)
	for i, domain := range d.Ownership.Domains {
		domainPath := document.Index(path, i)
		c.problems.CheckName(domainPath, domain)
		if seen[domain] {
			c.problems.Add(domainPath, strconv.Quote(domain), "each failure domain once")
		}
		seen[domain] = true
	}
}

func (c checker) checkWorkerLease(w WorkerLease) {
	c.checkMillis("worker_lease.ttl_ms", w.TTLMillis, 1000, 600_000)
	c.checkMillis("worker_lease.renew_ms", w.RenewMillis, 100, 200_000)
}

func (c checker) checkConfig(cfg Config) {
	c.checkMillis("config.poll_ms", cfg.PollMillis, 50, 5000)
	c.checkMillis("config.stale_after_ms", cfg.StaleAfterMillis, 200, 60_000)
}

func (c checker) checkPeers(p Peers) {
	c.checkMillis("peers.heartbeat_ms", p.HeartbeatMillis, 50, 10_000)
	c.checkMillis("peers.read_deadline_ms", p.ReadDeadlineMillis, 200, 60_000)
	c.problems.CheckRange("peers.max_message_bytes", p.MaxMessageBytes, 64<<10, 64<<20)
}

func (c checker) checkRequests(r Requests) {
	c.problems.CheckRange("requests.queue_limit", int64(r.QueueLimit), 1, 1_000_000)
	c.problems.CheckRange("requests.max_body_bytes", r.MaxBodyBytes, 1, 64<<20)
	c.problems.CheckRange("requests.backend_connections_per_server", int64(r.BackendConnectionsPerServer), 1, 60)
	c.checkMillis("requests.claim_flush_ms", r.ClaimFlushMillis, 0, 1000)
	c.problems.CheckRange("requests.claim_batch", int64(r.ClaimBatch), 1, 1000)
}

func (c checker) checkJobs(j Jobs) {
	c.checkMillis("jobs.checkpoint_timeout_ms", j.CheckpointTimeoutMillis, 10, 600_000)
	c.problems.CheckRange("jobs.max_attempts", int64(j.MaxAttempts), 1, 100)
}

// checkCombinations finds values that are each in range but don't fit together.
func (c checker) checkCombinations(d Daemon) {
	c.checkAtLeast("session.ttl_ms", d.Session.TTLMillis, 3, "session.heartbeat_ms", d.Session.HeartbeatMillis)
	c.checkAtLeast("session.ttl_ms", d.Session.TTLMillis, 1, "platform.call_timeout_ms", d.Platform.CallTimeoutMillis)
	c.checkAtLeast("worker_lease.ttl_ms", d.WorkerLease.TTLMillis, 3, "worker_lease.renew_ms", d.WorkerLease.RenewMillis)
	c.checkAtLeast("config.stale_after_ms", d.Config.StaleAfterMillis, 2, "config.poll_ms", d.Config.PollMillis)
	c.checkAtLeast("peers.read_deadline_ms", d.Peers.ReadDeadlineMillis, 3, "peers.heartbeat_ms", d.Peers.HeartbeatMillis)
	c.checkOwnDomainListed(d)
}

func (c checker) checkOwnDomainListed(d Daemon) {
	if c.problems.HasProblem("ownership.domains") || slices.Contains(d.Ownership.Domains, d.FailureDomain) {
		return
	}
	allowed := "one of ownership.domains: " + strings.Join(d.Ownership.Domains, ", ")
	c.problems.Add("failure_domain", strconv.Quote(d.FailureDomain), allowed)
}

// checkListenAddress checks an address that the instance binds. It returns the
// parsed address and whether it is valid.
func (c checker) checkListenAddress(path, value string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Addr().Zone() != "" {
		c.problems.Add(path, strconv.Quote(value), addressRule)
		return netip.AddrPort{}, false
	}
	return addr, true
}

// checkDialAddress checks an address to connect to. Its IP must not be a wildcard
// or multicast address, and its port must be above 0.
func (c checker) checkDialAddress(path, value string) {
	addr, ok := c.checkListenAddress(path, value)
	if !ok {
		return
	}
	if addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() || addr.Port() == 0 {
		c.problems.Add(path, strconv.Quote(value), addressRule+", of one host and with a port above 0")
	}
}

func (c checker) checkMillis(path string, value, low, high Milliseconds) {
	c.problems.CheckRange(path, int64(value), int64(low), int64(high))
}

// checkAtLeast adds a problem unless value is at least factor times other. It
// adds none if other already has a problem.
func (c checker) checkAtLeast(path string, value Milliseconds, factor int64, otherPath string, other Milliseconds) {
	if int64(value) >= factor*int64(other) || c.problems.HasProblem(otherPath) {
		return
	}
	allowed := "at least " + otherPath + " (" + strconv.FormatInt(int64(other), 10) + ")"
	if factor > 1 {
		allowed = "at least " + strconv.FormatInt(factor, 10) + " times " + otherPath +
			" (" + strconv.FormatInt(int64(other), 10) + ")"
	}
	c.problems.Add(path, strconv.FormatInt(int64(value), 10), allowed)
}
