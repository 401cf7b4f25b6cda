package api

import (
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// unknownLengthBytes is the size assumed for a message of unknown length.
const unknownLengthBytes = 1 << 20

// LimitBytes returns a handler that bounds the total size of the messages in
// progress to limit bytes. It rejects a message that would exceed it with
// fault.Overloaded before the body is read. A message counts with its
// Content-Length or, without one, with unknownLengthBytes. A compressed message or
// one of unknown length may therefore need more memory than it counts for.
func LimitBytes(next http.Handler, limit int64) http.Handler {
	b := &byteBudget{next: next, limit: limit, errorWriter: connect.NewErrorWriter()}
	return b
}

type byteBudget struct {
	next        http.Handler
	limit       int64
	heldBytes   atomic.Int64
	errorWriter *connect.ErrorWriter
}

// ServeHTTP implements http.Handler.
func (b *byteBudget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := r.ContentLength
	if size < 0 {
		size = unknownLengthBytes
	}
	defer b.heldBytes.Add(-size)
	if b.heldBytes.Add(size) > b.limit {
		// The error is ignored because the caller may have disconnected.
		_ = b.errorWriter.Write(w, r, toConnectError(fault.New(fault.Overloaded, "the requests in progress exceed the byte limit of this instance")))
		return
	}
	b.next.ServeHTTP(w, r)
}
