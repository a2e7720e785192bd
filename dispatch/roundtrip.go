package dispatch

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new sample, as in RFC 6298.
	meanWeight, deviationWeight = 0.125, 0.25
	// deviations is the number of mean deviations by which an answer may exceed the mean, as in
	// RFC 6298.
	deviations = 4
	// timeoutMin covers a garbage collection pause and a burst in the queue of the control
	// goroutine on a VM with a fifth of a core.
	timeoutMin = 60 * time.Millisecond
)

// roundTrip estimates how long upstreams take to answer, for a timeout that adapts to the
// conditions. An unanswered order keeps its task from running until the timeout. A fixed timeout
// for all conditions would usually be far too long: a tenth of the orders may get lost while the
// others are answered within 5 ms.
type roundTrip struct {
	mean, deviation float64
	known           bool
	// backoff is the number of unanswered calls since the last answer; each doubles the timeout.
	backoff int
}

// add adds the time of an answered call.
func (r *roundTrip) add(sample time.Duration) {
	x := float64(sample)
	r.backoff = 0
	if !r.known {
		r.mean, r.deviation, r.known = x, x/2, true
		return
	}
	off := x - r.mean
	r.deviation += deviationWeight * (max(off, -off) - r.deviation)
	r.mean += meanWeight * off
}

// expired records a call without an answer.
func (r *roundTrip) expired() { r.backoff++ }

// timeout returns how long to wait for an answer.
func (r *roundTrip) timeout() time.Duration {
	if !r.known {
		return orderTimeout
	}
	t := max(time.Duration(r.mean+deviations*r.deviation), timeoutMin)
	for range r.backoff {
		if t >= orderTimeout {
			break
		}
		t *= 2
	}
	return min(t, orderTimeout)
}
