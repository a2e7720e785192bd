package timeline

import (
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// WallNS is the physical part in Unix nanoseconds.
	WallNS int64
	// Logical orders stamps of equal WallNS.
	Logical uint32
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock whose physical time is that of now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp that is greater than all earlier ones.
func (c *Clock) Now() Stamp { return c.Observe(0) }

// Observe advances the clock to the physical part of a stamp received from another process, and
// returns a stamp that is greater than all earlier ones of this clock. Logical parts are not
// exchanged, so causally ordered stamps of two processes with equal WallNS may be sorted wrongly.
func (c *Clock) Observe(wallNS int64) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := max(c.now().UnixNano(), wallNS)
	if wall > c.last.WallNS {
		c.last = Stamp{WallNS: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}
