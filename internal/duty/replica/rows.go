package replica

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/speed"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Table is the store's table with all rows of lentilwinch.
const Table = "lentilwinch"

// Keys of rows. A pool's own rows are in the partition with the pool's name, its
// jobs and their cancellations in separate partitions, the instances in the
// partition with the empty name. A partition takes one transaction at a time, which
// may last a second while the store is slow.
const (
	EpochKey     = "epoch"
	HeartbeatKey = "beat"
	CapacityKey  = "load"
	WorkersKey   = "workers"
	// OwnerKey holds what the owner stores with its heartbeats.
	OwnerKey = "owner"
	// EarlyStartsKey holds the number of the last epoch whose owner may have started
	// tasks before their placements were stored, 0 once all of them are.
	EarlyStartsKey = "bypassed"
	// SpeedsKey holds what the owner has learned of the workers' speeds.
	SpeedsKey      = "speeds"
	jobPrefix      = "job/"
	cancelPrefix   = "cancel/"
	instancePrefix = "node/"
)

// jobPartitionCount is the number of partitions for the jobs of a pool.
const jobPartitionCount = 16

// Epoch identifies a pool's owner.
type Epoch struct {
	// Number is the fencing token of the owner. It grows by one with each takeover.
	Number int64 `cbor:"1,keyasint"`
	// Owner is the name of the owning instance, empty if the pool has none.
	Owner string `cbor:"2,keyasint,omitempty"`
	// Incarnation identifies one run of the owner's process.
	Incarnation string `cbor:"3,keyasint,omitempty"`
}

// OwnerState is what an owner stores with its heartbeats, whose value is the owner's name
// as plain text.
type OwnerState struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Settled is set once no owner of an earlier epoch can act any more.
	Settled bool `cbor:"2,keyasint,omitempty"`
	// RecordedAt is when the owner last had a heartbeat confirmed, on the store's clock, if
	// the placements of all starts that were sent by the time of this one are stored; else
	// 0. None goes before its placement is stored within the next seconds, unless that is
	// announced.
	RecordedAt time.Duration `cbor:"3,keyasint,omitempty"`
	// Forecast bounds the time until new jobs can start; nil if nothing waits or the owner
	// doesn't know yet what runs.
	Forecast *work.Forecast `cbor:"4,keyasint,omitempty"`
}

// heartbeatRecord is the heartbeat of an earlier build.
type heartbeatRecord struct {
	Owner string `cbor:"1,keyasint"`
	// SettledEpoch is the owner's epoch once no owner of an earlier epoch can act any
	// more, 0 before.
	SettledEpoch int64 `cbor:"2,keyasint,omitempty"`
}

// Instance is a registered instance, through which peers can reach the store.
type Instance struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Cores is the number of processor cores that the instance may use.
	Cores float64 `cbor:"3,keyasint,omitempty"`
	// WallOffset is the instance's wall clock, as the time since the Unix epoch,
	// minus the store's clock; 0 if that is not known yet.
	WallOffset time.Duration `cbor:"4,keyasint,omitempty"`
	// Domain is the instance's failure domain.
	Domain string `cbor:"5,keyasint,omitempty"`
}

// PoolCapacity is the capacity that an owner publishes for the admission checks of
// all instances, with the workers that it is made of.
type PoolCapacity struct {
	// MaxCapacity is the largest capacity of any worker, for each resource.
	MaxCapacity work.Resources `cbor:"2,keyasint"`
	// Workers holds the workers of PoolView.Workers, in the same order. It is empty
	// in rows of earlier builds.
	Workers []StoredWorker `cbor:"3,keyasint,omitempty"`
}

// StoredWorker is a worker as its owner last called it. The next owner calls it there
// if the registry doesn't list it.
type StoredWorker struct {
	ID       string         `cbor:"1,keyasint"`
	Address  string         `cbor:"2,keyasint"`
	Domain   string         `cbor:"3,keyasint,omitempty"`
	Rack     string         `cbor:"4,keyasint,omitempty"`
	Capacity work.Resources `cbor:"5,keyasint"`
	// Incarnation is the worker's incarnation as it states it, 0 if its owner didn't know
	// it yet.
	Incarnation int64 `cbor:"6,keyasint,omitempty"`
	// LongLeaseUntil is when a lease has expired that may exceed what the owner asked for,
	// on the store's clock; 0 if there is none.
	LongLeaseUntil time.Duration `cbor:"7,keyasint,omitempty"`
}

