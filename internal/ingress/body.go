package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// firstBlockBytes and blockBytes are the sizes of the first and of the other
	// blocks in which a body is received. Bytes are reserved by block.
	firstBlockBytes = 1 << 10
	blockBytes      = 16 << 10
)

// blocks reuses the blocks of closed bodies, so that clients that are refused in large
// numbers don't produce garbage.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// Body is a body in memory. Close must be called.
type Body struct {
	gate   *Gate
	remote string
	entry  *entry
	abort  func()

	first    []byte
	rest     []*[blockBytes]byte
	size     int64
	isClosed bool
	// memory is the processing memory from which cost bytes are taken.
	memory *sharedMemory
	cost   int64
}

// Size returns the number of bytes received.
func (b *Body) Size() int64 { return b.size }

// Count returns how many of the bytes equal c.
func (b *Body) Count(c byte) int {
	n := 0
	b.each(func(part []byte) { n += bytes.Count(part, []byte{c}) })
	return n
}

// each calls f with the parts of the body in order.
func (b *Body) each(f func([]byte)) {
	left := b.size
	part := b.first[:min(left, int64(len(b.first)))]
	f(part)
	left -= int64(len(part))
	for _, block := range b.rest {
		part := block[:min(left, blockBytes)]
		f(part)
		left -= int64(len(part))
	}
}

// Text waits until cost bytes of memory are free for decoding and processing the body
// and returns its content. A cost above all of that memory counts as all of it, so that
// the largest body is processed alone. Text fails with a *fault.RetryError of code
// fault.Unavailable if ctx ends first.
func (b *Body) Text(ctx context.Context, cost int64) ([]byte, error) {
	memory := b.gate.processing
	if b.size <= smallBodyBytes && cost <= b.gate.small.size {
		memory = b.gate.small
	}
	return b.text(ctx, memory, cost)
}

func (b *Body) text(ctx context.Context, memory *sharedMemory, cost int64) ([]byte, error) {
	cost = min(cost, memory.size)
	if err := memory.Acquire(ctx, cost); err != nil {
		if !errors.Is(err, context.Canceled) { // the caller is gone
			b.gate.refuse(ReasonProcessing, b.remote, b.size)
		}
		return nil, errExhausted
	}
	b.memory, b.cost = memory, cost
	text := make([]byte, 0, b.size)
	b.each(func(part []byte) { text = append(text, part...) })
	b.free()
	return text, nil
}

// decodedShare is the divisor of the processing memory that a decoded body keeps: the
// result is smaller than the text, the buffers and the garbage of decoding together.
const decodedShare = 4

// Decoded returns the memory that only decoding took.
func (b *Body) Decoded() { b.keep(b.cost / decodedShare) }

// Processed returns all memory that Text took. The content then counts elsewhere.
func (b *Body) Processed() { b.keep(0) }

func (b *Body) keep(cost int64) {
	if b.memory != nil && cost < b.cost {
		b.memory.Release(b.cost - cost)
		b.cost = cost
	}
}

// Close returns all memory of the body. It may be called more than once.
func (b *Body) Close() {
	b.free()
	b.Processed()
}

// free returns the blocks and their bytes.
func (b *Body) free() {
	if b.isClosed {
		return
	}
	b.isClosed = true
	for _, block := range b.rest {
		blocks.Put(block)
	}
	b.first, b.rest = nil, nil
	b.gate.close(b)
}

// receive reads r to its end.
func (b *Body) receive(r io.Reader) error {
	for {
		into, err := b.space()
		if err != nil {
			return err
		}
		n, err := r.Read(into)
		b.size += int64(n)
		if errors.Is(err, io.EOF) {
			if !b.gate.complete(b) {
				return errExhausted
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// space returns the unused part of the last block, or of a new one.
func (b *Body) space() ([]byte, error) {
	if b.first == nil {
		if err := b.gate.reserve(b, firstBlockBytes); err != nil {
			return nil, err
		}
		b.first = make([]byte, firstBlockBytes)
	}
	if b.size < firstBlockBytes {
		return b.first[b.size:], nil
	}
	used := b.size - firstBlockBytes
	if used == int64(len(b.rest))*blockBytes {
		if err := b.gate.reserve(b, blockBytes); err != nil {
			return nil, err
		}
		b.rest = append(b.rest, blocks.Get().(*[blockBytes]byte))
	}
	return b.rest[len(b.rest)-1][used%blockBytes:], nil
}

// failure returns the typed error for a body that wasn't received whole.
func (b *Body) failure(err error) error {
	switch {
	case b.wasAborted():
		return errExhausted // counted when it was aborted
	case errors.Is(err, errExhausted):
		return errExhausted
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		b.gate.refuse(ReasonStalled, b.remote, b.size)
		return errStalled
	}
	return fault.Wrap(fault.Invalid, "the body can't be read", err)
}

// Message is a message of a link that is being received.
type Message struct {
	// Remote names the peer in log lines.
	Remote string
	Reader io.Reader
	// Abort makes Reader fail.
	Abort func()
	// Cost is the memory that decoding takes, as a multiple of the size.
	Cost int64
}

// Read reads a message whole and calls decode with it, while the memory for decoding
// is reserved. It fails with the errors of Receive and Text.
func (g *Gate) Read(ctx context.Context, m Message, decode func([]byte)) error {
	b := g.open(m.Remote, m.Abort)
	defer b.Close()
	if err := b.receive(m.Reader); err != nil {
		return b.failure(err)
	}
	text, err := b.text(ctx, b.gate.links, m.Cost*b.size)
	if err != nil {
		return err
	}
	decode(text)
	return nil
}

// progress makes a connection's reads fail once no byte arrives for stallTimeout, or at
// the deadline.
type progress struct {
	io.Reader
	conn     *Conn
	deadline time.Time
}

// Read implements io.Reader.
func (p *progress) Read(into []byte) (int, error) {
	due := time.Now().Add(stallTimeout)
	if p.deadline.Before(due) {
		due = p.deadline
	}
	p.conn.setReadDeadline(due)
	return p.Reader.Read(into)
}
