package platform

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
)

// method is a unary method of a generated connect client.
type method[Req, Resp any] func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call calls m with a timeout and maps its error with op.mapError.
func call[Req, Resp any](
	ctx context.Context,
	op operation,
	timeout time.Duration,
	m method[Req, Resp],
	req *Req,
) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, tracked := httpclient.Track(ctx)
	resp, err := m(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, op.mapError(tracked, err)
	}
	return resp.Msg, nil
}
