// Package platform is the connect client of the platform's table service, object
// store, instance list and workers. The errors of each method, except for
// Objects.Put, distinguish calls that had no effect from those that may have had
// one.
package platform

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
)

// Settings holds the address, timeouts and limits for calls to the platform.
type Settings struct {
	// Address is host:port of the platform's services, where host is an IP
	// address.
	Address string
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// ReadTimeout bounds a read of the table or a list.
	ReadTimeout time.Duration
	// CommitTimeout bounds a transaction.
	CommitTimeout time.Duration
	// ObjectTimeout bounds a put or get of an object.
	ObjectTimeout time.Duration
	// WorkerTimeout bounds a call to a worker, except for Checkpoint.
	WorkerTimeout time.Duration
	// CheckpointTimeout bounds a call of Checkpoint, which saves the progress
	// of a task.
	CheckpointTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// KeepAliveInterval is the interval between TCP keepalive probes of a
	// connection on which no data arrives.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes after which the
	// connection is closed.
	KeepAliveCount int
	// MaxServiceConns bounds the connections of each client to the platform's
	// services.
	MaxServiceConns int
	// MaxWorkerConns bounds the connections to one worker's address and those to
	// the worker inventory.
	MaxWorkerConns int
	// MaxAnswerBytes bounds a response.
	MaxAnswerBytes int64
}

// DefaultSettings returns the values used where the settings file has none.
func DefaultSettings(address string) Settings {
	return Settings{
		Address:           address,
		DialTimeout:       time.Second,
		ReadTimeout:       2 * time.Second,
		CommitTimeout:     2 * time.Second,
		ObjectTimeout:     5 * time.Second,
		WorkerTimeout:     2 * time.Second,
		CheckpointTimeout: 10 * time.Second,
		IdleTimeout:       5 * time.Second,
		KeepAliveInterval: 2 * time.Second,
		KeepAliveCount:    3,
		MaxServiceConns:   16,
		MaxWorkerConns:    64,
		MaxAnswerBytes:    16 << 20,
	}
}

func (s Settings) client(conns int) *httpclient.Client {
	return httpclient.New(httpclient.Settings{
		DialTimeout:       s.DialTimeout,
		IdleTimeout:       s.IdleTimeout,
		KeepAliveInterval: s.KeepAliveInterval,
		KeepAliveCount:    s.KeepAliveCount,
		MaxConnsPerHost:   conns,
		MaxAnswerBytes:    s.MaxAnswerBytes,
	})
}
