package capacity

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// workersPerRack is the number of workers in a rack.
const workersPerRack = 6

// stubWorkers answers for every worker and keeps nothing, so that only the
// caller's own state and time are measured.
type stubWorkers struct {
	workers []structs.Worker
	// succeed makes renewals report that tasks succeeded, lost that workers
	// can't be reached.
	succeed, lost atomic.Bool
	// hold is how long each call takes; peak is the most at once.
	hold                            time.Duration
	inFlight, peak                  atomic.Int64
	reserves, starts, renews, frees atomic.Int64
}

var _ port.Workers = (*stubWorkers)(nil)

func newStubWorkers(domain string, n, accelerators int) *stubWorkers {
	s := &stubWorkers{}
	for i := range n {
		rack := fmt.Sprintf("%s-r%03d", domain, i/workersPerRack)
		s.workers = append(s.workers, structs.Worker{
			ID:           fmt.Sprintf("%s-w%d", rack, i%workersPerRack),
			Domain:       domain,
			Rack:         rack,
			Accelerators: accelerators,
			Cores:        64,
			MemoryBytes:  128 << 30,
			Address:      "10.0.0.1:7000",
			State:        structs.StateLive,
		})
	}
	return s
}

// List returns copies that share nothing, as a decoder's would.
func (s *stubWorkers) List(context.Context) ([]structs.Worker, error) {
	out := make([]structs.Worker, len(s.workers))
	for i, w := range s.workers {
		w.ID = strings.Clone(w.ID)
		w.Domain = strings.Clone(w.Domain)
		w.Rack = strings.Clone(w.Rack)
		w.Address = strings.Clone(w.Address)
		out[i] = w
	}
	return out, nil
}

func (s *stubWorkers) answer(calls *atomic.Int64) error {
	s.raise(s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	time.Sleep(s.hold)
	calls.Add(1)
	if s.lost.Load() {
		return fault.New(fault.Unavailable, "worker is lost")
	}
	return nil
}

// Reserve implements port.Workers.
func (s *stubWorkers) Reserve(context.Context, structs.Worker, structs.LeaseID, int, time.Duration) error {
	return s.answer(&s.reserves)
}

// Renew implements port.Workers.
func (s *stubWorkers) Renew(_ context.Context, _ structs.Worker, ids []structs.LeaseID, _ time.Duration) ([]structs.LeaseStatus, error) {
	if err := s.answer(&s.renews); err != nil {
		return nil, err
	}
	state := structs.TaskRunning
	if s.succeed.Load() {
		state = structs.TaskSucceeded
	}
	out := make([]structs.LeaseStatus, len(ids))
	for i, id := range ids {
		out[i] = structs.LeaseStatus{Lease: id, State: state}
	}
	return out, nil
}

// Start implements port.Workers.
func (s *stubWorkers) Start(context.Context, structs.Worker, structs.LeaseID, []byte, string) error {
	return s.answer(&s.starts)
}

// calls counts what the workers were asked.
func (s *stubWorkers) calls() int64 {
	return s.reserves.Load() + s.starts.Load() + s.renews.Load() + s.frees.Load()
}

func (s *stubWorkers) raise(n int64) {
	for {
		peak := s.peak.Load()
		if n <= peak || s.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

// Checkpoint implements port.Workers.
func (s *stubWorkers) Checkpoint(context.Context, structs.Worker, structs.LeaseID, string) error {
	return s.answer(&s.starts)
}

// Throttle implements port.Workers.
func (s *stubWorkers) Throttle(context.Context, structs.Worker, structs.LeaseID, int) error {
	return s.answer(&s.starts)
}

// Release implements port.Workers.
func (s *stubWorkers) Release(context.Context, structs.Worker, []structs.LeaseID) error {
	return s.answer(&s.frees)
}

// noPeers is a set of links without any.
type noPeers struct {
	// hint is called with the failure domain of each notice.
	hint func(domain string)
}

// Broadcast implements port.Peers.
func (p noPeers) Broadcast(m port.PeerMessage) {
	if m.Notice != nil && p.hint != nil {
		p.hint(m.Notice.Domain)
	}
}

// Send implements port.Peers.
func (noPeers) Send(context.Context, string, port.PeerMessage) error {
	return fault.New(fault.Unavailable, "no link")
}

// Live implements port.Peers.
func (noPeers) Live() []port.PeerInfo { return nil }

// Instances implements config.Members.
func (noPeers) Instances() []string { return nil }

// noObserver counts nothing.
type noObserver struct{}

// GangStarted implements gangs.Observer.
func (noObserver) GangStarted(structs.Class, time.Duration) {}

// AttemptStopped implements gangs.Observer.
func (noObserver) AttemptStopped() {}

// JobEnded implements gangs.Observer.
func (noObserver) JobEnded(structs.JobState) {}

// LeaseRenewalFailed implements gangs.Observer.
func (noObserver) LeaseRenewalFailed() {}

// GuaranteesUnmet implements gangs.Observer.
func (noObserver) GuaranteesUnmet(string, int) {}
