package intake

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// inForce is the configuration in force with what is known of its age.
type inForce struct {
	config *work.Config
	// readAt is the latest time at which the configuration is known to have been the
	// newest one.
	readAt time.Duration
	// superseded is set while the newest configuration is unusable: it was removed
	// or can't be decoded, so that nothing confirms the keys of this one.
	superseded bool
}

// ApplyReading applies a reading of the configuration and of the evacuated failure
// domains that was sent at readAt, by the clock of Deps. It reports whether another
// configuration is in force as a result. A version lower than the one in force doesn't
// change the configuration.
func (in *Intake) ApplyReading(r port.ConfigReading, readAt time.Duration) bool {
	in.applying.Lock()
	defer in.applying.Unlock()
	in.applyEvacuations(r, readAt)
	old := in.inForce.Load()
	if old == nil {
		if r.Config == nil || r.Unusable {
			return false
		}
		old = &inForce{config: &work.Config{Version: math.MinInt64}, readAt: readAt} // any version is newer
	}
	if r.Config != nil && r.Config.Version < old.config.Version {
		in.log.Warn("older configuration ignored", zap.Int64("version", r.Config.Version), zap.Int64("in_force", old.config.Version))
		return false
	}
	next := *old
	next.superseded = r.Unusable || (old.superseded && r.Config == nil)
	changed := r.Config != nil && r.Config.Version > old.config.Version
	if changed {
		next.config = r.Config
	}
	if !next.superseded {
		next.readAt = max(old.readAt, readAt)
	}
	in.inForce.Store(&next)
	if next.superseded && !old.superseded {
		in.log.Error("newest configuration is unusable, its keys can't be confirmed", zap.Int64("in_force", next.config.Version))
	}
	in.accepts(&next) // logs the end of a time without confirmation
	return changed
}

// Config returns the configuration in force, nil if there is none yet.
func (in *Intake) Config() *work.Config {
	if f := in.inForce.Load(); f != nil {
		return f.config
	}
	return nil
}

// ConfigReadAge returns the time since the configuration in force was last known to
// be the newest one, 0 if there is none yet.
func (in *Intake) ConfigReadAge() time.Duration {
	if f := in.inForce.Load(); f != nil {
		return in.deps.Now() - f.readAt
	}
	return 0
}

// ConfigConfirmed returns the latest time at which the configuration in force was known to be
// the newest one. It reports false if there is none, or if a newer one can't be used.
func (in *Intake) ConfigConfirmed() (time.Duration, bool) {
	f := in.inForce.Load()
	if f == nil || f.superseded {
		return 0, false
	}
	return f.readAt, true
}

// KeysAccepted reports whether a configuration is in force and recent enough to
// accept the keys that it contains.
func (in *Intake) KeysAccepted() bool {
	f := in.inForce.Load()
	return f != nil && in.accepts(f)
}

// accepts reports whether the keys of a configuration may be accepted now, and
// logs when that changes.
func (in *Intake) accepts(f *inForce) bool {
	accepted := in.deps.KeyPolicy().Accepts(in.deps.Now(), f.readAt)
	if in.keysRefused.CompareAndSwap(accepted, !accepted) {
		event := "keys refused, the configuration is not confirmed"
		if accepted {
			event = "keys accepted again"
		}
		in.log.Warn(event, zap.Int64("config", f.config.Version), zap.Duration("read_ago", in.deps.Now()-f.readAt))
	}
	return accepted
}
