// Package transfer measures responses while they arrive, so that the caller of an
// operation can tell a long transfer from a silent server.
package transfer

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// Meter counts the bytes of the responses to an operation. The zero value is ready to use.
// It is safe for concurrent use.
type Meter struct {
	parent             *Meter // counts them, too; may be nil
	received, expected atomic.Int64
}

type meterKey struct{}

// With returns a context whose operations report to a new meter, and to that of ctx.
func With(ctx context.Context) (context.Context, *Meter) {
	m := &Meter{parent: from(ctx)}
	return context.WithValue(ctx, meterKey{}, m), m
}

// from returns the meter of ctx, nil if it has none.
func from(ctx context.Context) *Meter {
	m, _ := ctx.Value(meterKey{}).(*Meter)
	return m
}

// Received returns the number of bytes that have arrived.
func (m *Meter) Received() int64 { return m.received.Load() }

// String returns the bytes that have arrived and, if it is known, their full number.
func (m *Meter) String() string {
	if expected := m.expected.Load(); expected > 0 {
		return fmt.Sprintf("%d of %d bytes", m.Received(), expected)
	}
	return fmt.Sprintf("%d bytes", m.Received())
}

// Reader returns a reader of a response's body that reports to the meter of ctx. length is
// the body's length in bytes, negative if it isn't known.
func Reader(ctx context.Context, body io.Reader, length int64) io.Reader {
	m := from(ctx)
	if m == nil {
		return body
	}
	for p := m; p != nil && length > 0; p = p.parent {
		p.expected.Add(length)
	}
	return &reader{body, m}
}

type reader struct {
	io.Reader
	meter *Meter
}

// Read implements io.Reader.
func (r *reader) Read(into []byte) (int, error) {
	n, err := r.Reader.Read(into)
	for m := r.meter; m != nil; m = m.parent {
		m.received.Add(int64(n))
	}
	return n, err
}
