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

// quiet is how long a silent connection is watched for a sign.
const quiet = 50 * time.Millisecond

// start returns a relay before a server that sends back what it gets.
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

// expectNothing holds that there are neither bytes nor an end.
func expectNothing(t *testing.T, c net.Conn) {
	must.NoError(t, c.SetReadDeadline(time.Now().Add(quiet)))
	_, err := c.Read(make([]byte, 1))
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint(err))
	must.NoError(t, c.SetReadDeadline(time.Time{}))
}

func TestBytesAndEndsPass(t *testing.T) {
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

func TestOpenConnectionsGoSilentForGoodWhileNewOnesWork(t *testing.T) {
	r := start(t)
	old := dial(t, r)
	echo(t, old, "a")
	r.SilenceOpen()
	_, err := io.WriteString(old, "b")
	must.NoError(t, err)
	expectNothing(t, old)
	fresh := dial(t, r)
	echo(t, fresh, "c")
	r.Heal()
	_, err = io.WriteString(old, "d")
	must.NoError(t, err)
	expectNothing(t, old)
}

func TestSilenceInOneDirection(t *testing.T) {
	for _, dir := range []Direction{ToServer, ToClient} {
		r := start(t)
		c := dial(t, r)
		echo(t, c, "a")
		r.Silence(dir)
		_, err := io.WriteString(c, "b")
		must.NoError(t, err)
		expectNothing(t, c)
		late := dial(t, r)
		_, err = io.WriteString(late, "c")
		must.NoError(t, err)
		expectNothing(t, late)
		r.Heal()
		echo(t, dial(t, r), "d")
		expectNothing(t, c)
	}
}

// TestSilenceHidesEnds holds that the end of one side isn't seen by the other.
// Seen to fail when ends pass through silent pipes.
func TestSilenceHidesEnds(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	echo(t, c, "a")
	r.SilenceOpen()
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	expectNothing(t, c)
	must.Eq(t, 1, r.Links())
}

func TestHeldBytesArriveAfterHealing(t *testing.T) {
	for _, dir := range []Direction{ToServer, ToClient} {
		r := start(t)
		c := dial(t, r)
		r.Hold(dir)
		_, err := io.WriteString(c, "held")
		must.NoError(t, err)
		expectNothing(t, c)
		r.Heal()
		expect(t, c, "held")
	}
}

func TestCutResetsOpenConnections(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	echo(t, c, "a")
	r.Cut()
	_, err := c.Read(make([]byte, 1))
	must.Error(t, err)
	echo(t, dial(t, r), "b")
}

func TestRefusedConnectionsEnd(t *testing.T) {
	r := start(t)
	r.Refuse()
	_, err := dial(t, r).Read(make([]byte, 1))
	must.Error(t, err)
	r.Heal()
	echo(t, dial(t, r), "a")
}

// TestDelayIsAddedToEachDirection takes the delay as a lower bound only. Seen
// to fail without the delay.
func TestDelayIsAddedToEachDirection(t *testing.T) {
	const delay = 200 * time.Millisecond
	r := start(t)
	r.Delay(ToServer, delay)
	r.Delay(ToClient, delay)
	c := dial(t, r)
	began := time.Now()
	echo(t, c, "a")
	must.GreaterEq(t, 2*delay, time.Since(began))
}

// TestDelayKeepsOrderAndBytes sends more than the relay queues.
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
