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

const workersPerRack = 6

// stubWorkers is a stub of all workers. It stores no leases, so that only the
// caller's own memory and time are measured.
type stubWorkers struct {
	workers []structs.Worker
	// succeed makes renewals report that tasks succeeded. unreachable makes all
	// calls fail.
	succeed, unreachable atomic.Bool
	// callDelay is the duration of each call. peak is the largest number of
	// concurrent calls.
	callDelay                          time.Duration
	inFlight, peak                     atomic.Int64
	reserves, starts, renews, releases atomic.Int64
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

// List returns workers that share no memory with earlier results, like decoded
// ones.
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

// call simulates a call to a worker and counts it in calls.
func (s *stubWorkers) call(calls *atomic.Int64) error {
	s.recordPeak(s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	time.Sleep(s.callDelay)
	calls.Add(1)
	if s.unreachable.Load() {
		return fault.New(fault.Unavailable, "worker is unreachable")
	}
	return nil
}

// Reserve implements port.Workers.
func (s *stubWorkers) Reserve(context.Context, structs.Worker, structs.LeaseID, int, time.Duration) error {
	return s.call(&s.reserves)
}

// Renew implements port.Workers.
func (s *stubWorkers) Renew(_ context.Context, _ structs.Worker, ids []structs.LeaseID, _ time.Duration) ([]structs.LeaseStatus, error) {
	if err := s.call(&s.renews); err != nil {
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
	return s.call(&s.starts)
}

// calls returns the number of calls that change a lease or its task. starts also
// counts checkpoint and throttle calls.
func (s *stubWorkers) calls() int64 {
	return s.reserves.Load() + s.starts.Load() + s.renews.Load() + s.releases.Load()
}

func (s *stubWorkers) recordPeak(n int64) {
	for {
		peak := s.peak.Load()
		if n <= peak || s.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

// Checkpoint implements port.Workers.
func (s *stubWorkers) Checkpoint(context.Context, structs.Worker, structs.LeaseID, string) error {
	return s.call(&s.starts)
}

// Throttle implements port.Workers.
func (s *stubWorkers) Throttle(context.Context, structs.Worker, structs.LeaseID, int) error {
	return s.call(&s.starts)
}

// Release implements port.Workers.
func (s *stubWorkers) Release(context.Context, structs.Worker, []structs.LeaseID) error {
	return s.call(&s.releases)
}

// noPeers is a peer set without links.
type noPeers struct {
	// onNotice is called with the failure domain of each notice.
	onNotice func(domain string)
}

// Broadcast implements port.Peers.
func (p noPeers) Broadcast(m port.PeerMessage) {
	if m.Notice != nil && p.onNotice != nil {
		p.onNotice(m.Notice.Domain)
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

// noObserver ignores all observations.
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
