package sched

import (
	"cmp"
	"slices"
	"time"
)

// sorted returns the upstreams of a set in order of their numbers.
func sorted(set map[*upstream]bool) []*upstream {
	list := make([]*upstream, 0, len(set))
	for u := range set {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.number, b.number) })
	return list
}

// drain proposes the stops that are due on upstreams that are leaving or in a failure
// domain that is out.
func (r *round) drain() {
	for _, u := range sorted(r.cell.draining) {
		if len(u.tasks) > 0 {
			r.drainOne(u)
		}
	}
}

// drainOne stops services one at a time from the beginning of the notice, and all
// remaining ones after half of it. Other work keeps running as long as the notice
// allows, since much of it ends by itself. Work that can't be repeated is stopped only
// when its failure domain is out and the notice has ended.
func (r *round) drainOne(u *upstream) {
	out := u.reason == DomainOut
	notice, reason := r.cell.settings.DrainNotice, StopLeaving
	if out {
		notice, reason = u.domain.Notice, StopDomainOut
	}
	deadline := u.drainSince.Add(notice)
	moving := movingServices(u)
	for i, t := range u.tasks {
		switch {
		case t.phase == Stopping:
			r.forceStop(t, deadline, reason)
		case !t.job.Repeatable:
			if out && !r.now.Before(deadline) {
				r.stop(t, false, reason)
			}
		case t.job.Policy == Service:
			if moving == 0 || r.now.Sub(u.drainSince) >= notice/2 {
				r.stop(t, true, reason)
				moving++
			}
		case !r.now.Before(r.checkpointStart(u, i, notice)):
			r.stop(t, true, reason)
		}
	}
}

// movingServices counts the service tasks that are stopping on the upstream.
func movingServices(u *upstream) int {
	n := 0
	for _, t := range u.tasks {
		if t.phase == Stopping && t.job.Policy == Service {
			n++
		}
	}
	return n
}

// checkpointStart returns when the checkpoint of the upstream's i-th task has to begin.
// The checkpoints of one VM are spread over the last part of the notice.
func (r *round) checkpointStart(u *upstream, i int, notice time.Duration) time.Time {
	margin := min(2*r.cell.settings.CheckpointTime, notice/2)
	spread := min(notice/4, time.Duration(len(u.tasks))*r.cell.settings.CheckpointTime)
	offset := spread * time.Duration(i) / time.Duration(len(u.tasks))
	return u.drainSince.Add(notice - margin - offset)
}

// forceStop proposes a stop without a checkpoint, once, for a task of a failure domain
// that is out whose checkpoint has not ended two checkpoint times after the deadline.
func (r *round) forceStop(t *task, deadline time.Time, reason StopReason) {
	if t.forced || reason == StopLeaving || r.now.Before(deadline.Add(2*r.cell.settings.CheckpointTime)) {
		return
	}
	t.forced = true
	r.decision.Stops = append(r.decision.Stops, Stop{Task: t.ref(), Reason: reason})
}
