// Package lease does the arithmetic of leases between a leader and upstreams.
//
// The holder counts its lease from when it sent the renewal, the grantor from
// when it handled it. The grantor's view therefore ends later, without
// synchronized clocks; both use a clock that counts time spent suspended.
package lease

import "time"

// Clock measures elapsed time, including time spent suspended.
type Clock interface {
	// Now returns the time since an arbitrary fixed point of this machine.
	Now() time.Duration
}

// Terms are the durations that holder and grantor agree on.
type Terms struct {
	// Duration is the life of a lease from its renewal.
	Duration time.Duration
	// StopGrace is the longest time a holder needs to stop its tasks after its lease ended.
	StopGrace time.Duration
	// StartWindow is how long after sending its renewal a holder may still act on a start.
	StartWindow time.Duration
	// DriftPartsPerMillion bounds how much faster one clock runs than another.
	DriftPartsPerMillion int64
}

// DefaultTerms suit polls that are held for up to a second.
var DefaultTerms = Terms{
	Duration:             6 * time.Second,
	StopGrace:            time.Second,
	StartWindow:          2 * time.Second,
	DriftPartsPerMillion: 1000,
}

// HolderEnd returns when a holder must have begun to stop, for a renewal sent at sent.
func (t Terms) HolderEnd(sent time.Duration) time.Duration {
	return sent + t.Duration
}

// GrantorEnd returns when a grantor may rely on the holder having stopped, for a
// renewal handled at handled.
func (t Terms) GrantorEnd(handled time.Duration) time.Duration {
	life := t.Duration + t.StopGrace
	return handled + life + life*time.Duration(t.DriftPartsPerMillion)/1_000_000
}

// StartValid reports whether a start command may still be acted on at now.
func (t Terms) StartValid(sent, now time.Duration) bool {
	return now-sent <= t.StartWindow
}
