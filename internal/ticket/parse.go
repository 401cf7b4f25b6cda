// Package ticket reads change tickets and decides what they do to the
// configuration. It is pure.
package ticket

import (
	"github.com/lentilwinch/lentilwinch/internal/settings/document"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// MaxDocumentBytes bounds a ticket's document.
const MaxDocumentBytes = 1 << 20

const invalidMessage = "ticket is invalid"

// Parse reads a ticket as JSON. A ticket states the whole of what it touches,
// so that a field left out is a problem, not a zero. It fails with fault.Invalid and every problem
// that shows without knowing the configuration in force.
func Parse(doc []byte) (structs.Ticket, error) {
	var t structs.Ticket
	var findings document.Findings
	document.DecodeWhole(doc, MaxDocumentBytes, &t, &findings)
	c := parseCheck{findings: &findings}
	c.check(t)
	if err := findings.Err(invalidMessage); err != nil {
		return structs.Ticket{}, err
	}
	return t, nil
}
