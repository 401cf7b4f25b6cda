package rendezvous

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestNodeLossMovesOnlyItsKeys fails if nodes are chosen by the hash modulo the
// number of nodes.
func TestNodeLossMovesOnlyItsKeys(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	counts := make(map[string]int)
	for i := range 8000 {
		key := fmt.Sprint("key", i)
		before := Order(key, nodes)
		after := Order(key, nodes[1:])
		counts[before[0]]++
		if before[0] != "a" {
			must.Eq(t, before[0], after[0])
		}
		must.Eq(t, before[:3], Top(key, nodes, 3))
	}
	for _, node := range nodes {
		must.Between(t, 800, counts[node], 1200)
	}
}
