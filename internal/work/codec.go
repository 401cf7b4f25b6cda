package work

import (
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

// Decode parses a stored row into v. It fails with fault.Invalid.
func Decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Invalid, "decode row", err)
	}
	return nil
}
