package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// dryRunSubmit asks where a job would be placed, and prints the answer. It fails with a
// *reportedError if the job would be rejected or can't run.
func (a *app) dryRunSubmit(ctx context.Context, f *dryRunFlags) error {
	flags := &f.submit
	flags.workspace, flags.id, flags.service = f.request.workspace, f.request.id, f.request.service
	payload, err := flags.payload.read(a.stdin)
	if err != nil {
		return err
	}
	if flags.id == "" {
		flags.id = newID("job")
	}
	spec, err := flags.spec(nil)
	if err != nil {
		return err
	}
	query := dryrun.Submission{
		Workspace: spec.GetWorkspace(), JobID: spec.GetJobId(), Members: flags.members, Accelerators: flags.accelerators,
		Adjacency: spec.GetAdjacency(), Class: spec.GetClass(), Preemptible: spec.GetPreemptible(), DeclaredRunMs: spec.GetDeclaredRunMs(),
		Domain: spec.GetDomain(), Service: spec.GetService(), PayloadBytes: int64(len(payload)),
	}
	var answer dryrun.SubmissionAnswer
	if err := a.askDryRun(ctx, a.common.servers.orDefault(), dryrun.SubmissionPath, query, &answer); err != nil {
		return err
	}
	if a.common.json {
		a.printJSON(a.stdout, &answer)
	} else {
		a.printSubmissionAnswer(&answer)
	}
	switch answer.Verdict {
	case dryrun.Refused:
		return &reportedError{exit: ExitRefused, code: answer.Refusal.Code}
	case dryrun.Unplaceable:
		return &reportedError{exit: ExitRefused, code: fault.Unplaceable}
	default:
		return nil
	}
}

func (a *app) printSubmissionAnswer(answer *dryrun.SubmissionAnswer) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(a.stdout, format, args...) }
	switch answer.Verdict {
	case dryrun.Refused:
		printRefusal(printf, answer.Refusal)
	case dryrun.Unplaceable:
		printf("can't run in %s: %s\n", answer.Domain, answer.Reason)
	case dryrun.Start, dryrun.Preempt, dryrun.Wait:
		printf("would %s in %s\n", answer.Verdict, answer.Domain)
		if answer.Reason != "" {
			printf("  %s\n", answer.Reason)
		}
	}
	if answer.Borrowed {
		printf("  beyond the guarantees of the workspace\n")
	}
	for _, p := range answer.Places {
		printf("  %s  rack %s\n", p.Worker, p.Rack)
	}
	for _, v := range answer.Victims {
		printf("  stops %s\n", v)
	}
	if answer.Domain != "" {
		printf("  %d other jobs wait there\n", answer.Waiting)
	}
	if len(answer.UnusableWorkers) > 0 {
		printf("  get no work: %s\n", strings.Join(answer.UnusableWorkers, ", "))
	}
	printf("decided by %s, configuration of ticket %d\n", answer.Instance, answer.ConfigNumber)
}
