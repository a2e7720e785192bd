package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// upstream is an Upstream with the work booked on it.
type upstream struct {
	Upstream
	// number is the upstream's index in Cell.upstreamOrder.
	number int
	domain *domain
	rack   *rack
	// reserved is what live tasks reserve; reportedUse is their reported use; load counts
	// for each task and dimension the larger of the two.
	reserved    resource.Vector
	load        resource.Vector
	reportedUse resource.Vector
	// stopping is the part of reserved that is about to be freed.
	stopping resource.Vector
	tasks    []*task
	// reason is why the upstream may not be given work.
	reason Reason
	// counted is how the upstream is counted in the cell's totals.
	counted countedAs
	// bucket is the index bucket that holds the upstream, nil if none does; bucketPos is
	// its position there.
	bucket    *bucket
	bucketPos int
	// heldFor is the reservation that holds the upstream, if any.
	heldFor *reservation
	health  upstreamHealth
	// drainSince is when the upstream or its failure domain began to drain; zero if
	// neither does.
	drainSince time.Time
	// throttledAt is when the grace period of the last throttling or stop for excess use
	// began.
	throttledAt time.Time
}

// free returns the capacity not covered by the load; it is negative where the load is
// higher than the capacity.
func (u *upstream) free() resource.Vector { return u.Capacity.Sub(u.load) }

// removeTask removes a task from the list by its position; the last task takes its place.
func (u *upstream) removeTask(t *task) {
	last := len(u.tasks) - 1
	u.tasks[t.pos] = u.tasks[last]
	u.tasks[t.pos].pos = t.pos
	u.tasks[last] = nil
	u.tasks = u.tasks[:last]
}

// rackKey identifies a rack within its failure domain.
type rackKey struct{ domain, name string }

// rack holds the upstreams of one rack.
type rack struct {
	domain  *domain
	members []*upstream
}

// joinRack adds the upstream to its rack and failure domain.
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

// leaveRack removes the upstream from its rack and failure domain before its description
// changes.
func (u *upstream) leaveRack() {
	u.domain.index.remove(u)
	u.rack.members = without(u.rack.members, u)
	u.domain.members = without(u.domain.members, u)
}

// without removes an upstream from the list in place.
func without(list []*upstream, u *upstream) []*upstream {
	for i, o := range list {
		if o == u {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// blockingReason returns why the upstream may not be given work, or Fits.
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

// refresh updates everything that is derived from an upstream's facts: its reason, the
// cell's totals, the index, and the sets of draining and overcommitted upstreams.
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

// updateTotals replaces an upstream's old part of the cell's totals by the new one.
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
