package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// maxGangTries bounds the gangs that one round tries to place.
	maxGangTries = 8
	// maxHeldFraction bounds the upstreams held for gangs.
	maxHeldFraction = 0.25
	// maxHoldCandidates bounds the upstreams weighed for one reservation.
	maxHoldCandidates = 512
)

// reservation holds upstreams for a gang until it fits or its time is over. Work
// that is expected to end before start may still use them.
type reservation struct {
	job   *job
	held  []*upstream
	start time.Time
	until time.Time
	// last is set once batch was asked to leave, at the end of the hold.
	last bool
}

// serveGang places all tasks of a gang or none: in one rack, else in one domain,
// else anywhere.
func (r *round) serveGang(e *entry) verdict {
	if len(e.tasks) < e.job.unended() || r.gangs >= maxGangTries {
		return incomplete
	}
	needs := make([]resource.Vector, len(e.tasks))
	var whole resource.Vector
	for i, t := range e.tasks {
		needs[i] = r.reserveFor(t)
		whole = whole.Add(needs[i])
	}
	if !e.team.used.Add(whole).Fits(e.team.Limit) {
		return overLimit
	}
	r.gangs++
	r.lift(e.job.reservation)
	if r.placeInRack(e, needs, whole) || r.placeWidely(e, needs) {
		return placed
	}
	r.lower(e.job.reservation)
	r.reserve(e.job, needs)
	return noRoom
}

// lift makes held upstreams findable by the gang that they are held for.
func (r *round) lift(v *reservation) {
	if v == nil {
		return
	}
	for _, u := range v.held {
		u.heldFor = nil
		r.cell.refresh(u)
	}
}

func (r *round) lower(v *reservation) {
	if v == nil {
		return
	}
	for _, u := range v.held {
		u.heldFor = v
		r.cell.refresh(u)
	}
}

// placeInRack tries the racks that have enough free slots in all.
func (r *round) placeInRack(e *entry, needs []resource.Vector, whole resource.Vector) bool {
	for _, rk := range r.cell.rackOrder {
		if !rk.domain.open(r.now) || !rk.mayHold(whole) {
			continue
		}
		before := len(r.journal)
		if r.packInto(e, needs, rk.members) {
			return true
		}
		r.undo(before)
	}
	return false
}

// mayHold reports whether the free amounts of the rack's upstreams add up to need.
func (rk *rack) mayHold(need resource.Vector) bool {
	var sum resource.Vector
	for _, u := range rk.members {
		if u.bucket != nil {
			sum = sum.Add(u.free())
		}
	}
	return need.Fits(sum)
}

func (r *round) packInto(e *entry, needs []resource.Vector, members []*upstream) bool {
	for i, t := range e.tasks {
		var k ranking
		q := query{task: t, need: needs[i]}
		for _, u := range members {
			if u.bucket != nil && needs[i].Fits(u.free()) && !r.cell.avoids(e.job, u) {
				k.fitting++
				k.offer(u, r.score(&q, u, u.free()))
			}
		}
		if k.best == nil || !k.best.domain.open(r.now) {
			return false
		}
		r.book(t, k.best, needs[i], &k)
	}
	return true
}

func (r *round) placeWidely(e *entry, needs []resource.Vector) bool {
	for _, d := range r.cell.domainOrder {
		if int64(d.index.size) > 0 && r.placeWithin(e, needs, d) {
			return true
		}
	}
	return r.placeWithin(e, needs, nil)
}

func (r *round) placeWithin(e *entry, needs []resource.Vector, d *domain) bool {
	before := len(r.journal)
	racks := make(map[*rack]bool)
	for i, t := range e.tasks {
		k := r.rank(&query{task: t, need: needs[i], within: d, racks: racks})
		if k.best == nil {
			r.undo(before)
			return false
		}
		racks[k.best.rack] = true
		r.book(t, k.best, needs[i], &k)
	}
	return true
}

// backfill tries held upstreams: for urgent work, and for work that is expected to
// end before the gang starts there.
func (r *round) backfill(t *task, need resource.Vector) verdict {
	var k ranking
	for _, v := range r.cell.reservations {
		if !t.job.Urgent && !r.endsBefore(t, v.start) {
			continue
		}
		for _, u := range v.held {
			if u.heldFor == v && u.reason == Fits && need.Fits(u.free()) && u.domain.open(r.now) && !r.cell.avoids(t.job, u) {
				k.fitting++
				k.offer(u, leftover(u.free().Sub(need), u.Capacity))
			}
		}
	}
	if k.best == nil {
		return noRoom
	}
	r.book(t, k.best, need, &k)
	return placed
}

