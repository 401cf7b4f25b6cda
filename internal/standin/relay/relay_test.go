package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// silencePeriod is the time for which a test checks that a connection stays silent.
const silencePeriod = 50 * time.Millisecond

// start returns a relay to an echo server.
func start(t *testing.T) *Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	r, err := Listen(l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() {
		r.Close()
		must.Close(t, l)
	})
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends s and checks that it is received back.
func echo(t *testing.T, c net.Conn, s string) {
	_, err := io.WriteString(c, s)
	must.NoError(t, err)
	expect(t, c, s)
}

func expect(t *testing.T, c net.Conn, s string) {
	got := make([]byte, len(s))
	_, err := io.ReadFull(c, got)
	must.NoError(t, err)
	must.Eq(t, s, string(got))
}

// expectSilence checks that neither bytes nor the end of the stream arrive.
func expectSilence(t *testing.T, c net.Conn) {
	must.NoError(t, c.SetReadDeadline(time.Now().Add(silencePeriod)))
	_, err := c.Read(make([]byte, 1))
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint(err))
	must.NoError(t, c.SetReadDeadline(time.Time{}))
}

func TestRelayForwardsBytesAndEndOfStream(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	echo(t, c, "hello")
	_, err := io.WriteString(c, "last")
	must.NoError(t, err)
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "last", string(rest))
}

func TestSilenceOpenIsPermanentForOpenConnectionsOnly(t *testing.T) {
	r := start(t)
	open := dial(t, r)
	echo(t, open, "a")
	r.SilenceOpen()
	_, err := io.WriteString(open, "b")
	must.NoError(t, err)
	expectSilence(t, open)
	fresh := dial(t, r)
	echo(t, fresh, "c")
	r.ClearFaults()
	_, err = io.WriteString(open, "d")
	must.NoError(t, err)
	expectSilence(t, open)
}

func TestSilenceInOneDirection(t *testing.T) {
	for _, dir := range []Direction{ToServer, ToClient} {
		r := start(t)
		c := dial(t, r)
		echo(t, c, "a")
		r.Silence(dir)
		_, err := io.WriteString(c, "b")
		must.NoError(t, err)
		expectSilence(t, c)
		fresh := dial(t, r)
		_, err = io.WriteString(fresh, "c")
		must.NoError(t, err)
		expectSilence(t, fresh)
		r.ClearFaults()
		echo(t, dial(t, r), "d")
		expectSilence(t, c)
	}
}

// TestSilenceDropsEndOfStream checks that a silent link doesn't forward the close
// of one side to the other.
func TestSilenceDropsEndOfStream(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	echo(t, c, "a")
	r.SilenceOpen()
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	expectSilence(t, c)
	must.Eq(t, 1, r.Links())
}

func TestHeldBytesArriveAfterClearFaults(t *testing.T) {
	for _, dir := range []Direction{ToServer, ToClient} {
		r := start(t)
		c := dial(t, r)
		r.Hold(dir)
		_, err := io.WriteString(c, "held")
		must.NoError(t, err)
		expectSilence(t, c)
		r.ClearFaults()
		expect(t, c, "held")
	}
}

func TestResetClosesOpenConnectionsOnly(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	echo(t, c, "a")
	r.Reset()
	_, err := c.Read(make([]byte, 1))
	must.Error(t, err)
	echo(t, dial(t, r), "b")
}

func TestRefuseClosesNewConnections(t *testing.T) {
	r := start(t)
	r.Refuse()
	_, err := dial(t, r).Read(make([]byte, 1))
	must.Error(t, err)
	r.ClearFaults()
	echo(t, dial(t, r), "a")
}

// TestDelayIsAddedToEachDirection checks that the delays of both directions add
// up. It checks no upper bound, since a busy machine adds to the time.
func TestDelayIsAddedToEachDirection(t *testing.T) {
	const delay = 200 * time.Millisecond
	r := start(t)
	r.Delay(ToServer, delay)
	r.Delay(ToClient, delay)
	c := dial(t, r)
	started := time.Now()
	echo(t, c, "a")
	must.GreaterEq(t, 2*delay, time.Since(started))
}

// TestDelayKeepsOrderAndBytes sends more bytes than the relay can queue.
func TestDelayKeepsOrderAndBytes(t *testing.T) {
	r := start(t)
	r.Delay(ToServer, time.Millisecond)
	c := dial(t, r)
	sent := make([]byte, 4*queuedChunks*chunkBytes)
	for i := range sent {
		sent[i] = byte(i >> 9)
	}
	go func() {
		_, _ = c.Write(sent)
	}()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(c, got)
	must.NoError(t, err)
	must.True(t, bytes.Equal(sent, got))
}
