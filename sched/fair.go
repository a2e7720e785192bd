package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// fairGap is the fraction of the cell by which shares have to differ before
	// running work is checkpointed for the team below.
	fairGap = 0.02
	// maxFairStops bounds the tasks checkpointed for shares in one round.
	maxFairStops = 4
)

// rebalanceShares checkpoints the latest batch of teams far above their shares for teams that
// have waited below theirs for longer than the patience.
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

func (r *round) rebalanceFor(t *task, tm *team) bool {
	need := r.reserveFor(t)
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

// projectedShare is a team's position once what is being stopped has gone.
func (r *round) projectedShare(tm *team) float64 {
	return dominantShare(tm.used.Sub(tm.stopping).Sub(r.evicts[tm]), r.cell.total) / float64(tm.Share)
}

// recordUnderserved remembers the first entry of each team that found no room, and since when
// the team has waited.
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
		r.reserve(e.job, []resource.Vector{r.reserveFor(e.tasks[e.booked])})
	}
}

// clearServedTeams forgets since when teams that found room have waited.
func (r *round) clearServedTeams() {
	for _, tm := range r.cell.teamOrder {
		if !r.underservedTeams[tm] {
			tm.waitingSince = time.Time{}
		}
	}
}
