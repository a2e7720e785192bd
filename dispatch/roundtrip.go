package dispatch

import "time"

const (
	// meanWeight and deviationWeight are the weights of one more sample, as in RFC 6298.
	meanWeight, deviationWeight = 0.125, 0.25
	// deviations is how many of them an answer may be later than the mean, as there.
	deviations = 4
	// timeoutMin covers a pause of the garbage collector and a burst in the queue of the control
	// goroutine on a VM with a fifth of a core.
	timeoutMin = 60 * time.Millisecond
)

// roundTrip estimates how long answers of upstreams take. An order without an answer keeps its
// task from running, so that a bound for all conditions would be far too long for most: a tenth
// of orders may get lost while the others are answered within 5 ms.
type roundTrip struct {
	mean, deviation float64
	known           bool
	// backoff doubles with each call without an answer until the next answer.
	backoff int
}

// add takes the time of an answered call.
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

// expired notes a call without an answer.
func (r *roundTrip) expired() { r.backoff++ }

// timeout is how long an answer is waited for.
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
