package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
)

// Settings configures a Dispatcher. Zero fields take the value that
// DefaultSettings has.
type Settings struct {
	// QueueLimit bounds the queued items. Each workspace has a part of it by
	// its weight.
	QueueLimit int
	// ReservePercent is the share of this instance's slots that long work
	// can't take.
	ReservePercent int
	// ShortRunLimit is the run time beyond which work is long, whichever class
	// it declares. NormalRunLimit is that beyond which it ranks as batch work.
	ShortRunLimit  time.Duration
	NormalRunLimit time.Duration
	// Choices is the number of servers compared for each dispatch.
	Choices int
	// ProbeInterval is the time after which a server that was reported full by
	// others' work is tried again.
	ProbeInterval time.Duration
	// SlowStart is the time over which a fresh server's slots come into use.
	SlowStart time.Duration
	// Circuit configures the circuit of each server.
	Circuit breaker.CircuitSettings
	// RetryPercent is the number of retries that a hundred successes pay for,
	// and RetryBurst the retries that can be saved up.
	RetryPercent int
	RetryBurst   int
	// Rand spreads choices and retries. It is used by the Dispatcher only.
	Rand *rand.Rand
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{
		QueueLimit:     8192,
		ReservePercent: 25,
		ShortRunLimit:  time.Second,
		NormalRunLimit: time.Minute,
		Choices:        4,
		ProbeInterval:  300 * time.Millisecond,
		SlowStart:      10 * time.Second,
		Circuit: breaker.CircuitSettings{
			Failures: 5,
			OpenFor:  time.Second,
			OpenMax:  30 * time.Second,
		},
		RetryPercent: 8,
		RetryBurst:   20,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	orDefault(&s.QueueLimit, d.QueueLimit)
	orDefault(&s.ReservePercent, d.ReservePercent)
	orDefault(&s.ShortRunLimit, d.ShortRunLimit)
	orDefault(&s.NormalRunLimit, d.NormalRunLimit)
	orDefault(&s.Choices, d.Choices)
	orDefault(&s.ProbeInterval, d.ProbeInterval)
	orDefault(&s.SlowStart, d.SlowStart)
	orDefault(&s.Circuit.Failures, d.Circuit.Failures)
	orDefault(&s.Circuit.OpenFor, d.Circuit.OpenFor)
	orDefault(&s.Circuit.OpenMax, d.Circuit.OpenMax)
	orDefault(&s.RetryPercent, d.RetryPercent)
	orDefault(&s.RetryBurst, d.RetryBurst)
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return s
}

func orDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
