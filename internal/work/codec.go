package work

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Encode returns the stored form of a row. It fails with fault.Internal.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode row", err)
	}
	return b, nil
}

// recordSummary are the fields of a Record that tell a job's state without its
// progress. It has the keys of Record and Job.
type recordSummary struct {
	Job struct {
		ID    string `cbor:"1,keyasint"`
		Pool  string `cbor:"2,keyasint"`
		Queue string `cbor:"3,keyasint"`
	} `cbor:"1,keyasint"`
	State    State         `cbor:"2,keyasint"`
	EndedAt  time.Duration `cbor:"4,keyasint"`
	Sequence int64         `cbor:"5,keyasint"`
}

// DecodeSummary parses a stored record's state, end and sequence, and its job's ID,
// pool and queue. It leaves the other fields empty, which takes a fraction of the
// time of Decode. It fails with fault.Invalid.
func DecodeSummary(b []byte) (Record, error) {
	var s recordSummary
	if err := Decode(b, &s); err != nil {
		return Record{}, err
	}
	return Record{
		Job: Job{ID: s.Job.ID, Pool: s.Job.Pool, Queue: s.Job.Queue}, State: s.State, EndedAt: s.EndedAt, Sequence: s.Sequence,
	}, nil
}

// Decode parses a stored row into v. It fails with fault.Invalid.
func Decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Invalid, "decode row", err)
	}
	return nil
}
