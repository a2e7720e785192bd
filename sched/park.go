package sched

import (
	"container/heap"
	"time"
)

// parkTime is how long entries that found no place stay out of the queues after a round
// ran out of tries, so that the next rounds reach the entries behind them.
const parkTime = 250 * time.Millisecond

// parked holds the entries of one round that stay out of their queues until a given time.
type parked struct {
	until   time.Time
	entries []*entry
}

// requeueSkipped puts the entries that the round skipped back into their queues. If the
// round ran out of tries, it parks those of the normal tier instead.
func (r *round) requeueSkipped() {
	if !r.exhausted {
		for _, e := range r.skipped {
			heap.Push(&e.team.queues[e.tier], e)
		}
		return
	}
	p := parked{until: r.now.Add(parkTime)}
	for _, e := range r.skipped {
		if e.tier == tierNormal {
			p.entries = append(p.entries, e)
		} else {
			heap.Push(&e.team.queues[e.tier], e)
		}
	}
	r.cell.parked = append(r.cell.parked, p)
}

// unpark puts entries back into their queues when their parkTime has passed.
func (c *Cell) unpark() {
	for len(c.parked) > 0 && !c.parked[0].until.After(c.now) {
		for _, e := range c.parked[0].entries {
			if len(e.tasks) > 0 {
				heap.Push(&e.team.queues[e.tier], e)
			}
		}
		c.parked = c.parked[1:]
		c.dirty = true
	}
}
