package placement

import (
	"slices"
	"time"
)

const (
	// reportAfter is how long a step waits before the reason is reported; reportEvery is the time
	// between two reports for one step.
	reportAfter = time.Second
	reportEvery = 2 * time.Second
)

// WaitReason says why a step's tasks are not placed. Its value is logged.
type WaitReason string

// Reasons to wait, in the order in which they are checked.
const (
	WaitTeamLimit WaitReason = "the team's limit is reached"
	WaitUseful    WaitReason = "its result comes too late, and other work can still be of use"
	WaitHeadroom  WaitReason = "capacity is kept free for urgent queues"
	WaitPermits   WaitReason = "waiting for the answer to a permit question"
	WaitCaller    WaitReason = "waiting for a process that can put a permit question"
	WaitHold      WaitReason = "too much of the service is reserved to hold the upstreams of the gang"
	WaitCapacity  WaitReason = "no upstream that may run the step has capacity"
	WaitApart     WaitReason = "only upstreams from which tasks that fill, or those that serve under a target, are kept away have capacity"
	WaitGang      WaitReason = "the upstreams lack capacity for all members of the gang at once"
)

// Wait says why a step waits.
type Wait struct {
	Work   *Work
	Reason WaitReason
	// Tasks is the number of tasks that wait.
	Tasks int
	// Free and Total are the cores of the usable upstreams of the step's service, in thousandths.
	Free, Total int64
	// Slack is the time to spare until the job's objective.
	Slack time.Duration
	// OverShare is set if the team uses far more than its share.
	OverShare bool
	// Overloaded is set if the service is overloaded; Loss is then the value that is lost for each thousand
	// core-seconds that others are served first. The most is lost first.
	Overloaded bool
	Loss       float64
	// Gang is set if the step is a gang.
	Gang *GangWait
}

// GangWait says what a gang that waits could use now.
type GangWait struct {
	// Permitted and Unasked are the numbers of members that fit now on upstreams that may run the gang,
	// and on those that it has not asked about.
	Permitted, Unasked int
	// StartsIn is the time until the planned start, or zero if none is planned.
	StartsIn time.Duration
}

// reportWait reports the reason for which a step waits.
func (r *round) reportWait(d demand) {
	w := d.work
	if d.copies || r.Now-w.ReadyAt < reportAfter || r.Now < w.nextReport {
		return
	}
	w.nextReport = r.Now + reportEvery
	r.out.Waits = append(r.out.Waits, r.waitOf(d))
}

// waitOf returns why a demand waits.
func (r *round) waitOf(d demand) Wait {
	w := r.figuresOf(d)
	w.Reason, w.Gang = r.waitReason(d), r.gangWait(d)
	return w
}

// figuresOf returns the figures of a demand, without a reason to wait.
func (r *round) figuresOf(d demand) Wait {
	p := r.poolFor(d)
	return Wait{Work: d.work, Tasks: len(d.tasks), Free: p.freeCores, Total: p.totalCores, Slack: d.urgency.slack,
		OverShare: d.overShare, Overloaded: d.triaged, Loss: 1e6 * d.loss}
}

// gangWait returns what a gang could use now, or nil if the step is not a gang.
func (r *round) gangWait(d demand) *GangWait {
	if !d.work.Step.Spec.GetGang() {
		return nil
	}
	r.beginStep()
	allowed, unknown := r.gangUpstreams(d)
	out := &GangWait{Permitted: r.fittingNow(d, allowed), Unasked: r.fittingNow(d, unknown)}
	if d.work.plannedStart > 0 {
		out.StartsIn = d.work.plannedStart - r.Now
	}
	return out
}

// fittingNow returns how many members of a gang fit on some upstreams now.
func (r *round) fittingNow(d demand, list []*Upstream) (n int) {
	for _, u := range list {
		n += r.capacity(d.work.Step, u, len(d.tasks))
	}
	return n
}

// waitReason returns the first reason that applies to a demand.
func (r *round) waitReason(d demand) WaitReason {
	switch {
	case !r.withinLimit(d):
		return WaitTeamLimit
	case d.pastUse && len(d.work.Pending) == 0 && !d.work.hasTicket(r.Now):
		return WaitUseful
	case r.mustLeaveHeadroom(d):
		return WaitHeadroom
	case len(d.work.Pending) > 0:
		return WaitPermits
	case d.work.awaitsCaller:
		return WaitCaller
	case d.work.holdRefused:
		return WaitHold
	case d.work.Step.Spec.GetGang():
		return WaitGang
	case r.onlyApart(d):
		return WaitApart
	}
	return WaitCapacity
}

// onlyApart reports whether nothing but the tasks there keeps a task of the demand off some usable upstream.
func (r *round) onlyApart(d demand) bool {
	if !d.work.Step.Spec.GetFills() && d.work.Step.Spec.GetTargetMs() == 0 {
		return false
	}
	return slices.ContainsFunc(r.usableFor(d), func(u *Upstream) bool {
		return d.work.Step.Need.Fits(u.free) && r.shares(d.work.Step, u)
	})
}
