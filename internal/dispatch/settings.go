package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
)

// Settings configures a Dispatcher. Zero fields other than Rand take their
// values from DefaultSettings.
type Settings struct {
	// QueueLimit bounds the number of queued items. It is split among the
	// workspaces by weight, with at least 1 for each. Retries are not bounded.
	QueueLimit int
	// ReservePercent is the percentage of this instance's slots that long work
	// can't use. At least one slot remains for it.
	ReservePercent int
	// ShortRunLimit is the run time above which work is long, whichever class
	// it declares. Above NormalRunLimit it ranks as batch work.
	ShortRunLimit  time.Duration
	NormalRunLimit time.Duration
	// Choices is the number of servers compared for each dispatch.
	Choices int
	// ProbeInterval is the time after which a server whose slots were reported as
	// filled by other instances is tried again.
	ProbeInterval time.Duration
	// SlowStart is the time over which the slots of a new server, or of one
	// whose circuit has closed again, come into use.
	SlowStart time.Duration
	// Circuit configures the circuit breaker of each server.
	Circuit breaker.CircuitSettings
	// RetryPercent is the number of retries per hundred successes. RetryBurst
	// is the maximum number of retries that can accumulate. Retries after a
	// refusal count too, but are permitted beyond these limits.
	RetryPercent int
	RetryBurst   int
	// Rand randomizes the choice of servers and the times at which servers that
	// were full or failing are tried again. Only the Dispatcher may use it. Nil
	// means a generator with a fixed seed.
	Rand *rand.Rand
}

// DefaultSettings returns the values that New uses for zero fields. Rand is
// nil.
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
			FailureThreshold: 5,
			OpenDuration:     time.Second,
			MaxOpenDuration:  30 * time.Second,
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
	orDefault(&s.Circuit.FailureThreshold, d.Circuit.FailureThreshold)
	orDefault(&s.Circuit.OpenDuration, d.Circuit.OpenDuration)
	orDefault(&s.Circuit.MaxOpenDuration, d.Circuit.MaxOpenDuration)
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
