package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// waitingInterval is the time between rounds while work finds no room and no fact
// changes: what patience, deadlines and run times allow changes with time alone.
const waitingInterval = 250 * time.Millisecond

// Decide proposes at most limit placements, and stops and refusals as needed. It
// costs next to nothing when no fact has changed and no time has come.
func (c *Cell) Decide(now time.Time, limit int) Decision {
	c.advance(now)
	if !c.dirty {
		return Decision{}
	}
	c.dirty = false
	clear(c.rationales)
	r := newRound(c, now, limit)
	r.refuseInfeasible()
	r.drain()
	r.stopExcess()
	for tr := range numTiers {
		r.serve(tr)
	}
	r.makeRoom()
	r.serveShort()
	r.rebalanceShares()
	r.clearServedTeams()
	r.rollBack()
	if !r.decision.Empty() || r.exhausted {
		c.dirty = true
	}
	c.wakeAt = time.Time{}
	if r.hasUnplaced {
		c.wakeAt = now.Add(waitingInterval)
	}
	return r.decision
}

// SetTime tells the time of the facts that follow. Decide tells it as well.
func (c *Cell) SetTime(now time.Time) { c.advance(now) }

// advance moves the cell's time and wakes what was waiting for it.
func (c *Cell) advance(now time.Time) {
	c.now = now
	if c.began.IsZero() {
		c.began = now
	}
	c.admitDue()
	c.unpark()
	if len(c.draining) > 0 || len(c.overcommitted) > 0 || len(c.overLimit) > 0 || len(c.reservations) > 0 || c.ramping() {
		c.dirty = true
	}
	if !c.wakeAt.IsZero() && !now.Before(c.wakeAt) {
		c.dirty = true
	}
	if len(c.unchecked) > 0 && c.settled() {
		c.dirty = true
	}
	for u := range c.quarantined {
		if !now.Before(u.health.until) {
			c.dirty = true
		}
	}
}

// round is one call of Decide. It books its placements on the cell while it goes
// and takes them back at its end: facts alone change the cell.
type round struct {
	cell     *Cell
	now      time.Time
	limit    int
	decision Decision
	context  *roundContext
	journal  []booking
	// tries is how many more entries the tier may find no place for.
	tries int
	// skipped are entries out of their queue, touched those with taken tasks.
	skipped []*entry
	// exhausted is set when the normal tier ran out of tries.
	exhausted bool
	// hasUnplaced is set when something found no room.
	hasUnplaced   bool
	bookedEntries []*entry
	// full are amounts for which no upstream has room.
	full    []resource.Vector
	starved []*entry
	// short holds short work that found no room; minLeft is what work that makes
	// room for it has yet to run.
	short        []*entry
	minRemaining time.Duration
	// underserved holds the first entry of each team that found no room.
	underserved      []*entry
	underservedTeams map[*team]bool
	probes           []*upstream
	// spread counts what the round places of the service class in question.
	spread  spread
	spreads map[*class]spread
	claims  map[*upstream]resource.Vector
	evicted map[*task]bool
	evicts  map[*team]resource.Vector
	// stoppingUpstreams lists the upstreams on which something is being stopped.
	stoppingUpstreams []*upstream
	unfreeable        []unfreeable
	// teamsByShare lists teams by position, highest first, positions by team number.
	teamsByShare   []*team
	weightedShares []float64
	gangTries      int
	// domains is the order of the current search.
	domains []*domain
}

// booking is a placement of the round.
type booking struct {
	task  *task
	entry *entry
	up    *upstream
	need  resource.Vector
}

func newRound(c *Cell, now time.Time, limit int) *round {
	r := &round{cell: c, now: now, limit: limit, spreads: make(map[*class]spread),
		claims: make(map[*upstream]resource.Vector), evicted: make(map[*task]bool), evicts: make(map[*team]resource.Vector), underservedTeams: make(map[*team]bool)}
	r.context = &roundContext{at: now, blocked: c.blocked}
	r.probes = r.dueProbes()
	return r
}

// book places a task for the rest of the round.
func (r *round) book(t *task, u *upstream, need resource.Vector, k *ranking) {
	r.journal = append(r.journal, booking{t, t.entry, u, need})
	if t.entry.booked == 0 {
		r.bookedEntries = append(r.bookedEntries, t.entry)
	}
	t.entry.booked++
	r.cell.rationales[t.ref()] = r.rationale(t, k)
	r.applyBooking(t, u, need, 1)
	r.decision.Placements = append(r.decision.Placements,
		Placement{Task: t.ref(), Upstream: u.Name, Incarnation: u.Incarnation, Reserved: need})
}

func (r *round) applyBooking(t *task, u *upstream, need resource.Vector, sign int) {
	tm := t.job.team(r.cell)
	if sign < 0 {
		need = resource.Vector{}.Sub(need)
	}
	u.load = u.load.Add(need)
	u.reserved = u.reserved.Add(need)
	tm.book(need)
	u.domain.proposed += sign
	if u.bucket != nil || u.reason == Fits && u.heldFor == nil {
		r.cell.refresh(u)
	}
	if t.job.Policy == Service {
		sp := r.spreads[t.job.class]
		sp.add(u, sign)
		r.spreads[t.job.class] = sp
	}
}

// undo takes back the placements after the first n.
func (r *round) undo(n int) {
	for i := len(r.journal) - 1; i >= n; i-- {
		b := r.journal[i]
		r.applyBooking(b.task, b.up, b.need, -1)
		b.entry.booked--
		delete(r.cell.rationales, b.task.ref())
	}
	r.journal = r.journal[:n]
	r.decision.Placements = r.decision.Placements[:n]
}

// rollBack leaves the cell as the facts describe it.
func (r *round) rollBack() {
	for i := len(r.journal) - 1; i >= 0; i-- {
		b := r.journal[i]
		r.applyBooking(b.task, b.up, b.need, -1)
	}
	for _, e := range r.bookedEntries {
		e.booked = 0
	}
	r.requeueSkipped()
}

// stop proposes to end a live attempt.
func (r *round) stop(t *task, checkpoint bool, why StopReason) {
	if r.evicted[t] {
		return
	}
	r.evicted[t] = true
	r.decision.Stops = append(r.decision.Stops, Stop{Task: t.ref(), Checkpoint: checkpoint, Why: why})
}
