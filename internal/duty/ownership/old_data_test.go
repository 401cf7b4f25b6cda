package ownership

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

var oldOwner = Owner{Incarnation: "north-1-A7", Instance: "north-1", Address: "10.0.0.7:7420", Epoch: 5, Next: "north-2"}

// Owner rows of earlier builds must stay decodable. With a changed CBOR key a field
// would be zero, so that a failure domain would look vacant or its epoch would
// start again from 0.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	raw, err := os.ReadFile("testdata/owner.cbor")
	must.NoError(t, err)
	owners, undecodable := decodeOwners([]port.Row{{Key: store.OwnerKey("north"), Value: raw}})
	must.SliceEmpty(t, undecodable)
	must.Eq(t, oldOwner, owners["north"].Owner)
}
