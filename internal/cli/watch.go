package cli

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// maxStreamAge is the age at which a stream is replaced, so that the end of the
// job isn't missed on a dead connection.
const maxStreamAge = 20 * time.Second

func (a *app) watchCommand() *ffcli.Command {
	return a.newJobCommand(commandSpec{
		name:  "watch",
		short: "Follow a job until it ends.",
		long: `Prints each change of a job's state. The exit code shows how the job ended: 0
succeeded, 9 failed or cancelled, 3 can never run.`,
	}, a.follow)
}

// follow prints a job's changes until its final state.
func (a *app) follow(ctx context.Context, workspace, id string) error {
	stop := a.startProgress("waiting for job " + workspace + "/" + id)
	w := &watcher{app: a, workspace: workspace, id: id}
	err := w.run(ctx)
	stop()
	if ctx.Err() != nil {
		return a.interruptedWatch(workspace, id)
	}
	if err != nil {
		return err
	}
	return jobStateError(w.lastState)
}

// interruptedWatch returns the error of an interrupted watch, with the hint that
// the job itself continues.
func (a *app) interruptedWatch(workspace, id string) error {
	return &commandError{
		exit:  ExitInterrupted,
		cause: &interruptedError{sent: true},
		hint: "The job goes on. Follow it with: lentilwinch watch " + idArgs(workspace, id) +
			"\nEnd it with: lentilwinch cancel " + idArgs(workspace, id),
	}
}

// jobStateError returns the error that sets the exit code for a job's final
// state.
func jobStateError(state structs.JobState) error {
	switch state {
	case structs.JobSucceeded:
		return nil
	case structs.JobUnplaceable:
		return &reportedError{exit: ExitRefused, code: fault.Unplaceable}
	default:
		return &reportedError{exit: ExitJobEnded, code: fault.Refused}
	}
}

// watcher follows one job over successive streams.
type watcher struct {
	app       *app
	workspace string
	id        string
	lastLine  string
	lastState structs.JobState
}

func (w *watcher) run(ctx context.Context) error {
	c := newClient(w.app.common.servers.orDefault())
	for {
		err := c.call(ctx, retryPolicy{rounds: callRounds, idempotent: true}, w.stream)
		if err != nil {
			return w.watchError(err)
		}
		if w.lastState.Final() || wait.For(ctx, retryInterval) != nil {
			return nil
		}
	}
}

// watchError converts the error of a watch that no instance can serve. A watch
// changes nothing, so it is never fault.Uncertain.
func (w *watcher) watchError(err error) error {
	if !fault.Is(err, fault.Uncertain) {
		return err
	}
	return fault.Wrap(fault.Unavailable, "no instance can report the job's state; the job may still be running", err)
}

// stream prints the states that one stream delivers. It returns nil if the job
// has ended, or if the stream delivered a state and must be replaced.
func (w *watcher) stream(ctx context.Context, s api) error {
	ctx, cancel := context.WithTimeout(ctx, maxStreamAge)
	defer cancel()
	req := &lentilwinchv1.WatchRequest{Workspace: w.workspace, JobId: w.id}
	stream, err := s.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	received := false
	for stream.Receive() {
		received = true
		w.show(stream.Msg().GetJob())
		if w.lastState.Final() {
			return nil
		}
	}
	if received && streamExpired(stream.Err()) {
		return nil
	}
	if stream.Err() == nil {
		return io.ErrUnexpectedEOF
	}
	return stream.Err()
}

// streamExpired reports whether a stream ended normally or by reaching its
// maximum age.
func streamExpired(err error) bool {
	return err == nil || errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded
}

// show prints a state if it differs from the last one printed.
func (w *watcher) show(job *lentilwinchv1.JobStatus) {
	view := newJobView(job)
	w.lastState = structs.JobState(view.State)
	line := view.String()
	if line == w.lastLine {
		return
	}
	w.lastLine = line
	w.app.print(view, line)
}
