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
// submitted.
type dryRunFlags struct {
	job     string
	request dryrun.Request
}

func (f *dryRunFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.job, "job", "", "ask where the submission in a `file` would be placed now, - for stdin")
	fs.StringVar(&f.request.Queue, "queue", "", "with -job: host and prefix of the `queue`, such as app.example/jobs/")
	fs.StringVar(&f.request.Workspace, "workspace", "", "with -job: `workspace` of the caller; empty for an anonymous one")
	fs.StringVar(&f.request.ID, "id", "", "with -job: `ID` of the job, which the time after which to retry depends on")
}

// dryRun asks the first of the servers that can answer, and prints the answer.
func (a *app) dryRun(ctx context.Context, f *dryRunFlags) error {
	if err := errors.Join(require("queue", f.request.Queue), require("server", a.common.servers.String())); err != nil {
		return fault.Wrap(fault.Invalid, "a query about a job needs a queue and a server", err)
	}
	body, err := readInput(a.stdin, f.job)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return fault.New(fault.Invalid, f.job+" isn't JSON")
	}
	f.request.Job = body
	query, err := json.Marshal(f.request)
	if err != nil {
		return fault.Wrap(fault.Invalid, "encode the query", err)
	}
	client := &http.Client{Timeout: a.common.timeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
	}}
	var answer *dryrun.Answer
	for _, address := range a.common.servers.addresses {
		answer, err = askDryRun(ctx, client, address, query)
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
	if err != nil {
		return err
	}
	return a.printDryRun(answer)
}

// askDryRun asks an instance. It fails with the instance's error, or with
// fault.Unavailable if there is no valid answer, since a query has no effect.
func askDryRun(ctx context.Context, client *http.Client, address string, query []byte) (*dryrun.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+dryrun.Path, bytes.NewReader(query))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "build request", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "no answer from "+address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "answer of "+address+" is incomplete", err)
	}
	if resp.StatusCode == http.StatusOK {
		answer := &dryrun.Answer{}
		if err := json.Unmarshal(text, answer); err != nil {
			return nil, fault.Wrap(fault.Unavailable, "answer of "+address, err)
		}
		return answer, nil
	}
	var failure dryrun.Failure
	if err := json.Unmarshal(text, &failure); err != nil || failure.Code == "" {
		return nil, fault.New(fault.Unavailable, address+" doesn't answer such queries (status "+strconv.Itoa(resp.StatusCode)+"); is it the address of an instance's listener for peers?")
	}
	return nil, failure.Err()
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
		printf("would be refused: %s: %s\n", answer.Refusal.Code, answer.Refusal.Message)
		for _, p := range answer.Refusal.Problems {
			printf("  %s: %s, allowed: %s\n", p.Path, p.Value, p.Allowed)
		}
		if answer.Refusal.RetryAfterMs > 0 {
			printf("  retry after %v\n", millis(answer.Refusal.RetryAfterMs))
		}
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
