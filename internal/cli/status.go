package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// printNote prints a line on stderr.
func (a *app) printNote(line string) {
	_, _ = fmt.Fprintln(a.stderr, line)
}

func (a *app) statusCommand() *ffcli.Command {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	a.common.register(fs)
	return newCommand(&a.help, commandSpec{
		name:  "status",
		usage: "status [flags]",
		short: "Summarize instances.",
		long:  "Queries every server of the list. Exit code 7 means that one didn't answer.",
		examples: []string{
			"lentilwinch status -server 10.0.0.7:7420,10.0.0.8:7420",
			"lentilwinch status -json",
		},
		flags: fs,
		run:   a.status,
	})
}

func (a *app) status(ctx context.Context, _ []string) error {
	views := []statusView{}
	var lastErr error
	for _, t := range newClient(a.common.servers.orDefault()).targets {
		view, err := a.queryStatus(ctx, t)
		if ctx.Err() != nil {
			return &interruptedError{}
		}
		if err != nil {
			lastErr = err
		}
		views = append(views, view)
	}
	if a.common.json {
		a.printJSON(a.stdout, views)
	} else {
		a.printStatuses(views)
	}
	return partialFailure(lastErr)
}

// partialFailure returns the error of a command whose output already shows
// which servers failed, or nil if none did.
func partialFailure(lastErr error) error {
	if lastErr == nil {
		return nil
	}
	return &reportedError{exit: ExitUnavailable, code: fault.Unavailable}
}

func (a *app) queryStatus(ctx context.Context, t target) (statusView, error) {
	var res *lentilwinchv1.StatusResponse
	err := t.try(ctx, a.common.timeout, func(ctx context.Context, s api) error {
		answer, err := s.Status(ctx, connect.NewRequest(&lentilwinchv1.StatusRequest{}))
		if err != nil {
			return err
		}
		res = answer.Msg
		return nil
	})
	var evacuated []string
	if err == nil {
		evacuated, err = a.queryEvacuated(ctx, t)
	}
	if err != nil {
		return statusView{Server: t.address, OwnedDomains: []string{}, Failure: newServerFailure(err)}, err
	}
	return statusView{
		Server:           t.address,
		Instance:         res.GetInstance(),
		Incarnation:      res.GetIncarnation(),
		Domain:           res.GetDomain(),
		Ready:            res.GetReady(),
		NotReadyReason:   res.GetNotReadyReason(),
		ConfigNumber:     res.GetConfigNumber(),
		OwnedDomains:     append([]string{}, res.GetOwnedDomains()...),
		EvacuatedDomains: evacuated,
		QueuedRequests:   res.GetQueuedRequests(),
		LivePeers:        res.GetLivePeers(),
		BackendServers:   res.GetBackendServers(),
		Workers:          res.GetWorkers(),
	}, nil
}

// queryEvacuated returns the evacuated failure domains from a server's dump, since
// the answer to Status has no field for them. It returns nil if an older server's
// dump doesn't list them.
func (a *app) queryEvacuated(ctx context.Context, t target) ([]string, error) {
	view, err := a.queryDump(ctx, t)
	if err != nil {
		return nil, err
	}
	var state struct {
		Config struct {
			EvacuatedDomains []string `json:"evacuated_domains"`
		} `json:"config"`
	}
	if err := json.Unmarshal(view.State, &state); err != nil {
		return nil, fault.Wrap(fault.Internal, "decode the dump", err)
	}
	return state.Config.EvacuatedDomains, nil
}

func newServerFailure(err error) *failureView {
	view := newFailureView(err, ExitUnavailable, "")
	return &view
}

func (a *app) dumpCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dump", flag.ContinueOnError)
	a.common.register(fs)
	return newCommand(&a.help, commandSpec{
		name:  "dump",
		usage: "dump [flags]",
		short: "Print the state of instances as JSON.",
		long: `Queries every server of the list and prints an array with the state of each. Exit
code 7 means that one didn't answer.`,
		examples: []string{
			"lentilwinch dump",
			"lentilwinch dump -server 10.0.0.7:7420 -server 10.0.0.8:7420",
		},
		flags: fs,
		run:   a.dump,
	})
}

func (a *app) dump(ctx context.Context, _ []string) error {
	views := []dumpView{}
	var lastErr error
	for _, t := range newClient(a.common.servers.orDefault()).targets {
		view, err := a.queryDump(ctx, t)
		if ctx.Err() != nil {
			return &interruptedError{}
		}
		if err != nil {
			lastErr = err
		}
		views = append(views, view)
	}
	a.printJSON(a.stdout, views)
	return partialFailure(lastErr)
}

func (a *app) queryDump(ctx context.Context, t target) (dumpView, error) {
	view := dumpView{Server: t.address}
	err := t.try(ctx, a.common.timeout, func(ctx context.Context, s api) error {
		answer, err := s.Dump(ctx, connect.NewRequest(&lentilwinchv1.DumpRequest{}))
		if err != nil {
			return err
		}
		view.State, err = rawJSON(answer.Msg.GetJson())
		return err
	})
	if err != nil {
		view.Failure = newServerFailure(err)
	}
	return view, err
}
