package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

const (
	maxNestedLevels  = 8
	maxArrayElements = 16384
	maxMapPairs      = 1024
)

// hello is the first message that each side sends.
type hello struct {
	Version int            `cbor:"1,keyasint"`
	Hello   port.PeerHello `cbor:"2,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode returns a decoder that rejects duplicate keys, indefinite lengths and
// tags, which encode never produces, and bounds nesting and counts. It ignores
// unknown fields, so that adding a field needs no new protocol version.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode peer message", err)
	}
	return data, nil
}

// decodeHello decodes the first message. It fails with fault.Invalid for a
// malformed hello and with *VersionError for a different protocol version.
func decodeHello(data []byte) (port.PeerHello, error) {
	var h hello
	if err := decMode.Unmarshal(data, &h); err != nil {
		return port.PeerHello{}, fault.Wrap(fault.Invalid, "peer hello", err)
	}
	if h.Version != protocolVersion {
		return port.PeerHello{}, &VersionError{Theirs: h.Version, Ours: protocolVersion}
	}
	if h.Hello.Instance == "" || h.Hello.Incarnation == "" {
		return port.PeerHello{}, fault.New(fault.Invalid, "peer hello has no instance or incarnation")
	}
	return h.Hello, nil
}

// decodeMessage decodes any message after the hello. It fails with
// fault.Invalid.
func decodeMessage(data []byte) (port.PeerMessage, error) {
	var m port.PeerMessage
	if err := decMode.Unmarshal(data, &m); err != nil {
		return port.PeerMessage{}, fault.Wrap(fault.Invalid, "peer message", err)
	}
	if countFields(m) != 1 {
		return port.PeerMessage{}, fault.New(fault.Invalid, "peer message must have exactly one field set")
	}
	return m, nil
}

// countFields returns the number of fields that are set in m.
func countFields(m port.PeerMessage) int {
	n := 0
	for _, set := range [...]bool{
		m.Hello != nil,
		m.Heartbeat != nil,
		m.Notice != nil,
		m.ConfigRequest != nil,
		m.Config != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
