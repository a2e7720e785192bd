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

// evenOut checkpoints the latest batch of teams far above their shares for teams that
// have waited below theirs for longer than the patience.
func (r *round) evenOut() {
	stops := 0
	for _, e := range r.deprived {
		tm := e.team
		if e.taken == len(e.tasks) || r.now.Sub(tm.below) < r.cell.settings.SharePatience {
			continue
		}
		for _, t := range e.tasks[e.taken:] {
			if stops == maxFairStops || !r.evenOutFor(t, tm) {
				break
			}
			stops++
		}
	}
}

func (r *round) evenOutFor(t *task, tm *team) bool {
	need := r.reserveFor(t)
	if r.claimPending(need) {
		r.evicts[tm] = r.evicts[tm].Sub(need)
		return true
	}
	donor := r.donors(nil)[0]
	gap := (r.settledPosition(donor) - r.settledPosition(tm)) * float64(min(donor.Share, tm.Share))
	if donor == tm || gap < fairGap {
		return false
	}
	u, victims := r.cheapest(need, donor)
	if u == nil {
		return false
	}
	r.claims[u] = r.claims[u].Add(need)
	r.evicts[tm] = r.evicts[tm].Sub(need)
	r.evict(victims, StopForShare)
	return true
}

// settledPosition is a team's position once what is being stopped has gone.
func (r *round) settledPosition(tm *team) float64 {
	return dominantShare(tm.used.Sub(tm.stopping).Sub(r.evicts[tm]), r.cell.total) / float64(tm.Share)
}

// noteDeprived remembers the first entry of each team that found no room, and since when
// the team has waited.
func (r *round) noteDeprived(e *entry, v verdict) {
	if e.tier != tierNormal || e.job.Policy == Gang || v != noRoom || r.deprivedTeams[e.team] {
		return
	}
	r.deprivedTeams[e.team] = true
	r.deprived = append(r.deprived, e)
	if e.team.below.IsZero() {
		e.team.below = r.now
	}
	if r.now.After(e.order) {
		r.reserve(e.job, []resource.Vector{r.reserveFor(e.tasks[e.taken])})
	}
}

// noteContent forgets since when teams that found room have waited.
func (r *round) noteContent() {
	for _, tm := range r.cell.teamOrder {
		if !r.deprivedTeams[tm] {
			tm.below = time.Time{}
		}
	}
}
