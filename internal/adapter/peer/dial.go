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

// dialer keeps a link to one target.
type dialer struct {
	mesh   *Mesh
	target Target
	cancel context.CancelFunc
}

func (m *Mesh) startDialerLocked(target Target) *dialer {
	ctx, cancel := context.WithCancel(m.running)
	d := &dialer{mesh: m, target: target, cancel: cancel}
	m.work.Go(func() {
		defer cancel()
		d.run(ctx)
	})
	return d
}

// run dials whenever there is no link, with a jittered backoff. The instance
// with the higher ID first leaves the other time to dial: one end alone may
// know of the other.
func (d *dialer) run(ctx context.Context) {
	pause := newBackOff()
	for ctx.Err() == nil {
		if l := d.mesh.linked(d.target.Instance); l != nil {
			d.await(ctx, l)
			pause.Reset()
			continue
		}
		if d.yields() && d.linkedWithin(ctx, d.mesh.cfg.Grace) {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		opened := time.Now()
		if err := d.dial(ctx); err == nil && time.Since(opened) > redialMax {
			pause.Reset()
		}
		// The loop looks at ctx itself.
		_ = wait.For(ctx, pause.NextBackOff())
	}
}

func (d *dialer) yields() bool {
	return d.mesh.self().Instance > d.target.Instance
}

func (d *dialer) await(ctx context.Context, l *link) {
	select {
	case <-l.stopped:
		// The link's own goroutine detaches it shortly after.
		_ = wait.For(ctx, redialInitial)
	case <-ctx.Done():
	}
}

// linkedWithin waits for the peer to dial and reports whether it did.
func (d *dialer) linkedWithin(ctx context.Context, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if d.mesh.linked(d.target.Instance) != nil {
			return true
		}
		// The loop looks at ctx itself.
		_ = wait.For(ctx, redialInitial)
	}
	return d.mesh.linked(d.target.Instance) != nil
}

// dial opens a link and carries it until it ends. It fails with
// fault.Unavailable, fault.Invalid, fault.Exists or *VersionError when the
// link wasn't opened.
func (d *dialer) dial(ctx context.Context) error {
	conn, err := d.open(ctx)
	if err != nil {
		return err
	}
	peer, err := d.greet(ctx, conn)
	if err != nil {
		closeConn(conn, err)
		return err
	}
	l := newLink(d.mesh, conn, peer, true)
	if err := d.mesh.attach(l); err != nil {
		closeConn(conn, err)
		return err
	}
	l.run(ctx)
	return nil
}

func (d *dialer) open(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.mesh.cfg.ReadDeadline)
	defer cancel()
	// A transport of its own keeps a connection from being shared or reused.
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

// greet exchanges hellos. The answer must come from the instance that was to
// be dialed, for an address may have passed to another.
func (d *dialer) greet(ctx context.Context, conn *websocket.Conn) (port.PeerHello, error) {
	conn.SetReadLimit(maxHelloBytes)
	if err := d.mesh.sendHello(ctx, conn); err != nil {
		return port.PeerHello{}, err
	}
	peer, err := d.mesh.receiveHello(ctx, conn)
	if err != nil {
		return port.PeerHello{}, err
	}
	if peer.Instance != d.target.Instance {
		return port.PeerHello{}, fault.New(fault.Invalid, "instance "+peer.Instance+" answers for "+d.target.Instance)
	}
	return peer, nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = redialInitial
	b.MaxInterval = redialMax
	return b
}
