package timeline

import (
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// WallNS is in Unix nanoseconds; Logical orders stamps of equal WallNS.
	WallNS  int64
	Logical uint32
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over a physical one.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp above all earlier ones.
func (c *Clock) Now() Stamp { return c.Observe(0) }

// Observe merges the wall part of a stamp received from another process and returns a
// stamp above it.
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
