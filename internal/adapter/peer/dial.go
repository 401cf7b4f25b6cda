package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// dialer maintains the link to one target.
type dialer struct {
	mesh   *Mesh
	target Target
	cancel context.CancelFunc
}

func (m *Mesh) startDialerLocked(target Target) *dialer {
	ctx, cancel := context.WithCancel(m.runCtx)
	d := &dialer{mesh: m, target: target, cancel: cancel}
	m.wg.Go(func() {
		defer cancel()
		d.run(ctx)
	})
	return d
}

// run dials whenever there is no link, with a jittered backoff. The instance
// with the higher ID waits before it dials, which avoids duplicate links. After
// DialDelay it dials too, because the peer may not have it as a target.
func (d *dialer) run(ctx context.Context) {
	retry := newBackOff()
	for ctx.Err() == nil {
		if l := d.mesh.linkTo(d.target.Instance); l != nil {
			d.awaitStop(ctx, l)
			retry.Reset()
			continue
		}
		if d.waitsForPeer() && d.awaitLink(ctx, d.mesh.cfg.DialDelay) {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		dialedAt := time.Now()
		if err := d.dial(ctx); err == nil && time.Since(dialedAt) > redialMax {
			retry.Reset()
		}
		// The error is ignored because the loop condition checks ctx.
		_ = wait.For(ctx, retry.NextBackOff())
	}
}

func (d *dialer) waitsForPeer() bool {
	return d.mesh.self().Instance > d.target.Instance
}

func (d *dialer) awaitStop(ctx context.Context, l *link) {
	select {
	case <-l.stopped:
		// The goroutine of the link unregisters it shortly afterwards.
		_ = wait.For(ctx, redialInitial)
	case <-ctx.Done():
	}
}

// awaitLink waits up to limit for the peer to dial and reports whether there is
// a link.
func (d *dialer) awaitLink(ctx context.Context, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if d.mesh.linkTo(d.target.Instance) != nil {
			return true
		}
		// The error is ignored because the loop condition checks ctx.
		_ = wait.For(ctx, redialInitial)
	}
	return d.mesh.linkTo(d.target.Instance) != nil
}

// dial opens a link and runs it until it stops. If the link can't be opened, it
// fails with fault.Unavailable, fault.Invalid, fault.Exists, fault.Overloaded or
// *VersionError.
func (d *dialer) dial(ctx context.Context) error {
	conn, err := d.open(ctx)
	if err != nil {
		return err
	}
	peer, err := d.exchangeHellos(ctx, conn)
	if err != nil {
		closeConn(conn, err)
		return err
	}
	l := newLink(d.mesh, conn, peer, true)
	if err := d.mesh.register(l); err != nil {
		closeConn(conn, err)
		return err
	}
	l.run(ctx)
	return nil
}

func (d *dialer) open(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.mesh.cfg.ReadDeadline)
	defer cancel()
	// Each dial has its own transport, so that connections are never shared or
	// reused.
	transport := &http.Transport{DisableKeepAlives: true}
	conn, response, err := websocket.Dial(ctx, "ws://"+d.target.Address+Path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if response != nil && response.Body != nil && err != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "dial instance "+d.target.Instance, err)
	}
	return conn, nil
}

// exchangeHellos exchanges hellos with the peer. It fails with fault.Invalid if
// another instance answers, since the address of the target may have been
// reassigned.
func (d *dialer) exchangeHellos(ctx context.Context, conn *websocket.Conn) (port.PeerHello, error) {
	conn.SetReadLimit(maxHelloBytes)
	if err := d.mesh.sendHello(ctx, conn); err != nil {
		return port.PeerHello{}, err
	}
	peer, err := d.mesh.receiveHello(ctx, conn)
	if err != nil {
		return port.PeerHello{}, err
	}
	if peer.Instance != d.target.Instance {
		return port.PeerHello{}, fault.New(fault.Invalid, "instance "+peer.Instance+" answered at the address of "+d.target.Instance)
	}
	return peer, nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = redialInitial
	b.MaxInterval = redialMax
	return b
}
