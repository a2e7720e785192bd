package sched

import (
	"cmp"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// ObserveUsage records the reported use of a running task. Reports about another attempt
// than the current one are ignored.
func (c *Cell) ObserveUsage(o Usage) {
	j := c.jobs[o.Ref.Job]
	if j == nil || int(o.Ref.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[o.Ref.Index]
	if t.attempt != o.Ref.Attempt || t.up == nil {
		return
	}
	before, oldUse := t.load(), t.reportedUse()
	for i, d := range measured {
		t.use[i] = o.Used[d]
	}
	t.observe()
	u := t.up
	u.reportedUse = u.reportedUse.Add(t.reportedUse()).Sub(oldUse)
	if after := t.load(); after != before {
		u.load = u.load.Add(after).Sub(before)
		c.refresh(u)
		c.dirty = true
	} else if !u.reportedUse.Fits(u.Capacity) {
		c.overcommitted[u] = true
	}
}

// stopExcess stops work that exceeds its team's limit or its VM's capacity, for example
// after one of these was lowered.
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

// trimTeam stops the team's least important and latest work above its limit and reports
// whether the team still exceeds it.
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

// trimUpstream stops the least important and latest work whose reservations exceed the
// capacity of the upstream and reports whether they still exceed it.
func (r *round) trimUpstream(u *upstream) bool {
	if u.reserved.Fits(u.Capacity) {
		return false
	}
	r.trim(slices.Clone(u.tasks), u.reserved.Sub(u.stopping), u.Capacity, StopCapacity)
	return true
}

// trim stops tasks in the order of leastFirst until used fits limit. Tasks that reserve
// nothing in the first exceeded dimension are passed over.
func (r *round) trim(list []*task, used, limit resource.Vector, reason StopReason) {
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
		r.stop(t, t.job.Repeatable, reason)
	}
}

// leastFirst orders tasks by importance, lowest first, and tasks of equal importance by
// start, latest first.
func leastFirst(a, b *task) int {
	return cmp.Or(cmp.Compare(a.rankToStop(), b.rankToStop()), b.since.Compare(a.since))
}

// relieveUpstream acts while the reported use of a VM exceeds its capacity, and reports
// whether it does. Tasks that use more than their reservation are throttled. After
// Settings.ThrottleGrace the least important work is stopped: first work that can be
// repeated, with a checkpoint, and last work that can't be.
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

// throttle proposes a throttle for each task that uses more than its reservation and is
// not throttled yet; it reports whether there was one.
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

// shed stops the least important work until the reported use fits the capacity.
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
