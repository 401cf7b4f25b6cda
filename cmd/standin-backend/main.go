// Command standin-backend simulates backend servers for tests and demos.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"golang.org/x/sync/errgroup"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/standin/backend"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
)

const exitFailure = 1

type settings struct {
	listen    string
	addresses string
	count     int
	slots     int
	services  string
	maxConns  int
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend:", err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, args []string) error {
	s, err := parse(args)
	if err != nil {
		return err
	}
	options := backend.Options{Slots: s.slots, Services: split(s.services), MaxConns: s.maxConns}
	pool, err := backend.NewPool(options, s.serverAddresses())
	if err != nil {
		return err
	}
	listener, err := control.Listen(s.listen)
	if err != nil {
		return err
	}
	if err := control.PrintReady(os.Stdout, listener.Addr().String(), pool.Addresses()...); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return pool.Serve(ctx) })
	group.Go(func() error { return control.Serve(ctx, listener, pool.Control()) })
	return group.Wait()
}

func parse(args []string) (settings, error) {
	var s settings
	fs := flag.NewFlagSet("standin-backend", flag.ContinueOnError)
	fs.StringVar(&s.listen, "listen", "127.0.0.1:0", "address of the control interface")
	fs.StringVar(&s.addresses, "addresses", "", "comma-separated addresses of the servers; overrides -count")
	fs.IntVar(&s.count, "count", 1, "number of servers on free ports of 127.0.0.1")
	fs.IntVar(&s.slots, "slots", 8, "maximum number of requests that a server runs at once")
	fs.StringVar(&s.services, "services", "", "comma-separated services that the servers run; empty means any")
	fs.IntVar(&s.maxConns, "max-conns", 60, "maximum number of connections to a server")
	fs.String("config", "", "JSON settings file")
	err := ff.Parse(fs, args, ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.JSONParser))
	if err != nil {
		return s, fault.Wrap(fault.Invalid, "settings", err)
	}
	return s, nil
}

func (s settings) serverAddresses() []string {
	if s.addresses != "" {
		return split(s.addresses)
	}
	out := make([]string, s.count)
	for i := range out {
		out[i] = "127.0.0.1:0"
	}
	return out
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
