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

// watchRenewal is the age at which a stream is replaced by a fresh one, so
// that a connection gone silent can't hide the job's end.
const watchRenewal = 20 * time.Second

func (a *app) watchCommand() *ffcli.Command {
	return a.oneJobCommand(spec{
		name:  "watch",
		short: "Follow a job to its end.",
		long: `Prints each change of a job's state. The exit code tells how the job ended: 0
succeeded, 9 failed or cancelled, 3 can never run.`,
	}, a.follow)
}

// follow prints a job's changes until its last state.
func (a *app) follow(ctx context.Context, workspace, id string) error {
	stop := a.progress("waiting for job " + workspace + "/" + id)
	w := &watcher{app: a, workspace: workspace, id: id}
	err := w.run(ctx)
	stop()
	if ctx.Err() != nil {
		return a.unfollowed(workspace, id)
	}
	if err != nil {
		return err
	}
	return jobEnd(w.last)
}

// unfollowed says that only the watching has ended.
func (a *app) unfollowed(workspace, id string) error {
	return &commandError{
		exit:  ExitInterrupted,
		cause: &interruptedError{sent: true},
		hint: "The job goes on. Follow it with: lentilwinch watch " + jobArgs(workspace, id) +
			"\nEnd it with: lentilwinch cancel " + jobArgs(workspace, id),
	}
}

// jobEnd returns how a job's last state ends a command.
func jobEnd(state structs.JobState) error {
	switch state {
	case structs.JobSucceeded:
		return nil
	case structs.JobUnplaceable:
		return &quietError{exit: ExitRefused, code: fault.Unplaceable}
	default:
		return &quietError{exit: ExitJobEnded, code: fault.Refused}
	}
}

// watcher follows one job over as many streams as it takes.
type watcher struct {
	app       *app
	workspace string
	id        string
	shown     string
	last      structs.JobState
}

func (w *watcher) run(ctx context.Context) error {
	c := newClient(w.app.common.servers.orDefault())
	for {
		err := c.call(ctx, policy{rounds: callRounds, idempotent: true}, w.stream)
		if err != nil {
			return w.lost(err)
		}
		if w.last.Final() || wait.For(ctx, roundWait) != nil {
			return nil
		}
	}
}

// lost returns the failure of a watch that no instance can serve.
func (w *watcher) lost(err error) error {
	if !fault.Is(err, fault.Uncertain) {
		return err
	}
	return fault.Wrap(fault.Unavailable, "no instance shows the job, which may go on", err)
}

// stream shows one stream's states. It returns nil when the job has ended or
// the stream has brought something and needs a successor.
func (w *watcher) stream(ctx context.Context, s api) error {
	ctx, cancel := context.WithTimeout(ctx, watchRenewal)
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
		if w.last.Final() {
			return nil
		}
	}
	if received && renews(stream.Err()) {
		return nil
	}
	if stream.Err() == nil {
		return io.ErrUnexpectedEOF
	}
	return stream.Err()
}

// renews reports whether a stream ended for its age alone.
func renews(err error) bool {
	return err == nil || errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded
}

// show prints a state that differs from the one shown before.
func (w *watcher) show(job *lentilwinchv1.JobStatus) {
	view := newJobView(job)
	w.last = structs.JobState(view.State)
	line := view.String()
	if line == w.shown {
		return
	}
	w.shown = line
	w.app.print(view, line)
}
