package pool

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

type eventKind int

// Kinds of events for the owner's loop, with the event fields that each one sets.
const (
	evReport               eventKind = iota + 1 // session, incarnation, sentAt, reply: a worker reported its runs and results
	evRestarted                                 // session, incarnation: the worker has restarted
	evUnreachable                               // session: the worker has become unreachable
	evContactBroken                             // session: a hold failed after one that was answered
	evFirstFailure                              // session: a hold at the worker failed for the first time
	evStartAnswered                             // session, incarnation, order, rejected, resent: a start was answered
	evStartUnanswered                           // session, order: a start was not answered
	evStartWithdrawn                            // session, order: a start wasn't sent, its failure domain is evacuated
	evStopConfirmed                             // session, incarnation, order: a stop was confirmed
	evWorkersListed                             // workers, complete, readAt: the registry's workers or changes to them
	evCommitDone                                // commit: a transaction finished
	evJobRemoved                                // job: the rows of an ended job were removed
	evPolicyAnswered                            // policy: the policy service answered or failed
	evCaughtUp                                  // err: the replica holds what the previous owner stored, or catching up failed
	evRecordsRead                               // commit: the replica holds a transaction with placements
	evJobsRead                                  // sentAt, err: the replica holds all jobs that were stored by then, or reading failed
	evTry                                       // try: a dry run was asked for
	evEarlyStartsAnnounced                      // commit, complete: early starts were announced, or the announcement withdrawn if complete is set, or the write failed
)

// event is one message to the owner's loop.
type event struct {
	kind        eventKind
	session     *session
	incarnation int // number of the worker's incarnation, 0 for the first or if not set
	sentAt      time.Duration
	reply       port.HoldReply
	order       planner.Order
	rejected    port.StartRejection
	resent      bool // an earlier copy of the start got no answer
	workers     []port.WorkerChange
	readAt      time.Duration // when the response with workers arrived
	complete    bool          // workers is the whole list, or all placements are stored
	commit      commitResult
	job         string
	policy      policyResult
	try         *tryQuery
	err         error
}
