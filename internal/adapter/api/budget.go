package api

import (
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// unsizedBytes is what a message of unknown length counts for.
const unsizedBytes = 1 << 20

// LimitBytes returns a handler that refuses messages with fault.Overloaded,
// before their body is read, while those in progress hold limit bytes.
func LimitBytes(next http.Handler, limit int64) http.Handler {
	b := &byteBudget{next: next, limit: limit, refusal: connect.NewErrorWriter()}
	return b
}

type byteBudget struct {
	next    http.Handler
	limit   int64
	held    atomic.Int64
	refusal *connect.ErrorWriter
}

// ServeHTTP implements http.Handler.
func (b *byteBudget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := r.ContentLength
	if size < 0 {
		size = unsizedBytes
	}
	defer b.held.Add(-size)
	if b.held.Add(size) > b.limit {
		// The caller may be gone; there is nobody else to tell.
		_ = b.refusal.Write(w, r, asConnect(fault.New(fault.Overloaded, "this instance holds too many bytes of requests")))
		return
	}
	b.next.ServeHTTP(w, r)
}
