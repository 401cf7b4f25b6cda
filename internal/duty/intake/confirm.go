package intake

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// confirmInterval is the least time between two reads that confirm refusals. It bounds
	// them to five a second for an instance, where the store serves thousands for all. Of the
	// three seconds that callers wait it is less than a tenth.
	confirmInterval = 200 * time.Millisecond
	// confirmTimeout bounds a confirmation. A caller whose refusal isn't confirmed still has
	// more than half of its three seconds for the commit.
	confirmTimeout = time.Second
)

// confirmation is a read of the store's version, which the replica then has to reach. A job
// that the replica lacks afterwards wasn't stored when the read was sent. One confirmation
// serves all submissions that arrived before that, whatever their number.
type confirmation struct {
	submissions int           // that joined
	done        chan struct{} // closed at the end
	err         error         // valid once done is closed
}

// confirmations shares confirmations among submissions that are about to be refused. The
// load that it answers is a flood of them, which must not become a flood of reads.
type confirmations struct {
	mu     sync.Mutex
	next   *confirmation // whose read hasn't been sent yet, nil if there is none
	nextAt time.Duration // the earliest time of the next read
}

// confirmAbsent reports whether the job certainly wasn't stored when it was called. It
// returns false if that can't be found out in time.
func (in *Intake) confirmAbsent(ctx context.Context, job *work.Job) bool {
	if !in.replica.Absent(job.ID) {
		return false
	}
	c := in.joinConfirmation(ctx, job.Pool)
	select {
	case <-c.done:
		return c.err == nil && in.replica.Absent(job.ID)
	case <-ctx.Done():
		return false
	}
}

// joinConfirmation returns the confirmation whose read is sent next, and begins it if there
// is none. It reads a row of the first caller's pool. Any row would do, as versions are the
// store's; if that pool's partition is down, no submission of this round is refused.
func (in *Intake) joinConfirmation(ctx context.Context, pool string) *confirmation {
	k := &in.confirmations
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.next == nil {
		now := in.deps.Now()
		at := max(k.nextAt, now)
		k.next, k.nextAt = &confirmation{done: make(chan struct{})}, at+confirmInterval
		// The caller that begins it may give up before the others.
		go in.confirm(context.WithoutCancel(ctx), k.next, pool, at-now)
	}
	k.next.submissions++
	return k.next
}

// confirm carries a confirmation out after a delay, and logs its failure.
func (in *Intake) confirm(ctx context.Context, c *confirmation, pool string, delay time.Duration) {
	defer close(c.done)
	_ = wait.For(ctx, delay) // ctx doesn't end
	k := &in.confirmations
	k.mu.Lock()
	k.next = nil
	submissions := c.submissions
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	key := replica.PoolKey(pool, replica.EpochKey)
	_, version, err := in.store.Scan(ctx, key.Table, key.Partition, key.Key, key.Key+"\x00")
	if err == nil {
		in.replica.Hurry()
		err = in.replica.Await(ctx, version)
	}
	if c.err = err; err != nil {
		in.log.Info(EventUnconfirmed, zap.String("pool", pool), zap.Int("submissions", submissions), zap.Error(err))
	}
}
