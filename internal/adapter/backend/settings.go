// Package backend is the connect client of the backend servers. It distinguishes
// requests that were not started from those that may have been, and accepts an
// answer only if it is complete and has the IDs of the request and the attempt.
package backend

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
)

// Settings holds the timeouts and limits for each backend server.
type Settings struct {
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// MaxConns bounds the connections to one server, one of which is reserved
	// for probes. At least one more is used for requests, even if MaxConns is 1.
	// It must leave connections for the other instances, since a server accepts
	// a limited number in total.
	MaxConns int
	// IdleTimeout is how long an idle connection is kept. It also bounds how
	// long a connection that has stalled unnoticed may be given requests.
	IdleTimeout time.Duration
	// KeepAliveInterval is the interval between TCP keepalive probes of a
	// connection on which no data arrives.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes after which the
	// connection is closed.
	KeepAliveCount int
	// AnswerMargin is how long after the deadline of a request its answer is
	// awaited.
	AnswerMargin time.Duration
	// DefaultTimeout bounds a request that has no deadline.
	DefaultTimeout time.Duration
	// ProbeTimeout bounds a probe.
	ProbeTimeout time.Duration
	// ProbeIdleTimeout is how long the idle connection for probes is kept.
	ProbeIdleTimeout time.Duration
	// MaxAnswerBytes bounds an answer. The check covers the whole message, so an
	// answer that is longer by less than envelopeBytes may be accepted.
	MaxAnswerBytes int64
	// ServerIdleTimeout is the time without a call after which the state of a
	// server is dropped, at a later call to any server. It is also the minimum
	// time between two such checks.
	ServerIdleTimeout time.Duration
}

// DefaultSettings returns the values used where the settings file has none.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:       time.Second,
		MaxConns:          7,
		IdleTimeout:       500 * time.Millisecond,
		KeepAliveInterval: 2 * time.Second,
		KeepAliveCount:    3,
		AnswerMargin:      250 * time.Millisecond,
		DefaultTimeout:    10 * time.Minute,
		ProbeTimeout:      time.Second,
		ProbeIdleTimeout:  30 * time.Second,
		MaxAnswerBytes:    8 << 20,
		ServerIdleTimeout: time.Minute,
	}
}

// probeConns is the number of connections reserved for probes.
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
		// The message has a few small fields besides the answer.
		MaxAnswerBytes: s.MaxAnswerBytes + envelopeBytes,
	})
}

// envelopeBytes bounds the size of a response message without its answer.
const envelopeBytes = 16 << 10
