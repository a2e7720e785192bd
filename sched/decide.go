package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Decide proposes at most limit placements, and stops and refusals as needed.
func (c *Cell) Decide(now time.Time, limit int) Decision {
	r := &round{cell: c, now: now, limit: limit,
		used: make(map[*upstream]resource.Vector), teamUsed: make(map[*team]resource.Vector)}
	r.stopDisplaced()
	for _, urgent := range []bool{true, false} {
		for _, j := range c.waiting {
			if j.Urgent == urgent {
				r.placeJob(j)
			}
		}
	}
	return r.decision
}

// round is one call of Decide, with what it has given away so far.
type round struct {
	cell     *Cell
	now      time.Time
	limit    int
	used     map[*upstream]resource.Vector
	teamUsed map[*team]resource.Vector
	decision Decision
}

// stopDisplaced asks tasks to leave upstreams that are leaving or in a domain that is out.
func (r *round) stopDisplaced() {
	for _, u := range r.cell.order {
		d := r.cell.domains[u.Domain]
		out := d != nil && d.Out
		if !out && !u.Leaving {
			continue
		}
		why := StopLeaving
		if out {
			why = StopDomainOut
		}
		for _, t := range u.tasks {
			if t.status.Phase != Stopping && t.job.Repeatable {
				r.decision.Stops = append(r.decision.Stops, Stop{Task: t.status.Ref, Checkpoint: true, Why: why})
			}
		}
	}
}

func (r *round) placeJob(j *job) {
	before := len(r.decision.Placements)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.status.Phase != Waiting || t.status.NotBefore.After(r.now) || len(r.decision.Placements) >= r.limit {
			if j.Policy == Gang && t.status.Phase != Ended {
				r.undo(before)
				return
			}
			continue
		}
		if !r.placeTask(t) && j.Policy == Gang {
			r.undo(before)
			return
		}
	}
}

func (r *round) placeTask(t *task) bool {
	need := t.job.Needs[t.status.Ref.Index]
	tm := r.cell.teams[t.job.Team]
	if !tm.used.Add(r.teamUsed[tm]).Add(need).Fits(tm.Limit) {
		return false
	}
	for _, u := range r.cell.order {
		if !r.cell.usable(u) || !u.used.Add(r.used[u]).Add(need).Fits(u.Capacity) {
			continue
		}
		r.used[u] = r.used[u].Add(need)
		r.teamUsed[tm] = r.teamUsed[tm].Add(need)
		r.decision.Placements = append(r.decision.Placements,
			Placement{Task: t.status.Ref, Upstream: u.Name, Incarnation: u.Incarnation, Reserved: need})
		return true
	}
	return false
}

func (r *round) undo(to int) {
	for _, p := range r.decision.Placements[to:] {
		u := r.cell.upstreams[p.Upstream]
		tm := r.cell.teams[r.cell.jobs[p.Task.Job].Team]
		r.used[u] = r.used[u].Sub(p.Reserved)
		r.teamUsed[tm] = r.teamUsed[tm].Sub(p.Reserved)
	}
	r.decision.Placements = r.decision.Placements[:to]
}

// usable reports whether an upstream may get new work.
func (c *Cell) usable(u *upstream) bool {
	d := c.domains[u.Domain]
	return u.Active && d != nil && !d.Out
}
