package cli

import (
	"context"
	"flag"
	"math"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// jobsPageSize bounds the jobs that one ListJobs call returns.
const jobsPageSize = 200

// submitFlags holds the flags of submit.
type submitFlags struct {
	workspace    string
	id           string
	members      int
	accelerators int
	adjacency    string
	class        string
	preemptible  bool
	declaredRun  time.Duration
	domain       string
	service      string
	payload      input
	wait         bool
}

func (f *submitFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.workspace, "workspace", "", "`name` of the workspace")
	fs.StringVar(&f.id, "id", "", "job `ID`, unique in the workspace; generated if empty")
	fs.StringVar(&f.service, "service", "", "`name` of the service, for run time estimates")
	fs.BoolVar(&f.wait, "wait", false, "wait until the job has ended")
	f.registerGang(fs)
}

// registerGang registers the flags that explain has too, and that aren't those of a
// request.
func (f *submitFlags) registerGang(fs *flag.FlagSet) {
	fs.IntVar(&f.members, "members", 1, "members of the gang; all run at once or none")
	fs.IntVar(&f.accelerators, "accelerators", 1, "accelerators of each member")
	fs.StringVar(&f.adjacency, "adjacency", string(structs.AdjacencyRack), "how near members must run: worker, rack or domain")
	fs.StringVar(&f.class, "class", string(structs.ClassNormal), "urgent, normal or batch")
	fs.BoolVar(&f.preemptible, "preemptible", false, "may be checkpointed, stopped and moved")
	fs.DurationVar(&f.declaredRun, "declared-run", 0, "expected run time, a hint")
	fs.StringVar(&f.domain, "domain", "", "failure `domain` to run in; empty leaves the choice to the scheduler")
	f.payload.register(fs, "payload", "payload of the task")
}

func (f *submitFlags) spec(payload []byte) (*lentilwinchv1.JobSpec, error) {
	if err := require("workspace", f.workspace); err != nil {
		return nil, err
	}
	if f.members < 1 || f.members > math.MaxInt32 || f.accelerators < 1 || f.accelerators > math.MaxInt32 {
		return nil, fault.New(fault.Invalid, "-members and -accelerators must be 1 or more")
	}
	if f.declaredRun < 0 {
		return nil, fault.New(fault.Invalid, "-declared-run must not be negative")
	}
	return &lentilwinchv1.JobSpec{
		Workspace:     f.workspace,
		JobId:         f.id,
		Members:       int32(f.members),
		Accelerators:  int32(f.accelerators),
		Adjacency:     f.adjacency,
		Class:         f.class,
		Preemptible:   f.preemptible,
		DeclaredRunMs: f.declaredRun.Milliseconds(),
		Payload:       payload,
		Domain:        f.domain,
		Service:       f.service,
	}, nil
}

func (a *app) submitCommand() *ffcli.Command {
	fs := flag.NewFlagSet("submit", flag.ContinueOnError)
	a.common.register(fs)
	var flags submitFlags
	flags.register(fs)
	return newCommand(&a.help, commandSpec{
		name:  "submit",
		usage: "submit [flags]",
		short: "Submit a job.",
		long: `Records a gang of members x accelerators. Submitting the same job again with the
same ID is safe. With -wait the exit code shows how the job ended.`,
		examples: []string{
			"lentilwinch submit -workspace bat-yards-grading -id scan-17 -members 8 -adjacency worker",
			"lentilwinch submit -workspace trends -members 2 -accelerators 8 -class batch -preemptible -wait",
		},
		flags: fs,
		run: func(ctx context.Context, _ []string) error {
			return a.submit(ctx, &flags)
		},
	})
}

func (a *app) submit(ctx context.Context, flags *submitFlags) error {
	payload, err := flags.payload.read(a.stdin)
	if err != nil {
		return err
	}
	if flags.id == "" {
		flags.id = newID("job")
	}
	spec, err := flags.spec(payload)
	if err != nil {
		return err
	}
	stop := a.startProgress("waiting for job " + flags.id + " to be recorded")
	res, err := invoke(ctx, a, &lentilwinchv1.SubmitRequest{Spec: spec}, api.Submit)
	stop()
	if err != nil {
		return withHint(err, "The job may have been recorded. Check with: lentilwinch job "+idArgs(flags.workspace, flags.id))
	}
	if flags.wait {
		return a.follow(ctx, flags.workspace, flags.id)
	}
	return a.showJob(res.GetJob())
}

// idArgs returns the command-line arguments that identify a job or request.
func idArgs(workspace, id string) string {
	return "-workspace " + workspace + " " + id
}

