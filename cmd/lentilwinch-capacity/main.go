// Command lentilwinch-capacity measures how the scheduler's resource costs grow
// with load. With -page it rewrites the tables of the capacity page from the
// results of an earlier run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/lentilwinch/lentilwinch/internal/bench/capacity"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const exitFailure = 1

type settings struct {
	// out is the file that the measurements are written to, or read from if page
	// is set.
	out string
	// page is the page whose tables are rewritten; empty means to measure.
	page string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lentilwinch-capacity:", err)
		os.Exit(exitFailure)
	}
}

func parse(args []string) (settings, error) {
	var s settings
	fs := flag.NewFlagSet("lentilwinch-capacity", flag.ContinueOnError)
	fs.StringVar(&s.out, "out", "docs/measurements/capacity.json", "file for the measurements")
	fs.StringVar(&s.page, "page", "", "page whose tables are rewritten from the file of -out, without measuring")
	if err := ff.Parse(fs, args); err != nil {
		return s, fault.Wrap(fault.Invalid, "settings", err)
	}
	return s, nil
}

func run(ctx context.Context, args []string) error {
	s, err := parse(args)
	if err != nil {
		return err
	}
	if s.page != "" {
		return capacity.RewritePage(s.page, s.out)
	}
	results, err := capacity.Run(ctx, os.Stderr)
	if err != nil {
		return err
	}
	return results.Save(s.out)
}
