// Command standin-platform simulates the platform for tests and demos.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
	"github.com/lentilwinch/lentilwinch/internal/standin/platform"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	exitFailure = 1
	bytesPerGiB = 1 << 30
)

type settings struct {
	listen           string
	domains          string
	workersPerDomain int
	workersPerRack   int
	accelerators     int
	cores            int
	memoryGiB        int64
	workerAddress    string
	instancesFile    string
	instanceLag      time.Duration
	usageInterval    time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, args []string) error {
	s, err := parse(args)
	if err != nil {
		return err
	}
	instances, err := readInstances(s.instancesFile)
	if err != nil {
		return err
	}
	listener, err := control.Listen(s.listen)
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	p := platform.New(options(s, address, instances))
	if err := control.PrintReady(os.Stdout, address); err != nil {
		return err
	}
	return control.Serve(ctx, listener, p.Handler())
}

func parse(args []string) (settings, error) {
	var s settings
	fs := flag.NewFlagSet("standin-platform", flag.ContinueOnError)
	fs.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to listen on")
	fs.StringVar(&s.domains, "domains", "north-yard,river-yard,saw-hall,east-kiln", "comma-separated failure domains")
	fs.IntVar(&s.workersPerDomain, "workers", 12, "workers in each failure domain")
	fs.IntVar(&s.workersPerRack, "rack-size", 6, "workers in each rack")
	fs.IntVar(&s.accelerators, "accelerators", 8, "accelerators of each worker")
	fs.IntVar(&s.cores, "cores", 64, "cores of each worker")
	fs.Int64Var(&s.memoryGiB, "memory-gb", 130, "memory of each worker in GiB")
	fs.StringVar(&s.workerAddress, "worker-address", "", "address of the workers' agents in the inventory; defaults to the listener's")
	fs.StringVar(&s.instancesFile, "instances", "", "JSON file with the initial instance list")
	fs.DurationVar(&s.instanceLag, "instance-lag", 2*time.Second, "delay until a change of the instance list is visible")
	fs.DurationVar(&s.usageInterval, "usage-lag", 2*time.Second, "time between usage reports")
	fs.String("config", "", "JSON settings file")
	err := ff.Parse(fs, args, ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.JSONParser))
	if err != nil {
		return s, fault.Wrap(fault.Invalid, "settings", err)
	}
	return s, nil
}

func options(s settings, address string, instances []structs.Instance) platform.Options {
	if s.workerAddress != "" {
		address = s.workerAddress
	}
	return platform.Options{
		Fleet: platform.Fleet{
			Domains:          strings.Split(s.domains, ","),
			WorkersPerDomain: s.workersPerDomain,
			WorkersPerRack:   s.workersPerRack,
			Accelerators:     s.accelerators,
			Cores:            s.cores,
			MemoryBytes:      s.memoryGiB * bytesPerGiB,
		},
		Instances:     instances,
		InstanceLag:   s.instanceLag,
		UsageInterval: s.usageInterval,
		WorkerAddress: address,
	}
}

func readInstances(file string) ([]structs.Instance, error) {
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "instance list", err)
	}
	var documents []platform.InstanceDocument
	if err := json.Unmarshal(raw, &documents); err != nil {
		return nil, fault.Wrap(fault.Invalid, "instance list", err)
	}
	out := make([]structs.Instance, 0, len(documents))
	for _, d := range documents {
		instance, err := d.Instance()
		if err != nil {
			return nil, err
		}
		out = append(out, instance)
	}
	return out, nil
}
