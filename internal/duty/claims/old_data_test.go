package claims

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var oldClaim = record{
	Holder:     "north-1-A7",
	Serial:     4,
	Digest:     []byte("digest"),
	Outcome:    structs.OutcomeUnknown,
	Reason:     "connection lost",
	Answer:     []byte("answer"),
	Object:     "answer/willow/req-1",
	AnswerLost: true,
	Created:    1772000000,
}

// Claims of earlier builds must stay readable. A renamed key would leave a
// field zero, and a non-repeatable request could run twice.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	raw, err := os.ReadFile("testdata/claim.cbor")
	must.NoError(t, err)
	row := port.Row{Key: "claim/willow/req-1", Value: raw}
	var got record
	must.NoError(t, store.Decode(row, &got))
	must.Eq(t, oldClaim, got)
	createdAt, err := CreatedAt(row)
	must.NoError(t, err)
	must.EqOp(t, oldClaim.Created, createdAt.Unix())
	must.Eq(t, []structs.Outcome{1, 2, 3, 4},
		[]structs.Outcome{structs.OutcomeDone, structs.OutcomeNotRun, structs.OutcomeUnknown, structs.OutcomePending})
}
