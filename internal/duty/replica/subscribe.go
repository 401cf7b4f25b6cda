package replica

// Subscription reports which jobs with a row for a pool were added or cancelled, turned out
// to belong to the pool or to another one, or have a row by the owner of another epoch that
// changed.
type Subscription struct {
	replica *Replica
	pool    string
	epoch   int64
	ids     []string // guarded by replica.mu
	signal  chan struct{}
}

// Subscribe returns a new subscription to a pool's jobs for the owner of an epoch. It
// doesn't report jobs that the replica already holds. The caller must close it.
func (r *Replica) Subscribe(pool string, epoch int64) *Subscription {
	s := &Subscription{replica: r, pool: pool, epoch: epoch, signal: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs[s] = struct{}{}
	r.decodeAll()
	r.Hurry()
	return s
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	delete(s.replica.subs, s)
}

// wake signals the subscriber if there are jobs to take. The replica's lock must be
// held.
func (s *Subscription) wake() {
	if len(s.ids) == 0 {
		return
	}
	select {
	case s.signal <- struct{}{}:
	default: // a signal is already pending
	}
}

// C returns a channel that is signaled when Take has jobs to return.
func (s *Subscription) C() <-chan struct{} { return s.signal }

// Take returns the jobs to report since the last call. A full
// read of the table counts every job as added again. A job may be returned more than
// once, always in its current state.
func (s *Subscription) Take() []JobView {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	var out []JobView
	taken := make(map[string]bool, len(s.ids))
	for _, id := range s.ids {
		if j := s.replica.jobs[id]; j != nil && !taken[id] {
			out = append(out, *j)
			taken[id] = true
		}
	}
	s.ids = nil
	return out
}
