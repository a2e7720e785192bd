package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// waitingInterval is the time between rounds while some work finds no room and no fact
// changes. Such rounds are needed because preemption delays, start deadlines and expected
// run times depend on the time.
const waitingInterval = 250 * time.Millisecond

// Decide proposes at most limit placements, and stops, throttles and refusals as needed.
// It returns an empty decision at little cost when no fact has changed and no timer has
// expired.
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

// SetTime sets the time of the facts that follow. Decide sets it as well.
func (c *Cell) SetTime(now time.Time) { c.advance(now) }

// advance sets the cell's time, queues the work whose delay has ended, and marks the cell
// dirty if a round is due.
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

// round is one call of Decide. It books its placements on the cell while it runs, so that
// each sees those before it, and undoes the bookings at its end: only facts change the
// cell permanently.
type round struct {
	cell *Cell
	now  time.Time
	// limit bounds the placements of the round.
	limit    int
	decision Decision
	// context is what the placements of the round have in common.
	context *roundContext
	// journal lists the bookings of the round in order.
	journal []booking
	// tries is how many more entries of the current tier may fail to be placed.
	tries int
	// skipped holds entries taken out of their queue until the end of the round.
	skipped []*entry
	// exhausted is set when the normal tier ran out of tries.
	exhausted bool
	// hasUnplaced is set when some work found no room.
	hasUnplaced bool
	// bookedEntries holds the entries of which tasks were booked in the round.
	bookedEntries []*entry
	// full holds amounts for which no upstream has room.
	full []resource.Vector
	// starved holds entries of the urgent and displaced tiers for which running batch may
	// be checkpointed.
	starved []*entry
	// short holds entries of short work that found no room. minRemaining is the least
	// expected remaining run time of tasks that may be checkpointed for the entry in
	// question; zero means that any evictable task may be.
	short        []*entry
	minRemaining time.Duration
	// underserved holds the first entry of each team that found no room.
	underserved      []*entry
	underservedTeams map[*team]bool
	// probes holds the quarantined upstreams on which one task may be tried.
	probes []*upstream
	// spread counts the placements of the round that belong to the service class in
	// question; spreads has these counts per class.
	spread  spread
	spreads map[*class]spread
	// claims holds, per upstream, the capacity being freed there that is intended for
	// waiting tasks. evicted holds the tasks that the round proposes to stop. evicts is the
	// capacity that a team loses through the proposed stops, less the capacity that is
	// being freed for its own waiting tasks.
	claims  map[*upstream]resource.Vector
	evicted map[*task]bool
	evicts  map[*team]resource.Vector
	// stoppingUpstreams lists the upstreams on which tasks were stopping before the
	// round; it is filled on first use.
	stoppingUpstreams []*upstream
	// unfreeable holds amounts for which no room can be made by checkpoints.
	unfreeable []unfreeable
	// teamsByShare lists teams by weighted share, highest first; weightedShares is
	// indexed by team number. Both are filled on first use.
	teamsByShare   []*team
	weightedShares []float64
	// gangTries counts the gangs that the round has tried to place.
	gangTries int
	// domains is the reused buffer for the search order of failure domains.
	domains []*domain
}

// booking is one placement of the round.
type booking struct {
	task  *task
	entry *entry
	up    *upstream
	need  resource.Vector
}

// newRound returns a round that may place up to limit tasks.
func newRound(c *Cell, now time.Time, limit int) *round {
	r := &round{cell: c, now: now, limit: limit, spreads: make(map[*class]spread),
		claims: make(map[*upstream]resource.Vector), evicted: make(map[*task]bool), evicts: make(map[*team]resource.Vector), underservedTeams: make(map[*team]bool)}
	r.context = &roundContext{at: now, blocked: c.blocked}
	r.probes = r.dueProbes()
	return r
}

// book places a task for the rest of the round and adds the placement to the decision.
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

// applyBooking adds (sign 1) or removes (sign -1) a placement in the sums of its
// upstream, team, failure domain and class.
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

// undo reverts all placements after the first n and drops them from the decision.
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

// rollBack removes the round's bookings, so that the cell is again as the facts describe
// it. The decision keeps its placements.
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

// stop proposes to end a live attempt, at most once per round.
func (r *round) stop(t *task, checkpoint bool, reason StopReason) {
	if r.evicted[t] {
		return
	}
	r.evicted[t] = true
	r.decision.Stops = append(r.decision.Stops, Stop{Task: t.ref(), Checkpoint: checkpoint, Reason: reason})
}
