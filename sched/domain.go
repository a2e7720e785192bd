package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// rampBurst is the fraction of a returned failure domain's slots that may be filled at
// once.
const rampBurst = 0.05

// domain is a failure domain with its upstreams.
type domain struct {
	Domain
	// known is set once operators have configured the failure domain.
	known   bool
	members []*upstream
	index   index
	// rampFrom and rampUntil bound the ramp: the time during which work is started
	// gradually in a failure domain that has returned.
	rampFrom  time.Time
	rampUntil time.Time
	// returns counts the returns that each followed the previous one within
	// Settings.FlapWindow; returned is the time of the last.
	returns  int
	returned time.Time
	// started counts the starts since the last return, proposed those booked in the
	// current round.
	started  int
	proposed int
}

// update takes a new description and begins a ramp when the failure domain returns. From
// the second return within Settings.FlapWindow on, the ramp begins only after a pause.
func (d *domain) update(c *Cell, next Domain) {
	back := d.known && d.Out && !next.Out
	d.Domain, d.known = next, true
	if !back {
		return
	}
	if d.returns > 0 && c.now.Sub(d.returned) < c.settings.FlapWindow {
		d.returns++
	} else {
		d.returns = 1
	}
	const maxDoublings = 5
	pause := time.Duration(0)
	if d.returns > 1 {
		pause = c.settings.FlapPause << min(d.returns-2, maxDoublings)
	}
	d.returned = c.now
	d.rampFrom = c.now.Add(pause)
	d.rampUntil = d.rampFrom.Add(c.settings.RampTime)
	d.started = 0
}

// countStart counts a start while the ramp is under way.
func (d *domain) countStart(now time.Time) {
	if now.Before(d.rampUntil) {
		d.started++
	}
}

// open reports whether the ramp allows another start now.
func (d *domain) open(now time.Time) bool {
	if !now.Before(d.rampUntil) {
		return true
	}
	if now.Before(d.rampFrom) {
		return false
	}
	slots := int64(0)
	for _, u := range d.members {
		slots += u.Capacity[resource.Slots]
	}
	passed := float64(now.Sub(d.rampFrom)) / float64(d.rampUntil.Sub(d.rampFrom))
	return float64(d.started+d.proposed) < float64(slots)*max(rampBurst, passed)
}

// ramping reports whether any failure domain has a ramp under way.
func (c *Cell) ramping() bool {
	for _, d := range c.domainOrder {
		if c.now.Before(d.rampUntil) && !d.Out {
			return true
		}
	}
	return false
}
