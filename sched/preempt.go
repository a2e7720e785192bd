package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// maxStarved bounds the entries for which a round makes room by preemption.
	maxStarved = 64
	// maxVictimTries bounds the upstreams compared for one waiting task.
	maxVictimTries = 24
)

// recordStarved records entries of the urgent and displaced tiers, gangs excepted, for
// which other work may be checkpointed.
func (r *round) recordStarved(e *entry, v verdict) {
	if e.tier != tierNormal && e.job.Policy != Gang && v != notTried && len(r.starved) < maxStarved {
		r.starved = append(r.starved, e)
	}
}

// makeRoom checkpoints batch for urgent work and displaced services, no more than needed.
func (r *round) makeRoom() {
	r.expireReservations()
	for _, e := range r.starved {
		for _, t := range e.tasks[e.booked:] {
			if !r.makeRoomFor(t) {
				break
			}
		}
	}
}

// makeRoomFor reports whether room for one task is being freed.
func (r *round) makeRoomFor(t *task) bool {
	need := r.amountToReserve(t)
	tm := t.job.team(r.cell)
	pending := tm.used.Sub(tm.stopping).Sub(r.evicts[tm])
	limited := !pending.Add(need).Fits(tm.Limit)
	if !limited && r.claimPending(need) {
		r.evicts[tm] = r.evicts[tm].Sub(need)
		return true
	}
	var only *team
	if limited {
		only = tm
	}
	u, victims := r.cheapestEviction(need, only)
	if u == nil {
		return false
	}
	r.claims[u] = r.claims[u].Add(need)
	r.evicts[tm] = r.evicts[tm].Sub(need)
	r.evict(victims, StopPreempted)
	return true
}

// evict proposes to checkpoint tasks and records what their teams will no longer use.
func (r *round) evict(victims []*task, reason StopReason) {
	for _, v := range victims {
		r.stop(v, true, reason)
		owner := v.job.team(r.cell)
		r.evicts[owner] = r.evicts[owner].Add(v.reserved)
	}
}

// claimPending claims need on an upstream where tasks that are already stopping free
// enough capacity, and reports whether there is one.
func (r *round) claimPending(need resource.Vector) bool {
	for _, u := range r.freeing() {
		if u.reason != Fits {
			continue
		}
		claimed := r.claims[u].Add(need)
		if claimed.Fits(u.free().Add(u.stopping)) {
			r.claims[u] = claimed
			return true
		}
	}
	return false
}

// freeing lists the upstreams on which tasks were stopping before the round.
func (r *round) freeing() []*upstream {
	if r.stoppingUpstreams == nil {
		r.stoppingUpstreams = sorted(r.cell.stoppingUpstreams)
	}
	return r.stoppingUpstreams
}

// cheapestEviction returns the upstream on which the fewest tasks have to be checkpointed
// to make room for need, and those tasks. It searches the teams in the order of donors,
// latest tasks first, and ends with the first team that yields a result. If only is set,
// the tasks must be of that team. The upstream is nil if there is none.
func (r *round) cheapestEviction(need resource.Vector, only *team) (best *upstream, victims []*task) {
	for i := range r.unfreeable {
		if r.unfreeable[i].only == only && r.unfreeable[i].minRemaining <= r.minRemaining && r.unfreeable[i].need.Fits(need) {
			return nil, nil
		}
	}
	seen := make(map[*upstream]bool)
	for _, tm := range r.donors(only) {
		for i := len(tm.live) - 1; i >= 0 && len(seen) < maxVictimTries; i-- {
			l := tm.live[i]
			if !l.current() || r.evicted[l.task] || !r.mayEvict(l.task) {
				continue
			}
			u := l.task.up
			if u.reason != Fits || seen[u] {
				continue
			}
			seen[u] = true
			list, ok := r.victims(u, r.claims[u].Add(need), only)
			if ok && len(list) > 0 && (best == nil || len(list) < len(victims)) {
				best, victims = u, list
			}
		}
		if best != nil {
			return best, victims
		}
	}
	r.unfreeable = append(r.unfreeable, unfreeable{only, r.minRemaining, need})
	return nil, nil
}

// unfreeable is an amount for which checkpoints can't make room. If only is set, just tasks
// of that team were considered; if minRemaining is set, just tasks with at least that much
// time left to run.
type unfreeable struct {
	only         *team
	minRemaining time.Duration
	need         resource.Vector
}

// donors lists the teams by weighted share, highest first, as of the first call in the
// round, which follows the placements. If only is set, it lists just that team.
func (r *round) donors(only *team) []*team {
	if only != nil {
		return []*team{only}
	}
	if r.teamsByShare != nil {
		return r.teamsByShare
	}
	for _, tm := range r.cell.teamOrder {
		r.weightedShares = append(r.weightedShares, r.cell.weightedShare(tm))
	}
	r.teamsByShare = slices.Clone(r.cell.teamOrder)
	slices.SortStableFunc(r.teamsByShare, func(a, b *team) int { return cmp.Compare(r.weightedShares[b.number], r.weightedShares[a.number]) })
	return r.teamsByShare
}

// victims returns the tasks to checkpoint on an upstream so that need fits there. Tasks of
// the team with the highest weighted share are taken first, and of these the latest
// started. The second result is false if need does not fit even without them.
func (r *round) victims(u *upstream, need resource.Vector, only *team) ([]*task, bool) {
	free := u.free().Add(u.stopping)
	var list []*task
	for _, t := range u.tasks {
		if r.evicted[t] {
			free = free.Add(t.load())
		} else if r.mayEvict(t) && (only == nil || t.job.team(r.cell) == only) {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *task) int {
		pa, pb := r.cell.weightedShare(a.job.team(r.cell)), r.cell.weightedShare(b.job.team(r.cell))
		return cmp.Or(cmp.Compare(pb, pa), b.since.Compare(a.since))
	})
	for n := 0; ; n++ {
		if need.Fits(free) {
			return list[:n], true
		}
		if n == len(list) {
			return nil, false
		}
		free = free.Add(list[n].load())
	}
}
