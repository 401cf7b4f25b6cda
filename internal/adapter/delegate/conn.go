package delegate

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ring"
)

// receiver reads a message whole and decodes it. abort makes the message's reader fail.
type receiver func(ctx context.Context, m io.Reader, abort func(), decode func([]byte)) error

// receiveAll is the receiver of links that this instance dials.
func receiveAll(_ context.Context, m io.Reader, _ func(), decode func([]byte)) error {
	data, err := io.ReadAll(m)
	if err == nil {
		decode(data)
	}
	return err
}

// conn reads and writes frames on a WebSocket connection. Items wait in a bounded
// ring and are written in batches.
type conn[T any] struct {
	ws       *websocket.Conn
	outgoing *ring.Ring[T]
	// batchDelay is how long the writer waits for more items after the first one.
	batchDelay time.Duration
	now        func() time.Duration
	receive    receiver
	// fill adds a batch to a frame.
	fill func(*frame, []T)
	// greets is set if this side sends the first frame.
	greets bool
}

func newConn[T any](ws *websocket.Conn, name string, receive receiver, capacity int, batchDelay time.Duration, now func() time.Duration, fill func(*frame, []T)) *conn[T] {
	ws.SetReadLimit(maxFrameBytes)
	return &conn[T]{ws: ws, outgoing: ring.New[T](name, capacity), batchDelay: batchDelay, now: now, receive: receive, fill: fill}
}

// run reads frames into handle and writes the outgoing items, until either fails or
// ctx ends, and returns the cause. It closes the connection. The context of handle
// ends with run.
func (c *conn[T]) run(ctx context.Context, handle func(context.Context, *frame)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { cancel(c.write(ctx)) })
	cancel(c.read(ctx, handle))
	// The peer may not answer a closing handshake, so there is none.
	_ = c.ws.CloseNow()
	wg.Wait()
	return context.Cause(ctx)
}

// read reads frames until it fails. Frames are due at least every linkTimeout.
func (c *conn[T]) read(ctx context.Context, handle func(context.Context, *frame)) error {
	for {
		readCtx, cancel := context.WithTimeout(ctx, linkTimeout)
		f, err := c.readFrame(readCtx, cancel)
		cancel()
		if err != nil {
			return err
		}
		handle(ctx, f)
	}
}

// readFrame reads one frame. cancel ends ctx.
func (c *conn[T]) readFrame(ctx context.Context, cancel func()) (f *frame, err error) {
	kind, m, err := c.ws.Reader(ctx)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "read from link", err)
	}
	if kind != websocket.MessageBinary {
		return nil, fault.New(fault.Invalid, "the peer sent a text message")
	}
	var decodeErr error
	if err := c.receive(ctx, m, cancel, func(data []byte) { f, decodeErr = decodeFrame(data) }); err != nil {
		return nil, fault.Wrap(fault.Unavailable, "read from link", err)
	}
	return f, decodeErr
}

// write writes the outgoing items, and a heartbeat when there are none.
func (c *conn[T]) write(ctx context.Context) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	batch := make([]T, 0, maxBatch)
	if c.greets {
		if err := c.send(ctx, nil); err != nil {
			return err
		}
	}
	for {
		batch = batch[:0]
		select {
		case item := <-c.outgoing.C():
			batch = append(batch, item)
			if c.batchDelay > 0 && c.outgoing.Len() == 0 {
				time.Sleep(c.batchDelay)
			}
			batch = c.outgoing.Drain(batch, maxBatch-1)
		case <-heartbeat.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := c.send(ctx, batch); err != nil {
			return err
		}
	}
}

// send writes a frame with a batch.
func (c *conn[T]) send(ctx context.Context, batch []T) error {
	f := frame{SentAt: c.now()}
	c.fill(&f, batch)
	data, err := encodeFrame(&f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fault.Wrap(fault.Unavailable, "write to link", err)
	}
	return nil
}