// showJob prints a job. It fails with ExitRefused for a job that can never run.
func (a *app) showJob(job *lentilwinchv1.JobStatus) error {
	view := newJobView(job)
	a.print(view, view.String())
	if structs.JobState(view.State) == structs.JobUnplaceable {
		return &reportedError{exit: ExitRefused, code: fault.Unplaceable}
	}
	return nil
}

// newJobCommand returns a command that takes one job ID as its argument.
func (a *app) newJobCommand(s commandSpec, run func(ctx context.Context, workspace, id string) error) *ffcli.Command {
	s.flags = flag.NewFlagSet(s.name, flag.ContinueOnError)
	a.common.register(s.flags)
	workspace := s.flags.String("workspace", "", "`name` of the workspace")
	s.usage = s.name + " [flags] <job ID>"
	s.examples = append(s.examples, "lentilwinch "+s.name+" -workspace bat-yards-grading scan-17")
	s.minArgs, s.maxArgs = 1, 1
	s.run = func(ctx context.Context, args []string) error {
		if err := require("workspace", *workspace); err != nil {
			return err
		}
		return run(ctx, *workspace, args[0])
	}
	return newCommand(&a.help, s)
}

func (a *app) jobCommand() *ffcli.Command {
	return a.newJobCommand(commandSpec{
		name:  "job",
		short: "Show a job.",
		long:  "Prints a job's state and the workers of its current attempt.",
	}, a.job)
}

func (a *app) job(ctx context.Context, workspace, id string) error {
	res, err := read(ctx, a, &lentilwinchv1.GetJobRequest{Workspace: workspace, JobId: id}, api.GetJob)
	if err != nil {
		return err
	}
	view := newJobView(res.GetJob())
	a.print(view, view.String())
	return nil
}

func (a *app) cancelCommand() *ffcli.Command {
	return a.newJobCommand(commandSpec{
		name:  "cancel",
		short: "Cancel a job.",
		long: `Requests the cancellation of a job. Cancelling again is safe. All members of the
gang are stopped; use watch to see when.`,
	}, a.cancel)
}

func (a *app) cancel(ctx context.Context, workspace, id string) error {
	res, err := invoke(ctx, a, &lentilwinchv1.CancelRequest{Workspace: workspace, JobId: id}, api.Cancel)
	if err != nil {
		return withHint(err, "The job may have been cancelled. Cancel it again, or check with: lentilwinch job "+idArgs(workspace, id))
	}
	view := newJobView(res.GetJob())
	a.print(view, view.String())
	return nil
}

func (a *app) jobsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("jobs", flag.ContinueOnError)
	a.common.register(fs)
	workspace := fs.String("workspace", "", "`name` of the workspace")
	state := fs.String("state", "", "only jobs in this `state`")
	limit := fs.Int("limit", 1000, "maximum number of jobs to read")
	return newCommand(&a.help, commandSpec{
		name:  "jobs",
		usage: "jobs [flags]",
		short: "List a workspace's jobs.",
		long:  "Lists jobs in the order of their IDs.",
		examples: []string{
			"lentilwinch jobs -workspace trends",
			"lentilwinch jobs -workspace trends -state running -json",
		},
		flags: fs,
		run: func(ctx context.Context, _ []string) error {
			return a.jobs(ctx, *workspace, *state, *limit)
		},
	})
}

func (a *app) jobs(ctx context.Context, workspace, state string, limit int) error {
	if err := require("workspace", workspace); err != nil {
		return err
	}
	views, more, err := a.listJobs(ctx, workspace, limit)
	if err != nil {
		return err
	}
	views = filterByState(views, state)
	if a.common.json {
		a.printJSON(a.stdout, views)
	} else {
		for _, v := range views {
			a.print(v, v.String())
		}
	}
	if more && !a.common.quiet {
		a.printNote("there are more jobs than -limit " + strconv.Itoa(limit))
	}
	return nil
}

// listJobs reads up to limit jobs, page by page, and reports whether there are
// more.
func (a *app) listJobs(ctx context.Context, workspace string, limit int) ([]jobView, bool, error) {
	views := []jobView{}
	after := ""
	for len(views) < limit {
		req := &lentilwinchv1.ListJobsRequest{
			Workspace:  workspace,
			AfterJobId: after,
			Limit:      int32(min(jobsPageSize, limit-len(views))),
		}
		res, err := read(ctx, a, req, api.ListJobs)
		if err != nil {
			return nil, false, err
		}
		for _, job := range res.GetJobs() {
			views = append(views, newJobView(job))
		}
		if !res.GetMore() || len(res.GetJobs()) == 0 {
			return views, false, nil
		}
		after = views[len(views)-1].JobID
	}
	return views, true, nil
}

func filterByState(views []jobView, state string) []jobView {
	if state == "" {
		return views
	}
	out := []jobView{}
	for _, v := range views {
		if v.State == state {
			out = append(out, v)
		}
	}
	return out
}
