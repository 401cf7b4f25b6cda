package speed

import (
	"hash/fnv"
	"math"
)

const (
	// storedUnit is the step of a stored factor's logarithm. A byte covers factors from
	// 0.13 to 7.7 with an error of less than 1%.
	storedUnit = 1.0 / 62
	// storedWeight is the weight of a stored factor against new runs, which soon outweigh it
	// if the worker has changed in the meantime.
	storedWeight = 1 / (2 * runVariance)
	// minStored is the logarithm of the smallest factor that is stored.
	minStored = 0.05
)

// Stored holds the factors of workers for the next owner of the pool. A worker takes five
// bytes, 5.5 KB for 1,100 workers.
type Stored struct {
	// Workers are hashes of the workers' IDs and incarnations.
	Workers []uint32 `cbor:"1,keyasint,omitempty"`
	// Factors holds the logarithms of the factors, in the order of Workers.
	Factors []byte `cbor:"2,keyasint,omitempty"`
	// Spread is the variance of the factors' logarithms.
	Spread float64 `cbor:"3,keyasint,omitempty"`
	// Even tells that the factors differ little from their median, of which Center is the
	// logarithm. Rows of earlier builds lack both.
	Even   bool    `cbor:"4,keyasint,omitempty"`
	Center float64 `cbor:"5,keyasint,omitempty"`
}

// Identity is a worker with its current incarnation, 0 if it isn't known.
type Identity struct {
	ID          string
	Incarnation int64
}

func (i Identity) hash() uint32 {
	h := fnv.New32a()
	var incarnation [8]byte
	for k := range incarnation {
		incarnation[k] = byte(i.Incarnation >> (8 * k))
	}
	// Writes to a hash don't fail.
	_, _ = h.Write([]byte(i.ID))
	_, _ = h.Write(incarnation[:])
	return h.Sum32()
}

// Store returns the factors of the given workers that differ from 1.
func (e *Estimator) Store(workers []Identity) Stored {
	out := Stored{Spread: e.spread, Even: e.even}
	if e.even {
		out.Center = e.center
	}
	for _, id := range workers {
		w := e.workers[id.ID]
		if w == nil || id.Incarnation == 0 || math.Abs(w.log) < minStored {
			continue
		}
		out.Workers = append(out.Workers, id.hash())
		out.Factors = append(out.Factors, byte(int8(math.Round(min(max(w.log/storedUnit, -127), 127)))))
	}
	return out
}

// minStoredChange is the change of a stored factor that is worth a write, about a tenth.
const minStoredChange = 6

// DiffersFrom reports whether noticeably other factors are stored, or another evenness. A
// worker that isn't stored has the factor 1.
func (s *Stored) DiffersFrom(o *Stored) bool {
	if s.Even != o.Even || math.Abs(s.Center-o.Center) > minStoredChange*storedUnit {
		return true
	}
	changes := make(map[uint32]int, len(s.Workers))
	for i, h := range s.Workers {
		changes[h] += int(int8(s.Factors[i]))
	}
	for i, h := range o.Workers {
		changes[h] -= int(int8(o.Factors[i]))
	}
	for _, d := range changes {
		if d > minStoredChange || d < -minStoredChange {
			return true
		}
	}
	return false
}

// Restorer gives the stored factors back to the workers as their incarnations become
// known.
type Restorer struct {
	factors map[uint32]float64
	spread  float64
	even    bool
	center  float64
}

// NewRestorer returns a restorer of the stored factors.
func NewRestorer(s Stored) *Restorer {
	r := &Restorer{factors: make(map[uint32]float64, len(s.Workers))}
	if s.Spread > 0 { // not NaN either
		r.spread = min(s.Spread, maxSpread)
	}
	if math.Abs(s.Center) <= math.Log(maxFactor) { // not NaN either
		r.even, r.center = s.Even, s.Center
	}
	for i, h := range s.Workers {
		if i < len(s.Factors) {
			r.factors[h] = float64(int8(s.Factors[i])) * storedUnit
		}
	}
	return r
}

// Restore takes over the stored factor of a worker, if there is one of the same
// incarnation.
func (r *Restorer) Restore(e *Estimator, id Identity) {
	if r == nil {
		return
	}
	if factor, ok := r.factors[id.hash()]; ok {
		// In a pool that is taken for even, the restored factors would be drawn to 1 with the
		// next update. The spread is learned anew from runs on enough workers.
		e.spread = max(e.spread, r.spread)
		if !e.spreadLearned {
			e.even, e.center = r.even, r.center
		}
		w := e.worker(id.ID)
		w.prior, w.priorWeight, w.log = factor, storedWeight, factor
	}
}
