package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// lameDuck is how long an instance that is no longer ready still accepts
	// requests, for the balancer to notice.
	lameDuck = 2 * time.Second
	// heldPoll is the time between two looks at what is in flight.
	heldPoll = 20 * time.Millisecond
)

func (d *Daemon) isDraining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// drain makes the planned stop. Only deadlines of their own end requests in
// flight.
func (d *Daemon) drain(server *http.Server) {
	d.drainOnce.Do(func() { close(d.draining) })
	d.log.Info("drain_started", zap.Int("requests_held", d.requests.Held()))
	d.session.Drain()
	lame := time.NewTimer(lameDuck)
	defer lame.Stop()
	d.handOver()
	<-lame.C
	d.shuttingDown.Store(true)
	// Shutdown closes the listener and waits for every handler.
	if err := server.Shutdown(context.Background()); err != nil {
		d.log.Error("shutdown_failed", zap.Error(err))
	}
	d.awaitHeld()
	d.awaitRecorded()
}

func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.HandoverTimeoutMillis.Duration())
	defer cancel()
	if err := d.ownership.Release(ctx); err != nil {
		d.log.Warn("handover_incomplete", zap.Error(err))
	}
}

func (d *Daemon) awaitHeld() {
	for d.requests.Held() > 0 {
		time.Sleep(heldPoll)
	}
}

// awaitRecorded waits for outcomes to reach the table, within the same bound
// as the handover. What is left is found as unknown by others.
func (d *Daemon) awaitRecorded() {
	deadline := time.Now().Add(d.settings.Drain.HandoverTimeoutMillis.Duration())
	for d.claims.Unsettled() > 0 && time.Now().Before(deadline) {
		time.Sleep(heldPoll)
	}
}
