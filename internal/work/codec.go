package work

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Encode returns a value in the form in which rows are stored.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode row", err)
	}
	return b, nil
}

// Decode reads a stored row. It fails with fault.Invalid.
func Decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Invalid, "decode row", err)
	}
	return nil
}
