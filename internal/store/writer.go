package store

import "crypto/rand"

// NewWriter returns a writer ID for New that is unique across processes and
// restarts.
func NewWriter(instance string) string {
	return instance + "-" + rand.Text()
}
