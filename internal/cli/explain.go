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
	return newCommand(&a.help, commandSpec{
		name:  "explain",
		usage: "explain [flags] <job> [<log file>...]",
		short: "Show a job's history from the instances' logs.",
		long: `Reads the logs of all instances, from files or from standard input, and prints
the events of one job in order of time, with concurrent events of its pool and its
workers, its outcome and where its time was spent. Text before the JSON of a line
is ignored.`,
		examples: []string{
			"lentilwinch explain 5c0e7a21d94b36f8 north-1.log north-2.log",
			"collect-logs -since 10m | lentilwinch explain -json 5c0e7a21d94b36f8",
		},
		minArgs: 1, maxArgs: 1000,
		flags: fs,
		run: func(_ context.Context, args []string) error {
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
