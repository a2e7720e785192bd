package retry

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// stallTolerance is the scheduling delay up to which a process is not stalled: half of a time
	// slice of the Go scheduler.
	stallTolerance = 5 * time.Millisecond
	// stallFactor is the extension of a timeout as a multiple of the scheduling delay. Between the
	// arrival of an answer and the caller, several goroutines are scheduled one after the other.
	stallFactor = 4
	// yields is how often the processor is given up to measure the scheduling delay. Goroutines that gave it up
	// wait in a queue that the Go scheduler serves out of turn once in 61 times, so that a single yield may
	// return at once although others wait.
	yields = 3
	// maxStallTime bounds the time that stalls may add to a timeout.
	maxStallTime = time.Second
)

// WithTimeout is like context.WithTimeout, but does not let a call time out because this process was
// stalled. When the timeout expires while goroutines wait long for the processor, an answer may have
// arrived that was not processed yet; the timeout is then extended by a multiple of that wait, and
// onStall is called in another goroutine. Stalls add a second at most. The context has no deadline,
// and its error after the timeout is context.Canceled with the cause context.DeadlineExceeded.
func WithTimeout(parent context.Context, timeout time.Duration, onStall func()) (context.Context, context.CancelFunc) {
	return withTimeout(parent, timeout, maxStallTime, onStall)
}

func withTimeout(parent context.Context, timeout, maxStall time.Duration, onStall func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := newStallTimer(timeout, maxStall, schedulingDelay, cancel, onStall)
	return ctx, func() {
		t.stop()
		cancel(context.Canceled)
	}
}

// schedulingDelay returns how long a goroutine waits for the processor now, in `yields` turns.
func schedulingDelay() time.Duration {
	began := time.Now()
	for range yields {
		runtime.Gosched()
	}
	return time.Since(began)
}

// stallTimer cancels a context after a timeout that is extended while the process is stalled.
type stallTimer struct {
	// delay measures the scheduling delay.
	delay   func() time.Duration
	cancel  context.CancelCauseFunc
	onStall func()
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// due is when the timer fires, limit when it cancels the context even during a stall.
	due, limit time.Time
}

func newStallTimer(timeout, maxStall time.Duration, delay func() time.Duration, cancel context.CancelCauseFunc, onStall func()) *stallTimer {
	due := time.Now().Add(timeout)
	t := &stallTimer{delay: delay, cancel: cancel, onStall: onStall, due: due, limit: due.Add(maxStall)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.fire)
	return t
}

func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// fire cancels the context, or sets the timer again if the process is stalled.
func (t *stallTimer) fire() {
	t.mu.Lock()
	late := time.Since(t.due)
	t.mu.Unlock()
	stall := late + t.delay()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.stopped:
	case stall <= stallTolerance || !time.Now().Before(t.limit):
		t.cancel(context.DeadlineExceeded)
	default:
		t.onStall()
		extension := min(stallFactor*stall, time.Until(t.limit))
		t.due = time.Now().Add(extension)
		t.timer.Reset(extension)
	}
}