func (r *round) endsBefore(t *task, at time.Time) bool {
	return t.job.Policy == Batch && r.now.Add(r.cell.expected(t.job.class, t.job.Expected, 0, endQuantile)).Before(at)
}

// opening is the time at which an upstream is expected to have room for one more
// task of a gang.
type opening struct {
	up *upstream
	in time.Duration
}

// reserve holds the upstreams that are expected to have room for the gang first.
func (r *round) reserve(j *job, needs []resource.Vector) {
	c := r.cell
	if j.reservation != nil || r.now.Before(j.restUntil) || len(c.order) == 0 {
		return
	}
	var list []opening
	seen := 0
	first := int((c.settings.Seed + uint64(j.ID)) % uint64(len(c.order)))
	for i := range c.order {
		u := c.order[(first+i)%len(c.order)]
		if u.reason != Fits || u.heldFor != nil || seen == maxHoldCandidates {
			continue
		}
		seen++
		list = r.openings(list, u, needs[0], len(needs))
	}
	if len(list) < len(needs) {
		return
	}
	slices.SortStableFunc(list, func(a, b opening) int { return cmp.Compare(a.in, b.in) })
	r.hold(j, list[:len(needs)])
}

// openings appends when an upstream will have room for up to n tasks.
func (r *round) openings(list []opening, u *upstream, need resource.Vector, n int) []opening {
	type ending struct {
		in   time.Duration
		load resource.Vector
	}
	var ends []ending
	for _, t := range u.tasks {
		if t.phase == Stopping {
			ends = append(ends, ending{r.cell.settings.CheckpointTime, t.load()})
		} else if in, ok := r.cell.remaining(t, r.now); ok {
			ends = append(ends, ending{in, t.load()})
		}
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	free, in := u.free(), time.Duration(0)
	for n > 0 {
		if need.Fits(free) {
			list = append(list, opening{u, in})
			free = free.Sub(need)
			n--
			continue
		}
		if len(ends) == 0 {
			return list
		}
		free, in = free.Add(ends[0].load), ends[0].in
		ends = ends[1:]
	}
	return list
}

func (r *round) hold(j *job, list []opening) {
	c := r.cell
	v := &reservation{job: j, start: r.now.Add(list[len(list)-1].in)}
	v.until = r.now.Add(min(c.settings.GangHold, max(2*list[len(list)-1].in, c.settings.GangHold/4)))
	chosen := make(map[*upstream]bool)
	for _, o := range list {
		if !chosen[o.up] {
			chosen[o.up] = true
			v.held = append(v.held, o.up)
		}
	}
	held := len(v.held)
	for _, other := range c.reservations {
		held += len(other.held)
	}
	if float64(held) > max(maxHeldFraction*float64(c.blocked[Fits]), float64(len(v.held))) {
		return
	}
	j.reservation = v
	c.reservations = append(c.reservations, v)
	r.lower(v)
}

// endReservation lets go of what is held for a job.
func (c *Cell) endReservation(j *job) {
	v := j.reservation
	if v == nil {
		return
	}
	j.reservation = nil
	c.reservations = slices.DeleteFunc(c.reservations, func(o *reservation) bool { return o == v })
	for _, u := range v.held {
		if u.heldFor == v {
			u.heldFor = nil
			c.refresh(u)
		}
	}
	c.dirty = true
}

// expireReservations ends holds whose time is over: batch is asked to leave once, and
// if the gang still does not fit, it waits without a hold for a while.
func (r *round) expireReservations() {
	for _, v := range slices.Clone(r.cell.reservations) {
		switch {
		case v.job.waiting < v.job.unended():
			r.cell.endReservation(v.job)
		case r.now.Before(v.until):
		case !v.last:
			v.last = true
			v.until = r.now.Add(4 * r.cell.settings.CheckpointTime)
			r.evictFor(v)
		default:
			r.cell.endReservation(v.job)
			v.job.restUntil = r.now.Add(r.cell.settings.GangRest)
		}
	}
}

// evictFor checkpoints as much batch on held upstreams as the gang needs.
func (r *round) evictFor(v *reservation) {
	for i := range v.job.tasks {
		u := v.held[i%len(v.held)]
		need := r.cell.reserve(v.job.class, v.job.tasks[i].need())
		claimed := r.claims[u].Add(need)
		victims, ok := r.victims(u, claimed, nil)
		if !ok {
			continue
		}
		r.claims[u] = claimed
		for _, t := range victims {
			r.stop(t, true, StopForGang)
		}
	}
}
