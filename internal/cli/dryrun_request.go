package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
)

// dryRunRequest asks what would happen to a request, and prints the answer. It fails with a
// *reportedError if the request would be rejected.
func (a *app) dryRunRequest(ctx context.Context, f *requestFlags) error {
	body, err := f.body.read(a.stdin)
	if err != nil {
		return err
	}
	if err := f.check(); err != nil {
		return err
	}
	if f.id == "" {
		f.id = newID("req")
	}
	query := dryrun.RequestQuery{Workspace: f.workspace, Service: f.service, RequestID: f.id, TimeoutMs: f.deadline.Milliseconds(), BodyBytes: int64(len(body))}
	var answer dryrun.RequestAnswer
	if err := a.askDryRun(ctx, a.common.servers.orDefault(), dryrun.RequestPath, query, &answer); err != nil {
		return err
	}
	if a.common.json {
		a.printJSON(a.stdout, &answer)
	} else {
		a.printRequestAnswer(&answer)
	}
	if answer.Verdict == dryrun.Refused {
		return &reportedError{exit: ExitRefused, code: answer.Refusal.Code}
	}
	return nil
}

func (a *app) printRequestAnswer(answer *dryrun.RequestAnswer) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(a.stdout, format, args...) }
	switch answer.Verdict {
	case dryrun.Refused:
		printRefusal(printf, answer.Refusal)
	case dryrun.Dispatch:
		printf("would be dispatched to %s\n", answer.Server)
	case dryrun.Queue:
		printf("would be queued\n")
	}
	switch answer.Cause {
	case dryrun.NoServer:
		printf("  no server has a free slot for it\n")
	case dryrun.LongLimit:
		printf("  requests that aren't short occupy all %d slots that this instance may use for them\n", answer.LongSlots)
	}
	switch {
	case answer.Ahead == nil || answer.ExpectedWaitMs == nil || answer.Verdict == dryrun.Dispatch:
	case *answer.Ahead == 0:
		printf("  none ahead in the workspace, no forecast of the time until a slot is free\n")
	default:
		printf("  %d ahead in the workspace, expected wait for them %v\n", *answer.Ahead, millis(*answer.ExpectedWaitMs))
	}
	if answer.TimeoutMs > 0 {
		printf("  class %s, answer due in %v\n", answer.Class, millis(answer.TimeoutMs))
	}
	printServers(printf, answer.Servers)
	printf("decided by %s, configuration of ticket %d\n", answer.Instance, answer.ConfigNumber)
}

// printServers prints the servers by the reason that they aren't used.
func printServers(printf func(string, ...any), servers []dryrun.Server) {
	byReason := make(map[string][]string)
	for _, s := range servers {
		text := s.ID
		if s.RemainingMs > 0 {
			text += " for " + millis(s.RemainingMs).String()
		}
		byReason[s.Reason] = append(byReason[s.Reason], text)
	}
	reasons := make([]string, 0, len(byReason))
	for reason := range byReason {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		list := byReason[reason]
		slices.Sort(list)
		if reason == "" {
			reason = "usable"
		}
		printf("  %s: %s\n", reason, strings.Join(list, ", "))
	}
}
