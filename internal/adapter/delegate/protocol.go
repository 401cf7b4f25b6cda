// Package delegate lets a pool's owner call its workers through other instances,
// its delegates. The owner's Client sends calls over one WebSocket link to each
// delegate, as batches in CBOR; the delegate's Server carries them out and returns
// the replies.
//
// A delegate decides nothing and keeps no state between calls: order numbers,
// leases and fencing tokens are the owner's. A call whose reply is lost is as
// uncertain as one that the owner sent itself.
package delegate

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Path is the HTTP path of the delegates' endpoint.
const Path = "/calls/v2"

const (
	// maxFrameBytes limits a frame. A start carries a specification of up to 4,000
	// bytes, a hold's reply up to 500 results.
	maxFrameBytes = 4 << 20
	// maxBatch limits the calls or replies of a frame, and with it the time for which
	// a large batch occupies a link.
	maxBatch = 128
	// heartbeatInterval is the longest pause between two frames in each direction.
	heartbeatInterval = 200 * time.Millisecond
	// linkTimeout is how long a link may be silent before it is replaced. It is below
	// the 900 ms after which a worker without contact gets no more starts.
	linkTimeout = 650 * time.Millisecond
)

// frame is one message of a link. An empty one is a heartbeat. A link opens with a
// heartbeat of the owner, which the delegate answers with a reply to greetingID: the
// delegate has then read a frame in time, by which it judges the delay of others.
type frame struct {
	_ struct{} `cbor:",toarray"`
	// SentAt is when the frame was written, on a clock of the sender that counts
	// suspension.
	SentAt  time.Duration
	Calls   []call
	Replies []reply
}

// greetingID is the ID of the reply to the first frame. Calls have higher IDs.
const greetingID = 0

// call is one call to a worker. Exactly one of Start, Stop and Hold is set.
type call struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Target port.WorkerTarget
	// Timeout is the time for which the owner waits for the reply.
	Timeout time.Duration
	Start   *port.StartOrder
	Stop    *stopOrder
	Hold    *port.HoldRequest

	queuedAt time.Duration // on the owner's clock; not sent
}

type stopOrder struct {
	_            struct{} `cbor:",toarray"`
	Task         work.TaskID
	Run          int64
	FencingToken int64
}

// reply is the outcome of a call. Code is empty on success.
type reply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Code     fault.Code
	Message  string
	Clock    port.WorkerClock
	Rejected port.StartRejection
	Running  []runState
	Results  []runResult
	// Incomplete is that of port.HoldReply.
	Incomplete bool
}

type runState struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
	Run        int64
	Checkpoint string
	Percent    int
}

type runResult struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64
	Job        string
	Occurrence int
	Step       int
	Index      int
	Run        int64
	Kind       port.ResultKind
	Checkpoint string
}

// setHold sets the content of a hold's reply.
func (r *reply) setHold(h port.HoldReply) {
	r.Clock, r.Incomplete = h.Clock, h.Incomplete
	for _, s := range h.Running {
		r.Running = append(r.Running, runState{Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: s.Task.Step, Index: s.Task.Index,
			Run: s.Run, Checkpoint: s.Checkpoint, Percent: s.ProgressPercent})
	}
	for _, s := range h.Results {
		r.Results = append(r.Results, runResult{Sequence: s.Sequence, Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: s.Task.Step,
			Index: s.Task.Index, Run: s.Run, Kind: s.Kind, Checkpoint: s.Checkpoint})
	}
}

// hold returns the content of a hold's reply.
func (r *reply) hold() port.HoldReply {
	h := port.HoldReply{Clock: r.Clock, Incomplete: r.Incomplete}
	for i := range r.Running {
		s := &r.Running[i]
		h.Running = append(h.Running, port.RunState{Task: work.TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index},
			Run: s.Run, Checkpoint: s.Checkpoint, ProgressPercent: s.Percent})
	}
	for i := range r.Results {
		s := &r.Results[i]
		h.Results = append(h.Results, port.RunResult{Sequence: s.Sequence, Kind: s.Kind, Run: s.Run, Checkpoint: s.Checkpoint,
			Task: work.TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index}})
	}
	return h
}

// err returns the error of a failed call, nil for success.
func (r *reply) err() error {
	if r.Code == "" {
		return nil
	}
	return fault.New(r.Code, r.Message)
}

const (
	maxNestedLevels  = 8
	maxArrayElements = 65536
)

// decMode bounds the memory that a malformed frame can take.
var decMode = mustMode(cbor.DecOptions{
	DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNestedLevels, MaxArrayElements: maxArrayElements,
	IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
}.DecMode())

var encMode = mustMode(cbor.CoreDetEncOptions().EncMode())

// mustMode returns a mode built from constant options, which can't fail.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeFrame(f *frame) ([]byte, error) {
	data, err := encMode.Marshal(f)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode frame", err)
	}
	return data, nil
}

// decodeFrame fails with fault.Invalid for anything but a frame whose calls each
// have exactly one order and a positive timeout.
func decodeFrame(data []byte) (*frame, error) {
	var f frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return nil, fault.Wrap(fault.Invalid, "decode frame", err)
	}
	for i := range f.Calls {
		c := &f.Calls[i]
		orders := 0
		for _, set := range [...]bool{c.Start != nil, c.Stop != nil, c.Hold != nil} {
			if set {
				orders++
			}
		}
		if orders != 1 || c.Timeout <= 0 {
			return nil, fault.New(fault.Invalid, "a call needs one order and a timeout")
		}
	}
	return &f, nil
}
