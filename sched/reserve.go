package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// maxHeldFraction bounds the upstreams held for gangs and overdue tasks, as a
	// fraction of the usable ones. A reservation that is the only one may exceed it.
	maxHeldFraction = 0.25
	// maxHoldCandidates bounds the upstreams examined for one reservation.
	maxHoldCandidates = 512
)

// reservation holds upstreams for a gang, or for a task that is overdue, until the job
// is placed or the reservation expires. Work that is expected to end before start may
// still use them.
type reservation struct {
	job  *job
	held []*upstream
	// needs are the amounts held for; waiting is the number of the job's waiting tasks
	// when the reservation was made.
	needs   []resource.Vector
	waiting int
	// start is when the upstreams are expected to have room; until is when the
	// reservation expires.
	start time.Time
	until time.Time
	// evicted is set once batch on the held upstreams was checkpointed, which happens
	// when the reservation first expires.
	evicted bool
}

// suspendHold makes held upstreams available to the search for the job that they are held
// for. It does nothing if v is nil.
func (r *round) suspendHold(v *reservation) {
	if v == nil {
		return
	}
	for _, u := range v.held {
		u.heldFor = nil
		r.cell.refresh(u)
	}
}

// restoreHold holds the upstreams again unless the latest booking of the round is of the
// job that they are held for.
func (r *round) restoreHold(v *reservation) {
	if len(r.journal) == 0 || r.journal[len(r.journal)-1].task.job != v.job {
		r.applyHold(v)
	}
}

// applyHold makes held upstreams unavailable to other jobs. It does nothing if v is nil.
func (r *round) applyHold(v *reservation) {
	if v == nil {
		return
	}
	for _, u := range v.held {
		u.heldFor = v
		r.cell.refresh(u)
	}
}

// backfill tries held upstreams, for urgent work and for work that is expected to end
// before the reservation's start.
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

// endsBefore reports whether batch started now is expected to have ended before the given
// time, with probability endQuantile.
func (r *round) endsBefore(t *task, at time.Time) bool {
	return t.job.Policy == Batch && r.now.Add(r.cell.expected(t.job.class, t.job.ExpectedRunTime, 0, endQuantile)).Before(at)
}

// opening is room for one more task on an upstream; in is the expected time until then.
type opening struct {
	up *upstream
	in time.Duration
}

// makeReservation reserves for a job the upstreams that are expected to have room for all
// its tasks first. It does nothing if there is a reservation, if the last one ended too
// recently, or if not enough room is expected.
func (r *round) makeReservation(j *job, needs []resource.Vector) {
	c := r.cell
	if j.reservation != nil || r.now.Before(j.noReservationUntil) || len(c.upstreamOrder) == 0 {
		return
	}
	var list []opening
	seen := 0
	first := int((c.settings.Seed + uint64(j.ID)) % uint64(len(c.upstreamOrder)))
	for i := range c.upstreamOrder {
		u := c.upstreamOrder[(first+i)%len(c.upstreamOrder)]
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
	r.hold(j, needs, list[:len(needs)])
}

// openings appends up to n openings on an upstream, derived from the expected ends of the
// tasks that run there.
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

// hold makes the reservation on the upstreams of the list, which is sorted by time, unless
// too many upstreams are held already.
func (r *round) hold(j *job, needs []resource.Vector, list []opening) {
	c := r.cell
	v := &reservation{job: j, needs: needs, waiting: j.waiting, start: r.now.Add(list[len(list)-1].in)}
	v.until = r.now.Add(min(c.settings.MaxReservationTime, max(2*list[len(list)-1].in, c.settings.MaxReservationTime/4)))
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
	r.applyHold(v)
}

// endReservation releases what is held for a job.
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

// expireReservations ends reservations of jobs that have started, and those that have
// expired. Batch on the held upstreams is checkpointed once, with four more checkpoint
// times to end in; if the job still does not fit, it gets no reservation for
// Settings.ReservationRetryDelay.
func (r *round) expireReservations() {
	for _, v := range slices.Clone(r.cell.reservations) {
		switch {
		case v.job.waiting < v.waiting:
			r.cell.endReservation(v.job)
		case r.now.Before(v.until):
		case !v.evicted:
			v.evicted = true
			v.until = r.now.Add(4 * r.cell.settings.CheckpointTime)
			r.evictFor(v)
		default:
			r.cell.endReservation(v.job)
			v.job.noReservationUntil = r.now.Add(r.cell.settings.ReservationRetryDelay)
		}
	}
}

// evictFor checkpoints as much batch on held upstreams as the reservation needs.
func (r *round) evictFor(v *reservation) {
	for i, need := range v.needs {
		u := v.held[i%len(v.held)]
		claimed := r.claims[u].Add(need)
		victims, ok := r.victims(u, claimed, nil)
		if !ok {
			continue
		}
		r.claims[u] = claimed
		for _, t := range victims {
			r.stop(t, true, StopForReservation)
		}
	}
}
