package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/adapter/query"
	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// maxDryRunBytes is the size of the largest query. It holds names, an ID and numbers.
	maxDryRunBytes = 4 << 10
	// dryRunTimeout bounds the wait for the body of a query, and that for the decision.
	dryRunTimeout = 2 * time.Second
	// dryRunCost is the memory that processing a query takes beyond its answer, as a
	// multiple of its size.
	dryRunCost = 16
	// maxDryRunTimeoutMs is the longest timeout passed on. Requests are due within an
	// hour, whatever their callers ask for.
	maxDryRunTimeoutMs = int64(24 * time.Hour / time.Millisecond)
)

// serveDryRun answers what would happen to a request now.
func (d *Daemon) serveDryRun(w http.ResponseWriter, r *http.Request) {
	var asked dryrun.RequestQuery
	err := d.readQuery(w, r, &asked)
	var answer dryrun.RequestAnswer
	if err == nil {
		answer, err = d.explainRequest(r.Context(), asked)
	}
	d.metrics.DryRun(string(answer.Verdict))
	d.log.Info("dry_run", zap.String("workspace", asked.Workspace), zap.String("service", asked.Service),
		zap.String("verdict", string(answer.Verdict)), zap.String("cause", string(answer.Cause)), zap.Error(err))
	if err := query.Respond(w, &answer, err); err != nil {
		d.log.Info("dry_run_not_answered", zap.Error(err))
	}
}

// readQuery decodes the body of a query. It fails with fault.Invalid, and with
// fault.Unavailable if the body can't be received.
func (d *Daemon) readQuery(w http.ResponseWriter, r *http.Request, into any) error {
	cost := func(b *ingress.Body) int64 { return dryRunCost * b.Size() }
	body, done, err := query.Read(d.ingress, w, r, maxDryRunBytes, dryRunTimeout, cost)
	defer done()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fault.Wrap(fault.Invalid, "the query can't be decoded", err)
	}
	return nil
}

// explainRequest answers a query. It fails with fault.NotReady while the instance doesn't
// know the configuration in force, as a request does, with fault.Invalid for a negative
// number, and with the errors of requests.Explain.
func (d *Daemon) explainRequest(ctx context.Context, asked dryrun.RequestQuery) (dryrun.RequestAnswer, error) {
	if err := d.Admit(); err != nil {
		return dryrun.RequestAnswer{}, err
	}
	for path, n := range map[string]int64{"timeout_ms": asked.TimeoutMs, "body_bytes": asked.BodyBytes} {
		if n < 0 {
			p := fault.Problem{Path: path, Value: strconv.FormatInt(n, 10), Allowed: "0 or more"}
			return dryrun.RequestAnswer{}, fault.InvalidDocument("query is refused", []fault.Problem{p})
		}
	}
	req := structs.Request{Key: structs.RequestKey{Workspace: asked.Workspace, ID: asked.RequestID}, Service: asked.Service}
	if asked.TimeoutMs > 0 {
		req.Deadline = time.Now().Add(time.Duration(min(asked.TimeoutMs, maxDryRunTimeoutMs)) * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, dryRunTimeout)
	defer cancel()
	answer, err := d.requests.Explain(ctx, req, asked.BodyBytes)
	answer.Instance = d.settings.InstanceID
	return answer, err
}
