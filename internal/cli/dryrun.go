package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// dryRunFlags are the flags of explain that ask an instance about a job that isn't
// submitted, or about a request that isn't sent.
type dryRunFlags struct {
	job       string
	isRequest bool
	isSubmit  bool
	queue     string
	request   requestFlags
	// submit has the flags that request lacks.
	submit submitFlags
}

// count returns how many kinds of queries are asked for.
func (f *dryRunFlags) count() int {
	n := 0
	for _, set := range []bool{f.job != "", f.isRequest, f.isSubmit} {
		if set {
			n++
		}
	}
	return n
}

func (f *dryRunFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.job, "job", "", "ask where the submission in a `file` would be placed now, - for stdin")
	fs.StringVar(&f.queue, "queue", "", "with -job: host and prefix of the `queue`, such as app.example/jobs/")
	fs.BoolVar(&f.isRequest, "request", false, "ask which backend server a request would be sent to now")
	fs.BoolVar(&f.isSubmit, "submit", false, "ask where a job of submit would be placed now")
	fs.StringVar(&f.request.workspace, "workspace", "", "`workspace` of the caller; empty for an anonymous one with -job")
	fs.StringVar(&f.request.service, "service", "", "with -request or -submit: `name` of the service")
	fs.StringVar(&f.request.id, "id", "", "`ID` of the job or request. With -job, the time after which to retry depends on it")
	fs.DurationVar(&f.request.deadline, "deadline", 0, "with -request: time until the answer is due; 0 means the service's deadline")
	f.request.body.register(fs, "body", "with -request: body of the request, of which only the size is sent,")
	f.submit.registerGang(fs)
}

// dryRunJob asks where a job would be placed, and prints the answer.
func (a *app) dryRunJob(ctx context.Context, f *dryRunFlags) error {
	if err := errors.Join(require("queue", f.queue), require("server", a.common.servers.String())); err != nil {
		return fault.Wrap(fault.Invalid, "a query about a job needs a queue and a server", err)
	}
	body, err := readInput(a.stdin, f.job)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return fault.New(fault.Invalid, f.job+" isn't JSON")
	}
	query := dryrun.Request{Queue: f.queue, Workspace: f.request.workspace, ID: f.request.id, Job: body}
	var answer dryrun.Answer
	if err := a.askDryRun(ctx, a.common.servers.addresses, dryrun.Path, query, &answer); err != nil {
		return err
	}
	return a.printDryRun(&answer)
}

// askDryRun asks the first of the servers that can answer.
func (a *app) askDryRun(ctx context.Context, servers []string, path string, query, answer any) error {
	text, err := json.Marshal(query)
	if err != nil {
		return fault.Wrap(fault.Invalid, "encode the query", err)
	}
	client := &http.Client{Timeout: a.common.timeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
	}}
	for _, address := range servers {
		err = postDryRun(ctx, client, address, path, text, answer)
		if ctx.Err() != nil {
			return &interruptedError{}
		}
		if err == nil || !mayTryNextServer(err, retryPolicy{idempotent: true}) {
			break
		}
	}
	var retry *fault.RetryError
	if errors.As(err, &retry) {
		exit, _ := classify(err)
		return &commandError{exit: exit, cause: err, hint: "ask again after " + retry.RetryAfter.String()}
	}
	return err
}

// postDryRun asks an instance. It fails with the instance's error, or with
// fault.Unavailable if there is no valid answer, since a query has no effect.
func postDryRun(ctx context.Context, client *http.Client, address, path string, query []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(query))
	if err != nil {
		return fault.Wrap(fault.Internal, "build request", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unavailable, "no answer from "+address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(fault.Unavailable, "answer of "+address+" is incomplete", err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, answer); err != nil {
			return fault.Wrap(fault.Unavailable, "answer of "+address, err)
		}
		return nil
	}
	var failure dryrun.Failure
	if err := json.Unmarshal(text, &failure); err != nil || failure.Code == "" {
		return fault.New(fault.Unavailable, address+" doesn't answer such queries (status "+strconv.Itoa(resp.StatusCode)+"); -job needs the address of an instance's listener for peers, -request that for callers")
	}
	return failure.Err()
}

// printDryRun prints an answer. It fails with a *reportedError if the job would be refused.
func (a *app) printDryRun(answer *dryrun.Answer) error {
	if a.common.json {
		a.printJSON(a.stdout, answer)
	} else {
		a.printDryRunText(answer)
	}
	if answer.Verdict == dryrun.Refused {
		return &reportedError{exit: ExitRefused, code: answer.Refusal.Code}
	}
	return nil
}

func (a *app) printDryRunText(answer *dryrun.Answer) {
	w := tabwriter.NewWriter(a.stdout, 0, 2, 2, ' ', 0)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	switch answer.Verdict {
	case dryrun.Refused:
		printRefusal(printf, answer.Refusal)
	case dryrun.Start, dryrun.Preempt, dryrun.Wait:
		printf("would %s: %d of %d tasks have a place\n", answer.Verdict, answer.Placed, answer.Tasks)
	}
	if answer.Cause != "" {
		printf("  %s: %s\n", answer.Cause, answer.Detail)
	}
	if len(answer.EvacuatedDomains) > 0 {
		printf("  evacuated: %s\n", strings.Join(answer.EvacuatedDomains, ", "))
	}
	if answer.ExpectedEndMs > 0 {
		late := "in time"
		if answer.ExpectedEndMs > answer.ObjectiveMs {
			late = "late"
		}
		printf("  expected end in %v, objective %v: %s\n", millis(answer.ExpectedEndMs), millis(answer.ObjectiveMs), late)
	}
	for _, p := range answer.Workers {
		printf("  %s\track %s\tdomain %s\t%d tasks\ttime factor %.2f\n", p.ID, p.Rack, p.Domain, p.Tasks, p.TimeFactor)
	}
	for _, v := range answer.Victims {
		printf("  stops %s\tpriority %d\ton %s\tcost %.1f core-seconds\n", v.Job, v.Priority, strings.Join(v.Workers, ", "), v.Cost)
	}
	a.printBasis(printf, &answer.Basis)
	_ = w.Flush() // like all output, lost if stdout is closed
}

func printRefusal(printf func(string, ...any), refusal *dryrun.Failure) {
	printf("would be refused: %s: %s\n", refusal.Code, refusal.Message)
	for _, p := range refusal.Problems {
		printf("  %s: %s, allowed: %s\n", p.Path, p.Value, p.Allowed)
	}
	if refusal.RetryAfterMs > 0 {
		printf("  retry after %v\n", millis(refusal.RetryAfterMs))
	}
}

func (a *app) printBasis(printf func(string, ...any), b *dryrun.Basis) {
	printf("checked by %s, replica %v old, configuration %v", b.Instance, millis(b.ReplicaAgeMs), millis(b.ConfigAgeMs))
	if b.ForecastAgeMs != nil {
		printf(", forecast %v", millis(*b.ForecastAgeMs))
	}
	printf("\n")
	if b.Owner != "" {
		printf("decided by %s, epoch %d", b.Owner, b.Epoch)
		if b.PlanAgeMs != nil {
			printf(", last plan %v ago", millis(*b.PlanAgeMs))
		}
		printf("\n")
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
