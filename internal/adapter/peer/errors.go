package peer

import (
	"errors"
	"strconv"

	"github.com/coder/websocket"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// The close codes, from the range that RFC 6455 section 7.4.2 leaves for
// private use. Messages that are too large close with 1009.
const (
	closeVersion   websocket.StatusCode = 4001
	closeInvalid   websocket.StatusCode = 4002
	closeDuplicate websocket.StatusCode = 4003
	closeFull      websocket.StatusCode = 4004
)

// VersionError means that the peer speaks another version of the protocol.
type VersionError struct {
	Theirs, Ours int
}

// Error names both versions.
func (e *VersionError) Error() string {
	return "refused: peer protocol version " + strconv.Itoa(e.Theirs) + ", ours is " + strconv.Itoa(e.Ours)
}

// FaultCode returns fault.Refused.
func (e *VersionError) FaultCode() fault.Code {
	return fault.Refused
}

// closeFor returns the close code and reason that tell the peer of a failure.
func closeFor(err error) (websocket.StatusCode, string) {
	var version *VersionError
	switch {
	case errors.As(err, &version):
		return closeVersion, "version"
	case fault.Is(err, fault.Invalid):
		return closeInvalid, "invalid message"
	case fault.Is(err, fault.Exists):
		return closeDuplicate, "duplicate link"
	case fault.Is(err, fault.Overloaded):
		return closeFull, "too many links"
	default:
		return websocket.StatusGoingAway, "closing"
	}
}
