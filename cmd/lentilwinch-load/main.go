// Command lentilwinch-load runs lentilwinch-poold as real processes under load and
// troubles, and prints what callers and workers saw as JSON. It exits with 1 if a
// promise was not kept and with 2 if the run couldn't be played.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/lentilwinch/lentilwinch/platform/standin/load"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("lentilwinch-load", flag.ContinueOnError)
	var o load.Options
	flags.StringVar(&o.Program, "program", "target/lentilwinch-poold", "`path` of lentilwinch-poold")
	flags.StringVar(&o.Folder, "folder", "", "existing `folder` for settings and logs; empty for a temporary one")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the traffic and the troubles")
	flags.IntVar(&o.Instances, "instances", 6, "number of instances")
	flags.IntVar(&o.Workers, "workers", 48, "number of workers")
	flags.Float64Var(&o.Rate, "rate", 1, "factor of the rate of submissions")
	flags.Float64Var(&o.Stretch, "stretch", 1, "factor by which run times are longer and submissions rarer")
	flags.Float64Var(&o.Tail, "tail", 0.03, "share of the jobs that run several times as long as usual")
	flags.DurationVar(&o.Traffic, "traffic", 34*time.Second, "how long jobs are submitted")
	flags.DurationVar(&o.Troubles, "troubles", 34*time.Second, "how long troubles begin, 0 for none")
	flags.DurationVar(&o.TroublePause, "trouble-pause", 3500*time.Millisecond, "mean time between the beginnings of troubles")
	flags.DurationVar(&o.MaxTroubleTime, "max-trouble-time", 9*time.Second, "longest time that a trouble lasts")
	flags.StringVar(&o.Only, "only", "", "comma-separated `texts`: play only troubles whose name contains one of them")
	flags.DurationVar(&o.Settle, "settle", 20*time.Second, "calm time before the last check")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LENTILWINCH_LOAD")); err != nil {
		return 2 // the flag set has printed the error
	}
	if o.Folder == "" {
		folder, err := os.MkdirTemp("", "lentilwinch-load")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		o.Folder = folder
	}
	o.Log = os.Stderr
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Printf("%s\n", text)
	if len(report.Findings) > 0 {
		return 1
	}
	return 0
}
