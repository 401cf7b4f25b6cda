package intake

import (
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Caller is a caller that may use a queue.
type Caller struct {
	Queue *work.Queue
	// Workspace is the workspace of the caller's key, "" for an anonymous caller.
	Workspace string
	key       string
}

var (
	errKeysUnconfirmed = &fault.RetryError{RetryAfter: outageRetryAfter,
		Err: fault.New(fault.Unavailable, "keys can't be confirmed, nothing was done")}
	errKeyReassigned = &fault.RetryError{RetryAfter: outageRetryAfter,
		Err: fault.New(fault.Unavailable, "the key has been given to another workspace, nothing was done")}
)

// Authorize returns the caller with a key on a queue. A queue that allows anonymous
// access admits callers with an unknown key or none to no workspace. Otherwise it
// fails with fault.Unauthenticated, or with a *fault.RetryError of code
// fault.Unavailable if the configuration is too old to accept keys. A configuration
// must be in force.
func (in *Intake) Authorize(q *work.Queue, key string) (Caller, error) {
	c := Caller{Queue: q, key: key}
	f := in.inForce.Load()
	confirmed := key == "" || in.accepts(f)
	if key != "" && confirmed {
		for _, w := range f.config.Workspaces {
			if slices.Contains(w.Keys, key) {
				c.Workspace = w.Name
				return c, nil
			}
		}
	}
	switch {
	case q.AllowAnonymous:
		return c, nil
	case !confirmed:
		return Caller{}, errKeysUnconfirmed
	}
	return Caller{}, fault.New(fault.Unauthenticated, "unknown key")
}

// verify checks the caller's key again after a wait, in which the key may have been
// withdrawn or the instance suspended. It fails with the errors of Authorize, and
// with one like it if the key has another workspace now. Unless the policy is
// limited, the check by Authorize stands.
func (in *Intake) verify(c Caller) error {
	if !in.deps.KeyPolicy().Limited() {
		return nil
	}
	now, err := in.Authorize(c.Queue, c.key)
	if err == nil && now.Workspace != c.Workspace {
		return errKeyReassigned
	}
	return err
}

// verifyDone is verify after a write that may have taken effect: its failures have
// the code fault.Uncertain, since nothing can be said of the caller's right to it.
func (in *Intake) verifyDone(c Caller) error {
	if err := in.verify(c); err != nil {
		return fault.Wrap(fault.Uncertain, "the key can't be confirmed after the write", err)
	}
	return nil
}
