package settings

import (
	"testing"

	"github.com/shoenig/test/must"
)

// All values of oldSettings differ from the defaults.
var oldSettings = Daemon{
	InstanceID:       "north-1",
	FailureDomain:    "north",
	Region:           "harbour",
	ListenAddress:    "0.0.0.0:7420",
	AdvertiseAddress: "10.0.0.7:7420",
	Platform: Platform{
		TableAddress:      "10.0.1.1:7001",
		ObjectsAddress:    "10.0.1.2:7002",
		InstancesAddress:  "10.0.1.3:7003",
		WorkersAddress:    "10.0.1.4:7004",
		CallTimeoutMillis: 1100,
	},
	Session:     Session{HeartbeatMillis: 510, TTLMillis: 2100},
	Ownership:   Ownership{Domains: []string{"north", "south"}, PollMillis: 520},
	WorkerLease: WorkerLease{TTLMillis: 15100, RenewMillis: 3100},
	Config:      Config{PollMillis: 1010, StaleAfterMillis: 4100},
	Peers:       Peers{HeartbeatMillis: 530, ReadDeadlineMillis: 2200, MaxMessageBytes: 1 << 20},
	Requests: Requests{
		QueueLimit:                  100,
		MaxBodyBytes:                2 << 20,
		BackendConnectionsPerServer: 9,
		ClaimFlushMillis:            5,
		ClaimBatch:                  32,
	},
	Jobs:  Jobs{CheckpointTimeoutMillis: 2500, MaxAttempts: 4},
	Log:   Log{Level: "debug"},
	Drain: Drain{HandoverTimeoutMillis: 6000},
	// Added later, so that the file doesn't have them.
	Limits: Default().Limits,
}

// Settings files of earlier builds must stay readable. A renamed key would be
// rejected as unknown, or the default would replace the value.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	got, err := LoadFile("testdata/daemon.json")
	must.NoError(t, err)
	must.Eq(t, oldSettings, got)
}
