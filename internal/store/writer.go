package store

import "crypto/rand"

// NewWriterID returns a writer ID for New that is unique across processes and
// restarts.
func NewWriterID(instance string) string {
	return instance + "-" + rand.Text()
}
