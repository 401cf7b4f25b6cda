package pool

import (
	"maps"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// maxOrderDelay bounds how long after it was sent a worker may carry out an order
// that it left without an answer. The platform states "seconds"; its days delay
// orders by 2 to 12 s.
const maxOrderDelay = 12 * time.Second

// unansweredOrders tracks the orders to one worker that request a lease and may
// still be carried out. The zero value is ready to use.
type unansweredOrders struct {
	nextID int
	open   map[int]time.Duration // when each order was sent that waits for its answer
	// uncertainAt is when the latest order was sent whose answer was lost.
	uncertainAt time.Duration
	uncertain   bool // an answer was lost
	// overtakenAt is when the latest order was sent that was left without an answer while
	// the worker answered a later one. It may be under way for maxOrderDelay.
	overtakenAt time.Duration
	overtaken   bool // there was such an order
	// starts holds when the last start of a run was sent whose answer was lost.
	starts map[runKey]time.Duration
}

// sent records an order and returns its ID.
func (u *unansweredOrders) sent(now time.Duration) int {
	if u.open == nil {
		u.open = map[int]time.Duration{}
	}
	u.nextID++
	u.open[u.nextID] = now
	return u.nextID
}

// done records the end of an order's call. An order that failed may be carried out
// later, unless err says that it had no effect.
func (u *unansweredOrders) done(id int, err error) {
	sentAt, found := u.open[id]
	delete(u.open, id)
	if found && err != nil && !fault.NoEffect(err) {
		u.uncertainAt, u.uncertain = max(u.uncertainAt, sentAt), true
	}
}

// latest returns when the latest order was sent that may still be carried out, and
// false if there is none.
func (u *unansweredOrders) latest() (time.Duration, bool) {
	at, found := u.uncertainAt, u.uncertain
	for _, sentAt := range u.open {
		at, found = max(at, sentAt), true
	}
	return at, found
}

// answered records the answer to a call that was sent at sentAt.
func (u *unansweredOrders) answered(sentAt time.Duration) {
	if u.uncertain && u.uncertainAt < sentAt {
		u.overtakenAt, u.overtaken = u.uncertainAt, true
	}
}

// longestLeaseUntil returns the time by which any lease must have expired that a worker
// granted to an order without an answer, 0 if there are none. The worker may have
// restarted by then, and limits the lease only to maxLease. An order to a worker that has
// answered nothing since arrived at once or not at all.
func (u *unansweredOrders) longestLeaseUntil(maxLease time.Duration) time.Duration {
	until := time.Duration(0)
	if sentAt, ok := u.latest(); ok {
		until = sentAt + orderTimeout + lasting(maxLease)
	}
	if u.overtaken {
		until = max(until, u.overtakenAt+maxOrderDelay+lasting(maxLease))
	}
	return until
}

// startUncertain records a start, sent at sentAt, that may be carried out later. It drops
// those for which that time is over.
func (u *unansweredOrders) startUncertain(key runKey, sentAt time.Duration) {
	if u.starts == nil {
		u.starts = map[runKey]time.Duration{}
	}
	maps.DeleteFunc(u.starts, func(_ runKey, at time.Duration) bool { return sentAt-at > maxOrderDelay })
	u.starts[key] = sentAt
}

// uncertainStarts returns the runs whose starts may still be carried out at now.
func (u *unansweredOrders) uncertainStarts(now time.Duration) []runKey {
	var out []runKey
	for key, sentAt := range u.starts {
		if now-sentAt <= maxOrderDelay {
			out = append(out, key)
		}
	}
	return out
}
