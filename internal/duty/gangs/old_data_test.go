package gangs

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var (
	oldQueue = QueueRecord{Key: structs.JobKey{Workspace: "willow", ID: "train-7"}}
	oldInbox = InboxRecord{Key: structs.JobKey{Workspace: "willow", ID: "train-8"}, Cancel: true}
)

func oldRow(t *testing.T, name string) port.Row {
	raw, err := os.ReadFile("testdata/" + name)
	must.NoError(t, err)
	return port.Row{Key: name, Value: raw}
}

// Index and inbox rows of earlier builds must stay readable: JobKey has no
// tags, and a renamed field would lose the job that a row points to.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	var q QueueRecord
	must.NoError(t, store.Decode(oldRow(t, "queue.cbor"), &q))
	must.Eq(t, oldQueue, q)
	var in InboxRecord
	must.NoError(t, store.Decode(oldRow(t, "inbox.cbor"), &in))
	must.Eq(t, oldInbox, in)
}
