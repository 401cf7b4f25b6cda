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
	// roundWait is the first pause before all servers are tried again.
	roundWait    = 200 * time.Millisecond
	roundWaitMax = 2 * time.Second
	// maxAnswerBytes bounds one message from a server.
	maxAnswerBytes = 80 << 20
	// callRounds is how often a call without risk goes through all servers.
	callRounds = 3
)

type api = lentilwinchv1connect.SchedulerServiceClient

// policy says how a call may be tried again.
type policy struct {
	// rounds bounds how often all servers are tried.
	rounds int
	// idempotent permits another try after one that may have taken effect.
	idempotent bool
	// timeout bounds one try; 0 leaves it to the call's context.
	timeout time.Duration
}

// client calls the first of its servers that can serve.
type client struct {
	targets []target
}

type target struct {
	address string
	api     api
}

func newClient(addresses []string) *client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		// A connection that has been idle may have gone silent.
		DisableKeepAlives: true,
	}
	httpClient := &http.Client{Transport: transport}
	c := &client{}
	for _, address := range addresses {
		service := lentilwinchv1connect.NewSchedulerServiceClient(
			httpClient, "http://"+address, connect.WithReadMaxBytes(maxAnswerBytes))
		c.targets = append(c.targets, target{address: address, api: service})
	}
	return c
}

// call runs try against one server after the other until one answers.
//
// A try that may have taken effect is only followed by another when the policy
// calls it idempotent. The failure returned is fault.Uncertain when any try
// may have taken effect and no server said otherwise since.
func (c *client) call(ctx context.Context, p policy, try func(context.Context, api) error) error {
	pause := newRoundBackOff()
	var last error
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
			if !movesOn(err, p) {
				return err
			}
			last = moreUncertain(last, err)
		}
	}
	return last
}

// try makes one call and returns its typed failure.
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

// movesOn reports whether the next server may be tried.
func movesOn(err error, p policy) bool {
	switch fault.CodeOf(err) {
	case fault.Unavailable, fault.NotReady, fault.Draining:
		return true
	case fault.Uncertain:
		return p.idempotent
	default:
		return false
	}
}

// moreUncertain returns the failure that claims less.
func moreUncertain(a, b error) error {
	if fault.Is(a, fault.Uncertain) {
		return a
	}
	return b
}

func newRoundBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = roundWait
	b.MaxInterval = roundWaitMax
	return b
}
