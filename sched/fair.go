package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// fairGap is the difference between two teams' shares, as a fraction of the cell,
	// from which on running work of the one is checkpointed for the other.
	fairGap = 0.02
	// maxFairStops bounds the tasks that one round checkpoints for fairness.
	maxFairStops = 4
)

// rebalanceShares checkpoints the latest batch of teams far above their shares for teams
// that have waited below theirs for Settings.SharePreemptDelay or longer.
func (r *round) rebalanceShares() {
	stops := 0
	for _, e := range r.underserved {
		tm := e.team
		if e.booked == len(e.tasks) || r.now.Sub(tm.waitingSince) < r.cell.settings.SharePreemptDelay {
			continue
		}
		for _, t := range e.tasks[e.booked:] {
			if stops == maxFairStops || !r.rebalanceFor(t, tm) {
				break
			}
			stops++
		}
	}
}

// rebalanceFor reports whether room for a task of tm is being freed, by stops that are
// under way or by new ones.
func (r *round) rebalanceFor(t *task, tm *team) bool {
	need := r.amountToReserve(t)
	if r.claimPending(need) {
		r.evicts[tm] = r.evicts[tm].Sub(need)
		return true
	}
	donor := r.donors(nil)[0]
	gap := (r.projectedShare(donor) - r.projectedShare(tm)) * float64(min(donor.Share, tm.Share))
	if donor == tm || gap < fairGap {
		return false
	}
	u, victims := r.cheapestEviction(need, donor)
	if u == nil {
		return false
	}
	r.claims[u] = r.claims[u].Add(need)
	r.evicts[tm] = r.evicts[tm].Sub(need)
	r.evict(victims, StopForShare)
	return true
}

// projectedShare is a team's weighted share after all stops that are under way or
// proposed, and with the waiting tasks for which they free room.
func (r *round) projectedShare(tm *team) float64 {
	return dominantShare(tm.used.Sub(tm.stopping).Sub(r.evicts[tm]), r.cell.total) / float64(tm.Share)
}

// recordUnderserved records the first entry of each team that found no room, and when the
// team began to wait. For an entry past its start deadline it reserves an upstream. Gangs
// and the other tiers are ignored.
func (r *round) recordUnderserved(e *entry, v verdict) {
	if e.tier != tierNormal || e.job.Policy == Gang || v != noRoom || r.underservedTeams[e.team] {
		return
	}
	r.underservedTeams[e.team] = true
	r.underserved = append(r.underserved, e)
	if e.team.waitingSince.IsZero() {
		e.team.waitingSince = r.now
	}
	if r.now.After(e.startDeadline) {
		r.makeReservation(e.job, []resource.Vector{r.amountToReserve(e.tasks[e.booked])})
	}
}

// clearServedTeams resets the waiting time of teams that were not recorded as underserved
// in the round.
func (r *round) clearServedTeams() {
	for _, tm := range r.cell.teamOrder {
		if !r.underservedTeams[tm] {
			tm.waitingSince = time.Time{}
		}
	}
}
