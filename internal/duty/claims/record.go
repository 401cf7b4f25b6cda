package claims

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// record is the stored row of a non-repeatable request. Outcome is
// structs.OutcomePending while the holder processes it.
type record struct {
	// Holder is the incarnation that may run the request once.
	Holder string `cbor:"1,keyasint"`
	// Serial distinguishes the claims of one incarnation, which may receive the
	// same request twice.
	Serial  uint64          `cbor:"7,keyasint"`
	Digest  []byte          `cbor:"2,keyasint"`
	Outcome structs.Outcome `cbor:"3,keyasint"`
	Reason  string          `cbor:"4,keyasint,omitempty"`
	Answer  []byte          `cbor:"5,keyasint,omitempty"`
	// Object is the name of the answer in the object store if it is too large
	// for the row.
	Object string `cbor:"6,keyasint,omitempty"`
	// AnswerLost is set if the answer could not be stored anywhere.
	AnswerLost bool `cbor:"8,keyasint,omitempty"`
	// Created is the time of the record's first creation, in Unix seconds.
	Created int64 `cbor:"9,keyasint"`
}

// CreatedAt returns the time at which a claim row was first created. It fails
// with fault.Invalid if the row can't be decoded.
func CreatedAt(row port.Row) (time.Time, error) {
	var rec record
	if err := store.Decode(row, &rec); err != nil {
		return time.Time{}, err
	}
	return time.Unix(rec.Created, 0), nil
}

func (r record) final() bool {
	return r.Outcome != structs.OutcomePending
}

// supersedes reports whether r may replace a final record: the holder of a
// claim may replace an unknown outcome by a known one.
func (r record) supersedes(old record) bool {
	return old.Outcome == structs.OutcomeUnknown && r.Outcome != structs.OutcomeUnknown && r.sameClaim(old)
}

// sameClaim reports whether two records belong to the same claim.
func (r record) sameClaim(o record) bool {
	return r.Holder == o.Holder && r.Serial == o.Serial
}

func (r record) sameRequest(digest []byte) bool {
	return slices.Equal(r.Digest, digest)
}

// digestOf returns a digest of a request's service and body.
func digestOf(req structs.Request) []byte {
	h := sha256.New()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(req.Service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(req.Body)
	return h.Sum(nil)
}
