package work

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// compressAbove is the size above which a row is compressed, in bytes. Smaller rows
	// can be read by earlier builds.
	compressAbove = 60 << 10
	// compressedMark is the first byte of a compressed row. CBOR items don't begin with
	// it.
	compressedMark = 0xff
	// maxDecodedBytes limits the size of a row after decompression.
	maxDecodedBytes = 32 << 20
)

// Encode returns the stored form of a row. It fails with fault.Internal.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err == nil && len(b) > compressAbove {
		b, err = compress(b)
	}
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode row", err)
	}
	return b, nil
}

func compress(b []byte) ([]byte, error) {
	out := bytes.NewBuffer([]byte{compressedMark})
	w, err := flate.NewWriter(out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

// recordSummary are the fields of a Record that tell a job's state without its
// progress. It has the keys of Record and Job.
type recordSummary struct {
	Job struct {
		ID    string `cbor:"1,keyasint"`
		Pool  string `cbor:"2,keyasint"`
		Queue string `cbor:"3,keyasint"`
		// SubmittedAt is in the summary as it decides between rows of one job.
		SubmittedAt time.Duration `cbor:"11,keyasint"`
	} `cbor:"1,keyasint"`
	State    State         `cbor:"2,keyasint"`
	EndedAt  time.Duration `cbor:"4,keyasint"`
	Sequence int64         `cbor:"5,keyasint"`
}

// DecodeSummary parses a stored record's state, end and sequence, and its job's ID,
// pool, queue and time of submission. It leaves the other fields empty, which takes a fraction of the
// time of Decode. It fails with fault.Invalid.
func DecodeSummary(b []byte) (Record, error) {
	var s recordSummary
	if err := Decode(b, &s); err != nil {
		return Record{}, err
	}
	return Record{
		Job: Job{ID: s.Job.ID, Pool: s.Job.Pool, Queue: s.Job.Queue, SubmittedAt: s.Job.SubmittedAt}, State: s.State, EndedAt: s.EndedAt, Sequence: s.Sequence,
	}, nil
}

// Decode parses a stored row into v. It fails with fault.Invalid.
func Decode(b []byte, v any) error {
	if len(b) > 0 && b[0] == compressedMark {
		inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxDecodedBytes))
		if err != nil {
			return fault.Wrap(fault.Invalid, "decompress row", err)
		}
		b = inflated
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Invalid, "decode row", err)
	}
	return nil
}
