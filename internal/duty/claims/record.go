package claims

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// record is the row of a request that may not be repeated. Outcome is
// structs.OutcomePending while the holder works on it.
type record struct {
	// Holder is the incarnation that may dispatch the request, once.
	Holder string `cbor:"1,keyasint"`
	// Serial tells the claims of one incarnation apart: the same request may
	// reach it twice.
	Serial  uint64          `cbor:"7,keyasint"`
	Digest  []byte          `cbor:"2,keyasint"`
	Outcome structs.Outcome `cbor:"3,keyasint"`
	Reason  string          `cbor:"4,keyasint,omitempty"`
	Answer  []byte          `cbor:"5,keyasint,omitempty"`
	// Object names the answer in the object store where it is too large for
	// the row.
	Object string `cbor:"6,keyasint,omitempty"`
	// AnswerLost is set where the answer is neither here nor there.
	AnswerLost bool `cbor:"8,keyasint,omitempty"`
	// Since is when the record was first made, in Unix seconds.
	Since int64 `cbor:"9,keyasint"`
}

// Since returns when a claim row was first made. It fails with fault.Invalid.
func Since(row port.Row) (time.Time, error) {
	var rec record
	if err := store.Decode(row, &rec); err != nil {
		return time.Time{}, err
	}
	return time.Unix(rec.Since, 0), nil
}

func (r record) final() bool {
	return r.Outcome != structs.OutcomePending
}

// outranks reports whether r may replace a final record: an unknown outcome
// gives way to what its holder knows.
func (r record) outranks(old record) bool {
	return old.Outcome == structs.OutcomeUnknown && r.Outcome != structs.OutcomeUnknown && r.sameClaim(old)
}

// sameClaim reports whether two records are states of one claim.
func (r record) sameClaim(o record) bool {
	return r.Holder == o.Holder && r.Serial == o.Serial
}

func (r record) sameRequest(digest []byte) bool {
	return slices.Equal(r.Digest, digest)
}

// digestOf identifies what a request asks for.
func digestOf(req structs.Request) []byte {
	h := sha256.New()
	// A hash's Write returns no error.
	_, _ = h.Write([]byte(req.Service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(req.Body)
	return h.Sum(nil)
}
