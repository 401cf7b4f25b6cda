package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	dialTimeout = 2 * time.Second
	// retryInterval is the initial delay before all servers are tried again,
	// before jitter, and the delay between two streams of a watch.
	retryInterval    = 200 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// maxResponseBytes bounds the size of one message from a server.
	maxResponseBytes = 80 << 20
	// callRounds is the number of times that an idempotent call tries all
	// servers.
	callRounds = 3
)

// api is the generated client of one server.
type api = lentilwinchv1connect.SchedulerServiceClient

// retryPolicy controls how a call is retried.
type retryPolicy struct {
	// rounds is the maximum number of times that all servers are tried.
	rounds int
	// idempotent permits a retry after a try that may have taken effect.
	idempotent bool
	// timeout bounds one try; 0 means that only the call's context does.
	timeout time.Duration
}

// client calls the first of its servers that can serve the call.
type client struct {
	targets []target
}

// target is a server and the client for it.
type target struct {
	address string
	api     api
}

func newClient(addresses []string) *client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		// The peer of an idle connection may have disappeared without closing it.
		DisableKeepAlives: true,
	}
	httpClient := &http.Client{Transport: transport}
	c := &client{}
	for _, address := range addresses {
		service := lentilwinchv1connect.NewSchedulerServiceClient(
			httpClient, "http://"+address, connect.WithReadMaxBytes(maxResponseBytes))
		c.targets = append(c.targets, target{address: address, api: service})
	}
	return c
}

// call runs try against one server after the other until one answers, at most
// p.rounds times around. It fails with *interruptedError if ctx ends.
//
// A try that may have taken effect is followed by another only if the policy
// is idempotent. Otherwise the error is fault.Uncertain if any try may have taken
// effect and no later server gave a definite answer.
func (c *client) call(ctx context.Context, p retryPolicy, try func(context.Context, api) error) error {
	pause := newRetryBackOff()
	var resultErr error
	sent := false
	for round := range p.rounds {
		if round > 0 && wait.For(ctx, pause.NextBackOff()) != nil {
			return &interruptedError{sent: sent}
		}
		for _, t := range c.targets {
			err := t.try(ctx, p.timeout, try)
			if err == nil {
				return nil
			}
			sent = sent || fault.Is(err, fault.Uncertain)
			if ctx.Err() != nil {
				return &interruptedError{sent: sent}
			}
			if !mayTryNextServer(err, p) {
				return err
			}
			resultErr = lessCertain(resultErr, err)
		}
	}
	return resultErr
}

// try makes one call and returns a *fault.Error if it fails.
func (t target) try(ctx context.Context, timeout time.Duration, call func(context.Context, api) error) error {
	if timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = bounded
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	err := call(httptrace.WithClientTrace(ctx, trace), t.api)
	if err == nil {
		return nil
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return decodeFault(err, t.address, sent.Load())
}

// mayTryNextServer reports whether the call may be tried at the next server
// after err.
func mayTryNextServer(err error, p retryPolicy) bool {
	switch fault.CodeOf(err) {
	case fault.Unavailable, fault.NotReady, fault.Draining:
		return true
	case fault.Uncertain:
		return p.idempotent
	default:
		return false
	}
}

// lessCertain returns a if it is fault.Uncertain, else b. A later server that is
// unavailable doesn't make an uncertain outcome certain.
func lessCertain(a, b error) error {
	if fault.Is(a, fault.Uncertain) {
		return a
	}
	return b
}

func newRetryBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInterval
	b.MaxInterval = maxRetryInterval
	return b
}
