package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/reflect/protoreflect"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
)

const (
	// receiveTimeout bounds the time to receive a message from a slow sender.
	receiveTimeout = 30 * time.Second
	// processingTimeout bounds the wait for the memory to process a message. Callers
	// wait 3 s by default.
	processingTimeout = 2500 * time.Millisecond
	// framingBytes bounds what a message has beyond its limit: the envelope of gRPC.
	framingBytes = 16
	// messageCost is the memory that decoding a message takes, as a multiple of its
	// size: the text, connect's buffer, which is doubled as it fills, and the result.
	messageCost = 5
	// smallMessageBytes is the size up to which messages may take all of the memory of
	// messages in progress, and smallHeldShare the divisor of the part that larger ones
	// leave to them.
	smallMessageBytes = 16 << 10
	smallHeldShare    = 4
	// ticketCost is messageCost for a ticket. One of 1 MiB of empty workspaces took 25
	// MB, most of it for the problems that are reported.
	ticketCost = 32
)

// LimitBytes returns a handler that receives messages of up to maxMessageBytes under
// the bounds of the gate before it passes them on. The messages that are being
// processed are bounded to heldLimit bytes in total until their calls return, a quarter of
// which only small messages may take. A message that exceeds a bound is rejected with
// fault.Overloaded; nothing was done for it. A larger message than the bound is processed
// while there is no other large one.
func LimitBytes(next http.Handler, gate *ingress.Gate, maxMessageBytes, heldLimit int64) http.Handler {
	return &byteBudget{
		next: next, gate: gate, maxMessage: maxMessageBytes, errorWriter: connect.NewErrorWriter(),
		held: newHeldBytes(heldLimit),
	}
}

type byteBudget struct {
	next        http.Handler
	gate        *ingress.Gate
	maxMessage  int64
	held        *heldBytes
	errorWriter *connect.ErrorWriter
}

// ServeHTTP implements http.Handler.
func (b *byteBudget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isProcedure(r.URL.Path) {
		http.NotFound(w, r)
		return
	}
	if r.Method != http.MethodPost {
		b.next.ServeHTTP(w, r) // which refuses it or has no body
		return
	}
	body, err := b.gate.Receive(w, r, b.maxMessage+framingBytes, time.Now().Add(receiveTimeout))
	if err != nil {
		b.refuse(w, r, err)
		return
	}
	defer body.Close()
	size := body.Size()
	if isCompressed(r.Header) {
		size = b.maxMessage // which connect enforces for the decompressed message
	}
	release, ok := b.held.tryAcquire(size)
	if !ok {
		b.refuse(w, r, fault.New(fault.Overloaded, "the requests in progress exceed the byte limit of this instance"))
		return
	}
	defer release()
	cost := int64(messageCost)
	if r.URL.Path == lentilwinchv1connect.SchedulerServiceApplyProcedure {
		cost = ticketCost
	}
	waitCtx, cancel := context.WithTimeout(r.Context(), processingTimeout)
	text, err := body.Text(waitCtx, cost*size)
	cancel()
	if err != nil {
		b.refuse(w, r, err)
		return
	}
	r = r.WithContext(context.WithValue(r.Context(), decodedKey{}, sync.OnceFunc(body.Processed)))
	r.Body = &textReader{text}
	r.ContentLength = int64(len(text))
	b.next.ServeHTTP(w, r)
}

// heldBytes bounds the messages that are being processed.
type heldBytes struct {
	limit, largeLimit int64
	all, large        *semaphore.Weighted
}

func newHeldBytes(limit int64) *heldBytes {
	large := limit - limit/smallHeldShare
	return &heldBytes{limit: limit, largeLimit: large, all: semaphore.NewWeighted(limit), large: semaphore.NewWeighted(large)}
}

// tryAcquire takes the bytes of a message if they are free. The caller must call release
// if ok is set.
func (h *heldBytes) tryAcquire(size int64) (release func(), ok bool) {
	isLarge := size > smallMessageBytes
	if isLarge {
		size = min(size, h.largeLimit)
		if !h.large.TryAcquire(size) {
			return nil, false
		}
	}
	free := func() {
		if isLarge {
			h.large.Release(size)
		}
	}
	if !h.all.TryAcquire(size) {
		free()
		return nil, false
	}
	return func() {
		h.all.Release(size)
		free()
	}, true
}

// refuse rejects a message of which nothing was done.
func (b *byteBudget) refuse(w http.ResponseWriter, r *http.Request, err error) {
	out := toConnectError(err)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		// The code that connect uses for a message above its limit. There is no detail
		// with a fault code, as sending the message again doesn't help.
		out = connect.NewError(connect.CodeResourceExhausted, err)
	case fault.Is(err, fault.Unavailable):
		out = toConnectError(fault.Wrap(fault.Overloaded, "the message was not taken", err))
		w.Header().Set("Retry-After", "1")
	}
	// The error is ignored because the caller may have disconnected.
	_ = b.errorWriter.Write(w, r, out)
}

// textReader reads a text and drops it at its end, because calls may wait for their
// outcome for much longer than their message is needed.
type textReader struct {
	left []byte
}

// Read implements io.Reader.
func (t *textReader) Read(into []byte) (int, error) {
	if len(t.left) == 0 {
		t.left = nil
		return 0, io.EOF
	}
	n := copy(into, t.left)
	t.left = t.left[n:]
	return n, nil
}

// Close implements io.Closer.
func (t *textReader) Close() error {
	t.left = nil
	return nil
}

// isProcedure reports whether path is one of the service's procedures.
func isProcedure(path string) bool {
	service := lentilwinchv1.File_lentilwinch_v1_scheduler_proto.Services().ByName("SchedulerService")
	name, ok := strings.CutPrefix(path, "/"+string(service.FullName())+"/")
	return ok && service.Methods().ByName(protoreflect.Name(name)) != nil
}

type decodedKey struct{}

// decoded returns the memory for decoding the message of a call whose handler keeps it
// for longer. It counts as held until the call returns.
func decoded(ctx context.Context) {
	if release, ok := ctx.Value(decodedKey{}).(func()); ok {
		release()
	}
}

func isCompressed(h http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Grpc-Encoding", "Connect-Content-Encoding"} {
		if v := h.Get(name); v != "" && v != "identity" {
			return true
		}
	}
	return false
}
