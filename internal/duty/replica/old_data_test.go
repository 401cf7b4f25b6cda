package replica

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

var (
	oldInstance = Instance{Name: "north-1", Address: "10.0.0.7:7420", Cores: 3.5, WallOffset: 4 * time.Second}
	oldPool     = PoolView{
		Epoch:           Epoch{Number: 6, Owner: "north-1", Incarnation: "north-1-A7"},
		Capacity:        PoolCapacity{MaxCapacity: work.Resources{CPU: 8000, MemMB: 4096, Accel: 8}},
		Workers:         []string{"w1", "w2"},
		EarlyStartEpoch: 5,
	}
)

// A pool's own rows of earlier builds must stay readable. A renamed key of a
// row or a field would leave the view zero, and the pool would look vacant.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	r := New(nil, zap.NewNop(), func() time.Duration { return 0 })
	for file, key := range map[string]string{
		"epoch.cbor": "epoch", "load.cbor": "load", "workers.cbor": "workers", "bypassed.cbor": "bypassed", "node.cbor": "node/north-1",
	} {
		raw, err := os.ReadFile("testdata/" + file)
		must.NoError(t, err)
		must.NoError(t, r.applyRow(&port.VersionedRow{RowKey: port.RowKey{Partition: "p", Key: key}, Value: raw}))
	}
	must.Eq(t, &oldPool, r.pools["p"])
	must.Eq(t, map[string]Instance{"north-1": oldInstance}, r.instances)
}

// A job's rows are found by partition and key. A changed key would hide the row
// that an earlier build stored.
func TestKeysOfEarlierBuilds(t *testing.T) {
	must.Eq(t, []port.RowKey{
		{Table: "lentilwinch", Partition: "p.2", Key: "job/aaaa"},
		{Table: "lentilwinch", Partition: "p.7", Key: "job/aaaa"},
		{Table: "lentilwinch", Partition: "p.12", Key: "job/aaaa"},
	}, JobKeys("p", "aaaa"))
	must.EqOp(t, "cancel/aaaa", CancelKeys("p", "aaaa")[0].Key)
	must.EqOp(t, port.RowKey{Table: "lentilwinch", Partition: "p", Key: "beat"}, PoolKey("p", HeartbeatKey))
}

// Instances of two builds share the rows for a while. An earlier build must still read
// the capacity that this one stores, with fields that it doesn't know.
func TestEarlierBuildsDecodeCapacityWithTargets(t *testing.T) {
	stored := PoolCapacity{
		MaxCapacity: work.Resources{CPU: 8000, MemMB: 4096, Accel: 8},
		Workers:     []StoredWorker{{ID: "w1", Address: "10.0.0.9:1", Domain: "north", Rack: "r1", Capacity: work.Resources{CPU: 8000}}},
	}
	raw, err := work.Encode(stored)
	must.NoError(t, err)
	var earlier struct {
		MaxCapacity work.Resources `cbor:"2,keyasint"`
	}
	must.NoError(t, work.Decode(raw, &earlier))
	must.Eq(t, stored.MaxCapacity, earlier.MaxCapacity)
	var decoded PoolCapacity
	must.NoError(t, work.Decode(raw, &decoded))
	must.Eq(t, stored, decoded)
}

// The heartbeat of earlier builds is a record or, as now, the owner's name as plain text,
// which says nothing of the owners before it.
func TestHeartbeatOfEarlierBuildsIsNotSettled(t *testing.T) {
	r := New(nil, zap.NewNop(), func() time.Duration { return 0 })
	settled, err := work.Encode(heartbeatRecord{Owner: "north-1", SettledEpoch: 6})
	must.NoError(t, err)
	for version, value := range [][]byte{settled, []byte("north-1")} {
		row := port.VersionedRow{RowKey: port.RowKey{Partition: "p", Key: "beat"}, Value: value, Version: int64(version + 1)}
		must.NoError(t, r.applyRow(&row))
		must.Eq(t, &PoolView{HeartbeatVersion: int64(version + 1), SettledEpoch: 6}, r.pools["p"])
	}
}
