package store

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// envelope is the encoding of a row value.
type envelope struct {
	// Token identifies the commit that wrote the row.
	Token string          `cbor:"1,keyasint"`
	Body  cbor.RawMessage `cbor:"2,keyasint"`
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(token string, body any) ([]byte, error) {
	raw, err := encMode.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode row", err)
	}
	value, err := encMode.Marshal(envelope{Token: token, Body: raw})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode row", err)
	}
	return value, nil
}

// Decode decodes a row's body into the value that into points to. It fails with
// fault.Invalid.
func Decode(row port.Row, into any) error {
	var e envelope
	if err := cbor.Unmarshal(row.Value, &e); err != nil {
		return fault.Wrap(fault.Invalid, "row "+row.Key, err)
	}
	if err := cbor.Unmarshal(e.Body, into); err != nil {
		return fault.Wrap(fault.Invalid, "row "+row.Key, err)
	}
	return nil
}

// tokenOf returns the token of the commit that wrote the row, or "" if the row
// can't be decoded.
func tokenOf(row port.Row) string {
	var e envelope
	if err := cbor.Unmarshal(row.Value, &e); err != nil {
		return ""
	}
	return e.Token
}
