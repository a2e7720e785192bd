package relay

import (
	"sync/atomic"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
)

const (
	// pauseCheckInterval is the time between two checks for a pause.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseBound is the time without a check from which on the process counts as paused. It is the
	// longest time that the leader waits for an order.
	pauseBound = 400 * time.Millisecond
	// backlogTime is how long after a pause calls are refused. Those that arrived during the pause are
	// read from their connections within milliseconds.
	backlogTime = 200 * time.Millisecond
)

// pauseDetector tells calls that may have waited in this process's sockets while it was paused. It is
// safe for concurrent use.
type pauseDetector struct {
	clock lease.Clock
	// lastTick and refuseUntil are times of the clock in nanoseconds.
	lastTick, refuseUntil atomic.Int64
}

func newPauseDetector(clock lease.Clock) *pauseDetector {
	p := &pauseDetector{clock: clock}
	p.lastTick.Store(int64(clock.Now()))
	return p
}

// tick records that the process runs, and returns the length of the pause that has just ended, or
// zero.
func (p *pauseDetector) tick() time.Duration {
	now := p.clock.Now()
	gap := now - time.Duration(p.lastTick.Load())
	if gap <= pauseBound {
		p.lastTick.Store(int64(now))
		return 0
	}
	// The order matters: between the two stores, the gap still counts as a pause.
	p.refuseUntil.Store(int64(now + backlogTime))
	p.lastTick.Store(int64(now))
	return gap
}

// mayBeOld reports whether a call that is read now may have arrived during a pause.
func (p *pauseDetector) mayBeOld() bool {
	now := p.clock.Now()
	return now-time.Duration(p.lastTick.Load()) > pauseBound || now < time.Duration(p.refuseUntil.Load())
}
