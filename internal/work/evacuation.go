package work

import "time"

// Evacuation tells in which failure domains nothing more may be started, as far as an
// instance knows.
type Evacuation struct {
	// Domains holds the evacuated failure domains, with the store's version from which
	// each is one. It isn't modified.
	Domains map[string]int64
	// Version is the store's version of the last reading.
	Version int64
	// ReadAt is the latest time, on the instance's clock, at which the domains are known
	// to have been complete.
	ReadAt time.Duration
	// FailedAt is when the last reading failed, 0 if it succeeded. FailingSince is when the
	// first one failed since the last that succeeded, or since a suspension.
	FailedAt, FailingSince time.Duration
}
