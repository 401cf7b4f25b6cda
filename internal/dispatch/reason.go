package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
)

// Reason tells why a server isn't used for an item.
type Reason string

// The reasons.
const (
	// Usable means that a slot is believed to be free for the item.
	Usable Reason = ""
	// NotListed means that the server is no longer in the instance list. Only servers
	// with work in flight are still known then.
	NotListed Reason = "not_listed"
	// Draining means that the server is leaving.
	Draining Reason = "draining"
	// Evacuated means that the server's failure domain is evacuated.
	Evacuated Reason = "evacuated"
	// Quarantined means that the server's circuit is open.
	Quarantined Reason = "quarantined"
	// NotOffered means that the server doesn't run the service.
	NotOffered Reason = "service_not_offered"
	// NoFreeSlot means that all slots are in use.
	NoFreeSlot Reason = "no_free_slot"
	// OnTrial means that the circuit is half open and its trial request in flight.
	OnTrial Reason = "on_trial"
	// Starting means that slow start doesn't permit more slots yet.
	Starting Reason = "slow_start"
	// ShareUsed means that the free slots belong to the shares of other instances and
	// can't be borrowed.
	ShareUsed Reason = "share_used"
	// Reserved means that the free slots are reserved for short work.
	Reserved Reason = "reserved_for_short_work"
)

// reasonFor returns why the server isn't used for an item of a level, or Usable if
// chooseServer may choose it.
func (s *server) reasonFor(now time.Duration, level uint8, name string) Reason {
	if r := s.excluded(now); r != Usable {
		return r
	}
	if !s.offers(name) {
		return NotOffered
	}
	for _, k := range kindsFor(level) {
		if s.availableIndex[k] >= 0 {
			return Usable
		}
	}
	switch {
	case s.inFlight+s.others >= s.slots:
		return NoFreeSlot
	case s.inFlight >= s.usableSlots(now):
		if s.circuit.State(now) == breaker.HalfOpen {
			return OnTrial
		}
		return Starting
	case s.inFlight >= s.ownSlots:
		return ShareUsed
	default:
		return Reserved
	}
}
