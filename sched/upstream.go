package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// upstream is a worker with what is booked on it.
type upstream struct {
	Upstream
	number int
	domain *domain
	rack   *rack
	// reserved is what live tasks reserve; load counts a task's reported use where
	// that is higher; real is the reported use alone.
	reserved    resource.Vector
	load        resource.Vector
	reportedUse resource.Vector
	// stopping is the part of reserved that is about to be freed.
	stopping resource.Vector
	tasks    []*task
	// reason is why the upstream may not get work.
	reason    Reason
	counted   countedAs
	bucket    *bucket
	bucketPos int
	heldFor   *reservation
	health    upstreamHealth
	// drainSince is when the upstream or its domain began to leave.
	drainSince  time.Time
	throttledAt time.Time
}

// free returns what may still be given away; it is negative where the load is too high.
func (u *upstream) free() resource.Vector { return u.Capacity.Sub(u.load) }

// removeTask removes a task by its position.
func (u *upstream) removeTask(t *task) {
	last := len(u.tasks) - 1
	u.tasks[t.pos] = u.tasks[last]
	u.tasks[t.pos].pos = t.pos
	u.tasks[last] = nil
	u.tasks = u.tasks[:last]
}

// rackKey names a rack within its domain.
type rackKey struct{ domain, name string }

// rack holds the upstreams of one rack.
type rack struct {
	domain  *domain
	members []*upstream
}

func (u *upstream) joinRack(c *Cell) {
	u.domain = c.domain(u.Domain)
	u.domain.members = append(u.domain.members, u)
	key := rackKey{u.Domain, u.Rack}
	r := c.racks[key]
	if r == nil {
		r = &rack{domain: u.domain}
		c.racks[key] = r
		c.rackOrder = append(c.rackOrder, r)
	}
	u.rack = r
	r.members = append(r.members, u)
}

// leaveRack takes the upstream out of its rack and domain before it is described anew.
func (u *upstream) leaveRack() {
	u.domain.index.remove(u)
	u.rack.members = without(u.rack.members, u)
	u.domain.members = without(u.domain.members, u)
}

func without(list []*upstream, u *upstream) []*upstream {
	for i, o := range list {
		if o == u {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// blockingReason returns why the upstream may not get work.
func (u *upstream) blockingReason() Reason {
	switch {
	case !u.Active && u.Leaving:
		return UpstreamLeaving
	case !u.Active:
		return UpstreamLost
	case !u.domain.known:
		return DomainUnknown
	case u.domain.Out:
		return DomainOut
	case u.health.paused:
		return Quarantined
	}
	return Fits
}

// refresh brings everything that follows from an upstream's facts up to date.
func (c *Cell) refresh(u *upstream) {
	was := u.counted
	now := countedAs{reason: u.blockingReason(), capacity: u.Capacity, valid: true}
	if was != now {
		c.updateTotals(u, was, now)
	}
	u.reason = now.reason
	if u.reason == Fits && u.heldFor == nil && u.free()[resource.Slots] > 0 {
		u.domain.index.put(u)
	} else {
		u.domain.index.remove(u)
	}
	c.updateDrain(u)
	if !u.reserved.Fits(u.Capacity) || !u.reportedUse.Fits(u.Capacity) {
		c.overcommitted[u] = true
	}
}

// countedAs is how an upstream was last counted in the totals of the cell.
type countedAs struct {
	valid    bool
	reason   Reason
	capacity resource.Vector
}

func (c *Cell) updateTotals(u *upstream, was, now countedAs) {
	if was.valid && was.reason == Fits {
		c.total = c.total.Sub(was.capacity)
	}
	if was.valid {
		c.blocked[was.reason]--
	}
	if now.reason == Fits {
		c.total = c.total.Add(now.capacity)
	}
	c.blocked[now.reason]++
	u.counted = now
}

// updateDrain starts or ends the draining of an upstream.
func (c *Cell) updateDrain(u *upstream) {
	draining := u.reason == DomainOut || u.reason == UpstreamLeaving
	switch {
	case draining && u.drainSince.IsZero():
		u.drainSince = c.now
		c.draining[u] = true
	case !draining && !u.drainSince.IsZero():
		u.drainSince = time.Time{}
		delete(c.draining, u)
	}
}
