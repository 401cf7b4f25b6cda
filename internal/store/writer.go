package store

import "crypto/rand"

// NewWriter returns a writer name for New that differs between all processes
// and restarts.
func NewWriter(instance string) string {
	return instance + "-" + rand.Text()
}
