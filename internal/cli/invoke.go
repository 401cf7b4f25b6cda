package cli

import (
	"context"

	"connectrpc.com/connect"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// method is a method of the generated client.
type method[Req, Res any] = func(api, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// invoke makes an idempotent call and returns its answer.
func invoke[Req, Res any](ctx context.Context, a *app, req *Req, m method[Req, Res]) (*Res, error) {
	var out *Res
	c := newClient(a.common.servers.orDefault())
	p := retryPolicy{rounds: callRounds, idempotent: true, timeout: a.common.timeout}
	err := c.call(ctx, p, func(ctx context.Context, s api) error {
		res, err := m(s, ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// read makes a read-only call and returns its answer. A lost answer is
// fault.Unavailable and not fault.Uncertain, since the call has no effect.
func read[Req, Res any](ctx context.Context, a *app, req *Req, m method[Req, Res]) (*Res, error) {
	out, err := invoke(ctx, a, req, m)
	if fault.Is(err, fault.Uncertain) && ctx.Err() == nil {
		err = fault.Wrap(fault.Unavailable, "no instance answered", err)
	}
	return out, err
}
