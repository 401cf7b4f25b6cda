// Package ticket parses and validates change tickets and applies them to the
// configuration. It has no side effects.
package ticket

import (
	"github.com/lentilwinch/lentilwinch/internal/settings/document"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// MaxDocumentBytes is the maximum size of a ticket document.
const MaxDocumentBytes = 1 << 20

const invalidMessage = "ticket is invalid"

// Parse decodes a ticket from JSON. A ticket holds the complete state of each
// object that it sets, so a missing field is a problem and not a zero value. Only
// the comment and the lists of changes may be missing.
// Parse fails with fault.Invalid and all problems that can be found without the
// configuration in force.
func Parse(doc []byte) (structs.Ticket, error) {
	var t structs.Ticket
	var problems document.Problems
	document.DecodeComplete(doc, MaxDocumentBytes, &t, &problems)
	c := valueCheck{problems: &problems}
	c.check(t)
	if err := problems.Err(invalidMessage); err != nil {
		return structs.Ticket{}, err
	}
	return t, nil
}
