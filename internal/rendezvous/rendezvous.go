// Package rendezvous orders nodes for a key by highest random weight, so that
// the loss of a node moves only the keys that it ranked first for.
//
// Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator distinguishes pairs such as ("ab", "c") and ("a", "bc").
const separator = "\x00"

// Score returns the score of a node for a key: its random weight in the
// algorithm.
func Score(key, node string) uint64 {
	return xxhash.Sum64String(key + separator + node)
}

// Compare orders two nodes for a key by descending score, then by name.
func Compare(key, a, b string) int {
	if c := cmp.Compare(Score(key, b), Score(key, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// Order returns the nodes by descending score for a key. It doesn't modify
// nodes.
func Order(key string, nodes []string) []string {
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b string) int {
		return Compare(key, a, b)
	})
	return out
}

// Top returns up to n nodes with the highest scores for a key, best first.
func Top(key string, nodes []string, n int) []string {
	out := Order(key, nodes)
	return out[:min(max(n, 0), len(out))]
}
