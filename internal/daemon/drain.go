package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// notReadyGrace is how long at least a draining instance still accepts
	// requests, so that the load balancer can see that it isn't ready. It accepts
	// them longer if the handover takes longer.
	notReadyGrace = 2 * time.Second
	// drainPollInterval is the time between two checks of the work in flight.
	drainPollInterval = 20 * time.Millisecond
)

func (d *Daemon) isDraining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// drain shuts the instance down gracefully. Requests in flight are limited by
// their own deadlines only. The handover timeout bounds the handover and, once
// more, the wait for outcomes to be recorded.
func (d *Daemon) drain(server *http.Server) {
	d.drainOnce.Do(func() { close(d.draining) })
	d.log.Info("drain_started", zap.Int("requests_held", d.requests.Held()))
	d.session.Drain()
	grace := time.NewTimer(notReadyGrace)
	defer grace.Stop()
	d.handOver()
	<-grace.C
	d.shuttingDown.Store(true)
	// Shutdown closes the listener and waits for all handlers to return.
	if err := server.Shutdown(context.Background()); err != nil {
		d.log.Error("shutdown_failed", zap.Error(err))
	}
	d.awaitRequests()
	d.awaitOutcomes()
}

func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.HandoverTimeoutMillis.Duration())
	defer cancel()
	if err := d.ownership.Release(ctx); err != nil {
		d.log.Warn("handover_incomplete", zap.Error(err))
	}
}

func (d *Daemon) awaitRequests() {
	for d.requests.Held() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// awaitOutcomes waits until the outcomes are stored in the table, at most for
// the handover timeout. Other instances report outcomes that aren't stored by
// then as unknown.
func (d *Daemon) awaitOutcomes() {
	deadline := time.Now().Add(d.settings.Drain.HandoverTimeoutMillis.Duration())
	for d.claims.Unresolved() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
