package peer

import (
	"errors"
	"strconv"

	"github.com/coder/websocket"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Close codes from the private use range of RFC 6455 section 7.4.2. A message
// that is too large closes the link with code 1009.
const (
	closeVersionMismatch websocket.StatusCode = 4001
	closeInvalid         websocket.StatusCode = 4002
	closeDuplicate       websocket.StatusCode = 4003
	closeTooManyLinks    websocket.StatusCode = 4004
)

// VersionError means that the peer uses a different protocol version.
type VersionError struct {
	Theirs, Ours int
}

// Error implements error. The text includes both versions.
func (e *VersionError) Error() string {
	return "refused: peer protocol version " + strconv.Itoa(e.Theirs) + ", ours is " + strconv.Itoa(e.Ours)
}

// FaultCode returns fault.Refused.
func (e *VersionError) FaultCode() fault.Code {
	return fault.Refused
}

// closeStatus returns the close code and reason that report err to the peer.
func closeStatus(err error) (websocket.StatusCode, string) {
	var version *VersionError
	switch {
	case errors.As(err, &version):
		return closeVersionMismatch, "version"
	case fault.Is(err, fault.Invalid):
		return closeInvalid, "invalid message"
	case fault.Is(err, fault.Exists):
		return closeDuplicate, "duplicate link"
	case fault.Is(err, fault.Overloaded):
		return closeTooManyLinks, "too many links"
	default:
		return websocket.StatusGoingAway, "closing"
	}
}
