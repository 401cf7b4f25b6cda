// Package backend reaches the backend servers over connect. It tells a request
// that was not started from one that may have been, and takes an answer only
// when it is whole and carries the request's own IDs.
package backend

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
)

// Settings bounds the connections and calls to each backend server.
type Settings struct {
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// MaxConns bounds the connections to one server; one of them is kept for
	// probes. All instances share what a server accepts.
	MaxConns int
	// IdleTimeout is how long an unused connection is kept. It bounds for how
	// long a connection that went silent may be given a request.
	IdleTimeout time.Duration
	// KeepAliveInterval is the time between probes of a quiet connection.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes that close it.
	KeepAliveCount int
	// AnswerMargin is how long after its deadline an answer is awaited.
	AnswerMargin time.Duration
	// MaxRunTime bounds a request that has no deadline.
	MaxRunTime time.Duration
	// ProbeTimeout bounds a probe.
	ProbeTimeout time.Duration
	// ProbeIdleTimeout is how long the unused connection for probes is kept.
	ProbeIdleTimeout time.Duration
	// MaxAnswerBytes bounds an answer.
	MaxAnswerBytes int64
	// ServerIdleTimeout is after how long without a call a server's state is
	// dropped.
	ServerIdleTimeout time.Duration
}

// DefaultSettings returns the bounds used where the settings file names none.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:       time.Second,
		MaxConns:          7,
		IdleTimeout:       500 * time.Millisecond,
		KeepAliveInterval: 2 * time.Second,
		KeepAliveCount:    3,
		AnswerMargin:      250 * time.Millisecond,
		MaxRunTime:        10 * time.Minute,
		ProbeTimeout:      time.Second,
		ProbeIdleTimeout:  30 * time.Second,
		MaxAnswerBytes:    8 << 20,
		ServerIdleTimeout: time.Minute,
	}
}

// probeConns is the number of connections kept for probes.
const probeConns = 1

func (s Settings) executeClient() *httpclient.Client {
	return s.client(max(s.MaxConns-probeConns, 1), s.IdleTimeout)
}

func (s Settings) probeClient() *httpclient.Client {
	return s.client(probeConns, s.ProbeIdleTimeout)
}

func (s Settings) client(conns int, idle time.Duration) *httpclient.Client {
	return httpclient.New(httpclient.Settings{
		DialTimeout:       s.DialTimeout,
		IdleTimeout:       idle,
		KeepAliveInterval: s.KeepAliveInterval,
		KeepAliveCount:    s.KeepAliveCount,
		MaxConnsPerHost:   conns,
		// The wire form is longer than the answer by a few small fields.
		MaxAnswerBytes: s.MaxAnswerBytes + envelopeBytes,
	})
}

// envelopeBytes bounds what an answer's message adds to the answer itself.
const envelopeBytes = 16 << 10
