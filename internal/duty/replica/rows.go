package replica

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Table is the store's table that holds all rows of the product.
const Table = "lentilwinch"

// Keys of rows. A pool's own rows lie in the part that is named like the pool,
// its jobs and their cancellations in parts of their own: a part takes one
// transaction at a time, which a slow store makes a second each.
const (
	EpochKey   = "epoch"
	BeatKey    = "beat"
	LoadKey    = "load"
	WorkersKey = "workers"
	// BypassedKey holds the number of the last epoch whose owner may have started
	// tasks before their placements were stored.
	BypassedKey  = "bypassed"
	jobPrefix    = "job/"
	cancelPrefix = "cancel/"
	nodePrefix   = "node/"
)

// jobParts is how many parts a pool's jobs are spread over.
const jobParts = 16

// Epoch names a pool's owner. Number is its fencing token.
type Epoch struct {
	Number int64  `cbor:"1,keyasint"`
	Owner  string `cbor:"2,keyasint,omitempty"`
	// Incarnation tells two lives of one owner apart.
	Incarnation string `cbor:"3,keyasint,omitempty"`
}

// Node is an instance that peers may relay through.
type Node struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Cores is the processor that the instance may use.
	Cores float64 `cbor:"3,keyasint,omitempty"`
	// WallOffset is the instance's time of day, since 1970, less the store's
	// clock.
	WallOffset time.Duration `cbor:"4,keyasint,omitempty"`
}

// Load is what an owner tells the others about its pool.
type Load struct {
	// Largest is the room of the largest worker.
	Largest work.Resources `cbor:"2,keyasint"`
}

// JobView is a job as the copy knows it. A job has more than one row where the
// part of its first row was away.
type JobView struct {
	// Record is that of the newest row.
	Record    work.Record
	Rows      []JobRow
	Cancelled bool
}

// JobRow is one row of a job.
type JobRow struct {
	Part    string
	Version int64
	Record  work.Record
}

// PoolView is what the copy knows about a pool's ownership.
type PoolView struct {
	Epoch        Epoch
	EpochVersion int64
	BeatVersion  int64
	Load         Load
	// Workers are those that the owner used last.
	Workers []string
	// Bypassed is the last epoch whose stored placements may be incomplete.
	Bypassed int64
}

// PoolKey returns the key of one of a pool's own rows.
func PoolKey(pool, key string) port.RowKey {
	return port.RowKey{Table: Table, Part: pool, Key: key}
}

// placesPerJob is how many parts a job's row may lie in.
const placesPerJob = 3

// jobPlaces returns the parts in which a job's rows may lie, the usual one first.
func jobPlaces(pool, id string) [placesPerJob]string {
	var out [placesPerJob]string
	first := xxhash.Sum64String(id)
	for k := range out {
		out[k] = fmt.Sprintf("%s.%d", pool, (first+uint64(k)*placeStride)%jobParts)
	}
	return out
}

// placeStride spaces the parts of one job; it is prime to jobParts.
const placeStride = 5

// JobKeys returns the keys that a job's rows may have, the usual one first.
func JobKeys(pool, id string) []port.RowKey { return keysAt(pool, id, jobPrefix) }

// Place chooses among the keys of one job: from the one that try counts to, the
// first whose part isn't down.
func Place(keys []port.RowKey, try int, down func(part string) bool) port.RowKey {
	for k := range keys {
		if key := keys[(try+k)%len(keys)]; !down(key.Part) {
			return key
		}
	}
	return keys[try%len(keys)]
}

// JobKeyIn returns the key of a job's row in a part.
func JobKeyIn(part, id string) port.RowKey {
	return port.RowKey{Table: Table, Part: part, Key: jobPrefix + id}
}

// CancelKeys returns the keys that a job's cancellation may have.
func CancelKeys(pool, id string) []port.RowKey { return keysAt(pool, id, cancelPrefix) }

func keysAt(pool, id, prefix string) []port.RowKey {
	var out []port.RowKey
	for _, part := range jobPlaces(pool, id) {
		out = append(out, port.RowKey{Table: Table, Part: part, Key: prefix + id})
	}
	return out
}
