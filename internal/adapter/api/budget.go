package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
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
	// ticketCost is messageCost for a ticket. One of 1 MiB of empty workspaces took 25
	// MB, most of it for the problems that are reported.
	ticketCost = 32
)

// LimitBytes returns a handler that receives messages of up to maxMessageBytes under
// the bounds of the gate before it passes them on. The messages that are being
// processed are bounded to heldLimit bytes in total until their calls return. A
// message that exceeds a bound is rejected with fault.Overloaded; nothing was done for
// it.
func LimitBytes(next http.Handler, gate *ingress.Gate, maxMessageBytes, heldLimit int64) http.Handler {
	return &byteBudget{next: next, gate: gate, maxMessage: maxMessageBytes, limit: heldLimit, errorWriter: connect.NewErrorWriter()}
}

type byteBudget struct {
	next        http.Handler
	gate        *ingress.Gate
	maxMessage  int64
	limit       int64
	heldBytes   atomic.Int64
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
	defer b.heldBytes.Add(-size)
	if b.heldBytes.Add(size) > b.limit {
		b.refuse(w, r, fault.New(fault.Overloaded, "the requests in progress exceed the byte limit of this instance"))
		return
	}
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
