package sched

import (
	"cmp"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// ObserveUsage records what a running task uses.
func (c *Cell) ObserveUsage(o Usage) {
	j := c.jobs[o.Ref.Job]
	if j == nil || int(o.Ref.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[o.Ref.Index]
	if t.attempt != o.Ref.Attempt || t.up == nil {
		return
	}
	before, real := t.load(), t.reportedUse()
	for i, d := range measured {
		t.use[i] = o.Used[d]
	}
	t.observe()
	u := t.up
	u.reportedUse = u.reportedUse.Add(t.reportedUse()).Sub(real)
	if after := t.load(); after != before {
		u.load = u.load.Add(after).Sub(before)
		c.refresh(u)
		c.dirty = true
	} else if !u.reportedUse.Fits(u.Capacity) {
		c.overcommitted[u] = true
	}
}

// stopExcess stops what limits or capacities that were lowered no longer cover.
func (r *round) stopExcess() {
	for _, tm := range r.cell.teamOrder {
		if r.cell.overLimit[tm] && !r.trimTeam(tm) {
			delete(r.cell.overLimit, tm)
		}
	}
	for _, u := range sorted(r.cell.overcommitted) {
		if !r.trimUpstream(u) && !r.relieveUpstream(u) {
			delete(r.cell.overcommitted, u)
		}
	}
}

// trimTeam stops the team's least and latest work above its limit and reports
// whether the team is still above.
func (r *round) trimTeam(tm *team) bool {
	if tm.used.Fits(tm.Limit) {
		return false
	}
	var list []*task
	for _, l := range tm.live {
		if l.current() {
			list = append(list, l.task)
		}
	}
	r.trim(list, tm.used.Sub(tm.stopping), tm.Limit, StopOverLimit)
	return true
}

func (r *round) trimUpstream(u *upstream) bool {
	if u.reserved.Fits(u.Capacity) {
		return false
	}
	r.trim(slices.Clone(u.tasks), u.reserved.Sub(u.stopping), u.Capacity, StopCapacity)
	return true
}

// trim stops tasks, least first, until used fits limit.
func (r *round) trim(list []*task, used, limit resource.Vector, why StopReason) {
	slices.SortStableFunc(list, leastFirst)
	for _, t := range list {
		if used.Fits(limit) {
			return
		}
		if t.phase == Stopping || r.evicted[t] {
			continue
		}
		d, _ := used.FirstOver(limit)
		if t.reserved[d] == 0 {
			continue
		}
		used = used.Sub(t.reserved)
		r.stop(t, t.job.Repeatable, why)
	}
}

func leastFirst(a, b *task) int {
	return cmp.Or(cmp.Compare(a.rankToStop(), b.rankToStop()), b.since.Compare(a.since))
}

// relieveUpstream acts when the reported use of a VM passes its capacity: tasks above
// their reservation are throttled, then the least work is checkpointed, and only then
// work that can't be repeated is stopped.
func (r *round) relieveUpstream(u *upstream) bool {
	if u.reportedUse.Fits(u.Capacity) {
		return false
	}
	if u.throttledAt.IsZero() {
		u.throttledAt = r.now
	}
	if r.throttle(u) || r.now.Sub(u.throttledAt) < r.cell.settings.ThrottleGrace {
		return true
	}
	u.throttledAt = r.now
	r.shed(u)
	return true
}

func (r *round) throttle(u *upstream) bool {
	any := false
	for _, t := range u.tasks {
		if !t.throttled && t.phase != Stopping && !t.reportedUse().Fits(t.reserved) {
			t.throttled, any = true, true
			r.decision.Throttles = append(r.decision.Throttles, Throttle{Task: t.ref()})
		}
	}
	return any
}

// shed stops the least work until the reported use fits.
func (r *round) shed(u *upstream) {
	list := slices.Clone(u.tasks)
	slices.SortStableFunc(list, leastFirst)
	used := u.reportedUse
	for _, t := range list {
		if t.phase == Stopping || r.evicted[t] {
			used = used.Sub(t.reportedUse())
		}
	}
	for _, t := range list {
		if used.Fits(u.Capacity) {
			return
		}
		if t.phase != Stopping && !r.evicted[t] {
			used = used.Sub(t.reportedUse())
			r.stop(t, t.job.Repeatable, StopOverUse)
		}
	}
}
