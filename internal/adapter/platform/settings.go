// Package platform reaches the platform's table service, object store,
// instance list and workers over connect. Each method tells a call that had no
// effect from one that may have had one.
package platform

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
)

// Settings bounds the calls to the platform.
type Settings struct {
	// Address of the platform's services, host:port by IP number.
	Address string
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// ReadTimeout bounds a read of the table or a list.
	ReadTimeout time.Duration
	// CommitTimeout bounds a transaction.
	CommitTimeout time.Duration
	// ObjectTimeout bounds a put or get of an object.
	ObjectTimeout time.Duration
	// WorkerTimeout bounds a call to a worker, except for Checkpoint.
	WorkerTimeout time.Duration
	// CheckpointTimeout bounds the saving of a task's progress.
	CheckpointTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// KeepAliveInterval is the time between probes of a quiet connection.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes that close it.
	KeepAliveCount int
	// MaxServiceConns bounds the connections to the platform's services.
	MaxServiceConns int
	// MaxWorkerConns bounds the connections to one worker's address.
	MaxWorkerConns int
	// MaxAnswerBytes bounds an answer.
	MaxAnswerBytes int64
}

// DefaultSettings returns the bounds used where the settings file names none.
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
