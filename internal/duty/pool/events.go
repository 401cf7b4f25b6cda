package pool

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

type eventKind int

// What the owner's loop is told, and the fields of an event that go with it.
const (
	evReport      eventKind = iota + 1 // session, life, sentAt, reply: a worker listed its runs and ends
	evReborn                           // session, life: the worker began a new life
	evUnreachable                      // session: the worker fell silent
	evTried                            // session: the worker's first answer is missing
	evStarted                          // session, life, order, rejected: a start was answered
	evUnanswered                       // session, order: a start got no answer
	evStopped                          // session, life, order: a stop was confirmed
	evWorkers                          // workers, whole: the registry
	evStored                           // stored: a transaction ended
	evRemoved                          // job: an ended job's rows were removed
	evAdvised                          // advice: the policy service answered or failed
	evCaughtUp                         // err: the copy holds what a former owner stored
	evAnnounced                        // err: a bypass was announced
)

// event is one message to the owner's loop.
type event struct {
	kind     eventKind
	session  *session
	life     int // of the session's worker, as heard; 0 where no answer tells
	sentAt   time.Duration
	reply    port.HoldReply
	order    planner.Order
	rejected port.Rejection
	workers  []port.WorkerChange
	whole    bool // workers is the whole list
	stored   storedResult
	job      string
	advice   adviceResult
	err      error
}
