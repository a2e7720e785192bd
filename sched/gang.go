package sched

import "github.com/bulrushwinch/bulrushwinch/resource"

// maxGangTries bounds the gangs that one round tries to place.
const maxGangTries = 8

// serveGang places all tasks of a gang or none: in one rack, otherwise in one failure
// domain, otherwise anywhere.
func (r *round) serveGang(e *entry) verdict {
	if len(e.tasks) < e.job.unended() || r.gangTries >= maxGangTries {
		return notTried
	}
	needs := make([]resource.Vector, len(e.tasks))
	var whole resource.Vector
	for i, t := range e.tasks {
		needs[i] = r.amountToReserve(t)
		whole = whole.Add(needs[i])
	}
	if !e.team.used.Add(whole).Fits(e.team.Limit) {
		return overLimit
	}
	r.gangTries++
	r.suspendHold(e.job.reservation)
	if r.placeInRack(e, needs, whole) || r.placeWidely(e, needs) {
		return placed
	}
	r.applyHold(e.job.reservation)
	r.makeReservation(e.job, needs)
	return noRoom
}

// placeInRack tries the racks whose free capacity is large enough in total.
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

// mayHold reports whether the free capacity of the rack's upstreams, taken together,
// covers need. The tasks may still not fit one by one.
func (rk *rack) mayHold(need resource.Vector) bool {
	var sum resource.Vector
	for _, u := range rk.members {
		if u.bucket != nil {
			sum = sum.Add(u.free())
		}
	}
	return need.Fits(sum)
}

// packInto places the gang's tasks on the given upstreams and reports whether all of them
// fitted. If not, the caller has to undo the placements.
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

// placeWidely tries each failure domain alone and then all of them together.
func (r *round) placeWidely(e *entry, needs []resource.Vector) bool {
	for _, d := range r.cell.domainOrder {
		if int64(d.index.size) > 0 && r.placeWithin(e, needs, d) {
			return true
		}
	}
	return r.placeWithin(e, needs, nil)
}

// placeWithin places the gang in one failure domain, or anywhere if d is nil. It places
// nothing if not all tasks fit.
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
