package fake

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an address that two test processes use: while the instance of one is
// down, the instance of the other listens there and answers the callers of the first.
func TestAllocatorsReturnNoAddressTwice(t *testing.T) {
	const perAllocator = 3 * portBlock
	seen := map[string]bool{}
	allocators := []*portAllocator{newPortAllocator(), newPortAllocator()}
	for _, p := range allocators {
		t.Cleanup(func() {
			for _, g := range p.guards {
				must.NoError(t, g.Close())
			}
		})
	}
	for range perAllocator {
		for _, p := range allocators {
			address, err := p.freeAddress()
			must.NoError(t, err)
			must.False(t, seen[address], must.Sprint(address, " returned twice"))
			seen[address] = true
			l, err := net.Listen("tcp", address)
			must.NoError(t, err)
			must.NoError(t, l.Close())
		}
	}
}
