package cli

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lentilwinch/lentilwinch/internal/explain"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

func (a *app) explainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	a.common.registerOutput(fs)
	fs.Var(&a.common.servers, "server", "`IP:port` of an instance's listener, with -job that for peers; repeat or separate by commas (default without -job "+defaultServer+")")
	fs.DurationVar(&a.common.timeout, "timeout", defaultTimeout, "with -job, -request or -submit: timeout of the call of one server")
	var query dryRunFlags
	query.register(fs)
	return newCommand(&a.help, commandSpec{
		name:  "explain",
		usage: "explain [flags] <job> [<log file>...] | explain -job <file> -queue <queue> -server <IP:port> [flags] | explain -request -workspace <name> -service <name> [flags] | explain -submit -workspace <name> [flags]",
		short: "Show a job's history from the instances' logs, or where a job or request would be placed.",
		long: `Reads the logs of all instances, from files or from standard input, and prints
the events of one job in order of time, with concurrent events of its pool and its
workers, its outcome and where its time was spent. Text before the JSON of a line
is ignored.

With -job, asks an instance of lentilwinch-poold where the job would be placed now,
or why it would wait or be refused. Nothing is submitted and nothing changes. The
file holds the body of a submission.

With -request, asks an instance of lentilwinchd which backend server a request
would be sent to now, or why it would be queued or rejected, and why the other
servers aren't used. The flags are those of request. Nothing is sent to a backend
server and nothing changes.

With -submit, asks lentilwinchd where a job would be placed now, in the failure
domain that it would be queued in, or why it would wait. The flags are those of
submit.`,
		examples: []string{
			"lentilwinch explain 5c0e7a21d94b36f8 north-1.log north-2.log",
			"collect-logs -since 10m | lentilwinch explain -json 5c0e7a21d94b36f8",
			"lentilwinch explain -job job.json -queue app.example/jobs/ -workspace ws -server 10.0.0.7:7421",
			"lentilwinch explain -request -workspace saw-bench -service moisture-check -deadline 5s",
			"lentilwinch explain -submit -workspace trends -members 2 -accelerators 8 -class batch",
		},
		minArgs: 0, maxArgs: 1000,
		flags: fs,
		run: func(ctx context.Context, args []string) error {
			switch n := query.count(); {
			case n > 1:
				return fault.New(fault.Invalid, "-job, -request and -submit exclude each other")
			case n == 1 && len(args) > 0:
				return fault.New(fault.Invalid, "explain takes no arguments with -job, -request or -submit")
			case query.job != "":
				return a.dryRunJob(ctx, &query)
			case query.isRequest:
				return a.dryRunRequest(ctx, &query.request)
			case query.isSubmit:
				return a.dryRunSubmit(ctx, &query)
			case len(args) == 0:
				return fault.New(fault.Invalid, "explain needs the ID of a job, -job and a file, -request or -submit")
			}
			return a.explain(args[0], args[1:])
		},
	})
}

func (a *app) explain(job string, files []string) error {
	var log explain.Log
	if len(files) == 0 {
		if err := log.Read(a.stdin); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := readLog(&log, name); err != nil {
			return err
		}
	}
	history := log.Explain(job)
	if len(history.Entries) == 0 {
		return fault.New(fault.NotFound, "no log line mentions job "+job)
	}
	if a.common.json {
		a.printJSON(a.stdout, history)
		return nil
	}
	return history.Page(a.stdout)
}

func readLog(log *explain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return fault.Wrap(fault.NotFound, "open log", err)
	}
	defer file.Close()
	return log.Read(file)
}
