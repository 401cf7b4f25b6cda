package api

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// slowDeps answers requests only after release is closed.
type slowDeps struct {
	*fakeDeps
	entered chan struct{}
	release chan struct{}
}

func (s *slowDeps) Do(ctx context.Context, req structs.Request) (structs.Result, error) {
	s.entered <- struct{}{}
	<-s.release
	return structs.Result{Outcome: structs.OutcomeDone, Answer: req.Body}, nil
}

// serveLimited starts a server whose calls may hold heldLimit bytes. Decoding takes all
// of the processing memory, so that only one message is decoded at a time.
func serveLimited(t *testing.T, requests Requests, deps *fakeDeps, heldLimit int64, options ...connect.ClientOption) (lentilwinchv1connect.SchedulerServiceClient, string) {
	gate := ingress.New(ingress.Limits{ReceivingBytes: 64 << 20, ProcessingBytes: 4}, zap.NewNop(), func(ingress.Reason) {})
	mux := http.NewServeMux()
	path, handler := New(requests, deps, deps, deps, deps, Limits{Timeout: time.Second, MaxBodyBytes: testMaxBodyBytes}).Handler()
	mux.Handle(path, LimitBytes(handler, gate, MaxMessageBytes(testMaxBodyBytes), heldLimit))
	l, err := gate.Listen(t.Context(), "127.0.0.1:0", 100)
	must.NoError(t, err)
	server := gate.Server(mux, time.Minute)
	go func() { _ = server.Serve(l) }() // returns ErrServerClosed
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		must.NoError(t, server.Shutdown(context.Background()), must.Sprint("waits for the connections of refused calls"))
	})
	url := "http://" + l.Addr().String()
	return lentilwinchv1connect.NewSchedulerServiceClient(client, url, options...), url
}

func TestMessagesOfAllProtocolsPassTheLimits(t *testing.T) {
	for name, options := range map[string][]connect.ClientOption{
		"connect":  nil,
		"json":     {connect.WithProtoJSON()},
		"grpc web": {connect.WithGRPCWeb()},
		"gzip":     {connect.WithSendGzip()},
	} {
		t.Run(name, func(t *testing.T) {
			deps := new(fakeDeps)
			client, _ := serveLimited(t, deps, deps, 64<<20, options...)
			body := bytes.Repeat([]byte("x"), 100_000)
			resp, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: body}))
			must.NoError(t, err)
			must.True(t, bytes.Equal(body, resp.Msg.GetAnswer()))
		})
	}
}

// The code is that of connect for messages above its own limit.
func TestTooLargeMessageIsRefused(t *testing.T) {
	deps := new(fakeDeps)
	client, _ := serveLimited(t, deps, deps, 64<<20)
	body := make([]byte, MaxMessageBytes(testMaxBodyBytes)+framingBytes)
	_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: body}))
	must.Eq(t, connect.CodeResourceExhausted, connect.CodeOf(err))
	must.SliceEmpty(t, deps.requests)
}

// Calls that wait for their outcome hold their messages. They must not keep others from
// being decoded, and together not exceed the limit.
func TestWaitingCallsHoldTheirMessages(t *testing.T) {
	deps := new(fakeDeps)
	slow := &slowDeps{deps, make(chan struct{}), make(chan struct{})}
	client, _ := serveLimited(t, slow, deps, 2500)
	call := func() error {
		_, err := client.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: make([]byte, 1000)}))
		return err
	}
	results := make(chan error, 2)
	for range 2 {
		go func() { results <- call() }()
		<-slow.entered
	}
	must.Eq(t, string(fault.Overloaded), detailOf(t, call()).GetCode())
	close(slow.release)
	must.NoError(t, <-results)
	must.NoError(t, <-results)
	go func() { <-slow.entered }()
	must.NoError(t, call())
}

// A compressed message counts as the largest permitted one, so that a few take all memory
// of the calls in progress but what is reserved for small messages.
func TestLargeMessagesLeaveMemoryToSmallOnes(t *testing.T) {
	deps := new(fakeDeps)
	slow := &slowDeps{deps, make(chan struct{}), make(chan struct{})}
	const large = 3
	client, url := serveLimited(t, slow, deps, (large+1)*int64(MaxMessageBytes(testMaxBodyBytes)))
	release := sync.OnceFunc(func() { close(slow.release) })
	t.Cleanup(release)
	compressing := lentilwinchv1connect.NewSchedulerServiceClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, url, connect.WithSendGzip())
	results := make(chan error, large+1)
	call := func(c lentilwinchv1connect.SchedulerServiceClient) {
		_, err := c.Request(t.Context(), connect.NewRequest(&lentilwinchv1.RequestRequest{Body: make([]byte, 1000)}))
		results <- err
	}
	for range large {
		go call(compressing)
		<-slow.entered
	}
	go call(compressing)
	select {
	case <-slow.entered:
		t.Fatal("large messages took the memory of small ones")
	case err := <-results:
		must.Eq(t, string(fault.Overloaded), detailOf(t, err).GetCode())
	}
	go call(client)
	select {
	case <-slow.entered:
	case err := <-results:
		t.Fatal(err)
	}
	release()
	for range large + 1 {
		must.NoError(t, <-results)
	}
}

func TestUnknownProcedureIsRefusedWithoutItsBody(t *testing.T) {
	deps := new(fakeDeps)
	_, url := serveLimited(t, deps, deps, 64<<20)
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Post(url+"/lentilwinch.v1.SchedulerService/None", "application/proto", strings.NewReader("x"))
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusNotFound, resp.StatusCode)
	must.True(t, resp.Close)
}