// JobView is a job in the replica. A job has more than one row if the partition
// of its first row was unavailable, or if it was submitted again after its queue had
// moved to another pool. It belongs to one pool, that of Record.Job, which is the
// same at every instance that holds the same rows. Its records are complete while there
// is a subscription; otherwise they are those of work.DecodeSummary, as an instance that
// owns no pool only tells callers a job's state.
type JobView struct {
	// Record is the record that supersedes those of the other rows of its pool.
	Record work.Record
	// Rows are the job's rows in its pool. They are shared with other views and must not
	// be modified.
	Rows []JobRow
	// Strays are its rows in other pools, which never run it. They are shared like Rows.
	Strays    []JobRow
	Cancelled bool
}

// JobRow is one row of a job.
type JobRow struct {
	Partition string
	Version   int64
	Record    work.Record
	encoded   []byte // the record as stored, nil if Record is complete
}

// PoolView is the state of a pool in the replica.
type PoolView struct {
	Epoch            Epoch
	EpochVersion     int64
	HeartbeatVersion int64
	// SettledEpoch is the newest epoch known to have outlasted the owners before it.
	SettledEpoch int64
	Owner        OwnerState
	Capacity     PoolCapacity
	Speeds       speed.Stored
	// Workers lists the IDs of the workers that the owner last used. It is shared
	// with other views and must not be modified.
	Workers        []string
	WorkersVersion int64
	// EarlyStartEpoch is the last epoch whose stored placements may be incomplete, 0 if
	// there is none.
	EarlyStartEpoch    int64
	EarlyStartsVersion int64 // of the row
}

// Forecast returns the forecast of the pool's owner, nil if there is none or it is that of
// an owner whose epoch isn't the newest one.
func (v *PoolView) Forecast() *work.Forecast {
	if v.Epoch.Owner == "" || v.Owner.Epoch != v.Epoch.Number {
		return nil
	}
	return v.Owner.Forecast
}

// PoolKey returns the key of one of a pool's own rows.
func PoolKey(pool, key string) port.RowKey {
	return port.RowKey{Table: Table, Partition: pool, Key: key}
}

// partitionsPerJob is the number of partitions that may hold a job's row.
const partitionsPerJob = 3

// jobPartitions returns the partitions that may hold a job's rows, in order of
// preference.
func jobPartitions(pool, id string) [partitionsPerJob]string {
	var out [partitionsPerJob]string
	first := xxhash.Sum64String(id)
	for k := range out {
		out[k] = fmt.Sprintf("%s.%d", pool, (first+uint64(k)*partitionStride)%jobPartitionCount)
	}
	return out
}

// mayHoldJob reports whether a partition may hold a row of the job, of whatever pool.
func mayHoldJob(partition, id string) bool {
	for _, candidate := range jobPartitions("", id) {
		if strings.HasSuffix(partition, candidate) {
			return true
		}
	}
	return false
}

// partitionStride spaces the partitions of one job. It is coprime to
// jobPartitionCount.
const partitionStride = 5

// JobKeys returns the keys that a job's rows may have, in order of preference.
func JobKeys(pool, id string) []port.RowKey { return rowKeys(pool, id, jobPrefix) }

// ChooseKey returns the first of a job's keys whose partition isn't down, starting
// at index try modulo their number. If all are down it returns the key at that
// index.
func ChooseKey(keys []port.RowKey, try int, down func(partition string) bool) port.RowKey {
	for k := range keys {
		if key := keys[(try+k)%len(keys)]; !down(key.Partition) {
			return key
		}
	}
	return keys[try%len(keys)]
}

// JobKeyIn returns the key of a job's row in a partition.
func JobKeyIn(partition, id string) port.RowKey {
	return port.RowKey{Table: Table, Partition: partition, Key: jobPrefix + id}
}

// CancelKeys returns the keys that a job's cancellation may have, in order of
// preference.
func CancelKeys(pool, id string) []port.RowKey { return rowKeys(pool, id, cancelPrefix) }

func rowKeys(pool, id, prefix string) []port.RowKey {
	var out []port.RowKey
	for _, partition := range jobPartitions(pool, id) {
		out = append(out, port.RowKey{Table: Table, Partition: partition, Key: prefix + id})
	}
	return out
}
