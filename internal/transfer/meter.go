// Package transfer measures responses while they arrive, so that the caller of an
// operation can tell a long transfer from a silent server.
package transfer

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Meter counts the bytes of the responses to an operation. It is safe for concurrent use.
type Meter struct {
	parent             *Meter // counts them, too; may be nil
	startedAt          time.Time
	received, expected atomic.Int64
	lastAt             atomic.Int64 // when the last bytes arrived, in nanoseconds after epoch
}

// epoch is a time to which others are relative, by the monotonic clock.
var epoch = time.Now()

type meterKey struct{}

// With returns a context whose operations report to a new meter, and to that of ctx.
func With(ctx context.Context) (context.Context, *Meter) {
	m := &Meter{parent: from(ctx), startedAt: time.Now()}
	return context.WithValue(ctx, meterKey{}, m), m
}

// from returns the meter of ctx, nil if it has none.
func from(ctx context.Context) *Meter {
	m, _ := ctx.Value(meterKey{}).(*Meter)
	return m
}

// Received returns the number of bytes that have arrived.
func (m *Meter) Received() int64 { return m.received.Load() }

// Since returns the time since the last bytes arrived, and reports whether any have.
func (m *Meter) Since() (time.Duration, bool) {
	if m.Received() == 0 {
		return 0, false
	}
	return time.Since(epoch.Add(time.Duration(m.lastAt.Load()))), true
}

// Receiving returns the time from the start of the operation to the last bytes that arrived,
// 0 if none have.
func (m *Meter) Receiving() time.Duration {
	since, arrived := m.Since()
	if !arrived {
		return 0
	}
	return time.Since(m.startedAt) - since
}

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
	if n > 0 {
		now := int64(time.Since(epoch))
		for m := r.meter; m != nil; m = m.parent {
			m.lastAt.Store(now)
			m.received.Add(int64(n))
		}
	}
	return n, err
}
