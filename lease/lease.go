// Package lease computes the expiry times of leases that a leader grants to upstreams.
//
// The holder counts the lease from when it sent the renewal, the grantor from
// when it handled that renewal. The lease therefore expires later on the
// grantor than on the holder, without synchronized clocks. Both use a Clock,
// which includes the time spent suspended; a bound on the clock drift is part
// of Terms.
package lease

import "time"

// Clock is a monotonic clock that includes the time that the machine spends suspended.
type Clock interface {
	// Now returns the time since an arbitrary origin, which is fixed until the machine restarts.
	Now() time.Duration
}

// Terms are the lease parameters that holder and grantor share.
type Terms struct {
	// Duration is the lifetime of a lease, counted from its last renewal.
	Duration time.Duration
	// StopGrace is the longest time that a holder needs to stop its tasks after its lease expired.
	StopGrace time.Duration
	// StartWindow is how long after sending a renewal the holder may still act on a start
	// command that came in the reply.
	StartWindow time.Duration
	// DriftPartsPerMillion bounds how much faster one clock runs than another, in parts per
	// million.
	DriftPartsPerMillion int64
}

// DefaultTerms are suited to holders that renew with long polls, which the grantor holds for up to
// one second.
var DefaultTerms = Terms{
	Duration:             6 * time.Second,
	StopGrace:            time.Second,
	StartWindow:          2 * time.Second,
	DriftPartsPerMillion: 1000,
}

// HolderExpiry returns the time on the holder's clock by which it must have begun to stop its tasks,
// unless it has renewed its lease again. The argument sent is when it sent the renewal.
func (t Terms) HolderExpiry(sent time.Duration) time.Duration {
	return sent + t.Duration
}

// GrantorEnd returns the time on the grantor's clock from which it may rely on the holder having
// stopped its tasks: Duration plus StopGrace after it handled the renewal at handled, extended by
// the clock drift.
func (t Terms) GrantorEnd(handled time.Duration) time.Duration {
	life := t.Duration + t.StopGrace
	return handled + life + life*time.Duration(t.DriftPartsPerMillion)/1_000_000
}

// StartValid reports whether the holder may still act on a start command at now: at most StartWindow
// after sent, when it sent the renewal that the command answers.
func (t Terms) StartValid(sent, now time.Duration) bool {
	return now-sent <= t.StartWindow
}
