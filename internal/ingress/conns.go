package ingress

import "time"

// connState is what a connection is doing.
type connState int

const (
	// connIdle means that no request is in progress.
	connIdle connState = iota
	// connNew means that the first request's header isn't complete yet.
	connNew
	// connReceiving means that a request's body is being received.
	connReceiving
	// connBusy means that a complete request is being processed, or that the
	// connection has become a link.
	connBusy
	// connSending means that the rest of a response is being sent.
	connSending
	// connClosing means that the last response has been written.
	connClosing
)

// stalledAge is the age from which a connection that is sending its header or body is
// closed before idle ones are. Ordinary callers send theirs within milliseconds; those
// that need longer are closed only if a listener's connections are exhausted.
const stalledAge = time.Second

// connInfo is a connection as the choice of a victim sees it.
type connInfo struct {
	state connState
	since time.Duration // when the state was entered
	// hasInput tells that the client has sent what the process hasn't handled yet.
	hasInput bool
}

// isUnhandled reports whether the process has to act next, not the client, to complete a
// request.
func (c connInfo) isUnhandled() bool {
	return c.hasInput && (c.state == connNew || c.state == connReceiving)
}

// chooseVictim returns the index of the connection to close for a new one, -1 if the
// new one has to be refused. It prefers connections that are closing anyway, then
// those that stall while the client has to send or to read, then idle ones, then any
// others for which the client has to; of each kind the oldest. It never chooses one whose
// request is being processed, or of which the process hasn't handled what has arrived.
func chooseVictim(conns []connInfo, now time.Duration) int {
	best, bestRank := -1, 0
	for i, c := range conns {
		if c.isUnhandled() {
			continue
		}
		rank := 0
		switch c.state {
		case connClosing:
			rank = 4
		case connNew, connReceiving, connSending:
			rank = 1
			if now-c.since >= stalledAge {
				rank = 3
			}
		case connIdle:
			rank = 2
		case connBusy:
			continue
		}
		if rank > bestRank || rank == bestRank && c.since < conns[best].since {
			best, bestRank = i, rank
		}
	}
	return best
}
