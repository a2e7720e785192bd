package dispatch

import "time"

const (
	// explainAfter is how long a step waits before the reason is logged; explainEvery is the time
	// between two such log lines for one step.
	explainAfter = time.Second
	explainEvery = 2 * time.Second
)

// waitReason says why a step's tasks are not placed. Its value is logged.
type waitReason string

// Reasons to wait, in the order in which they are checked.
const (
	waitTeamLimit waitReason = "the team's limit is reached"
	waitHeadroom  waitReason = "capacity is kept free for urgent queues"
	waitPermits   waitReason = "waiting for the answer to a permit question"
	waitCaller    waitReason = "waiting for a process that can put a permit question"
	waitCapacity  waitReason = "no upstream that may run the step has capacity"
	waitGang      waitReason = "the upstreams lack capacity for all members of the gang at once"
)

// explain logs the reason for which a step waits.
func (r *round) explain(d demand) {
	w := d.work
	if d.copies || r.now-w.readyAt < explainAfter || r.now < w.nextExplain {
		return
	}
	w.nextExplain = r.now + explainEvery
	team := w.step.Job().Team
	r.e.log.Info().Str("request", w.step.Job().Spec.GetId()).Int32("step", w.step.Index).Str("team", team).Int("tasks", len(d.tasks)).
		Str("why", string(r.waitReason(d))).Dur("waits", r.now-w.readyAt).Int("permitted", len(w.permits)).Int("denied", len(w.denied)).
		Int64("team_used", r.e.state.Used(team).MilliCores).Int64("team_limit", r.e.state.Config().Team(team).GetLimit().GetMilliCores()).
		Int64("free", r.freeCores[d.queue.GetService()]).Int64("total", r.totalCores[d.queue.GetService()]).
		Dur("slack", d.urgency.slack).Bool("over_share", d.overShare).Msg("step waits")
}

// waitReason returns the first reason that applies to a demand.
func (r *round) waitReason(d demand) waitReason {
	switch {
	case !r.withinLimit(d.work.step):
		return waitTeamLimit
	case r.mustLeaveHeadroom(d):
		return waitHeadroom
	case d.work.question != nil:
		return waitPermits
	case d.work.awaitsCaller:
		return waitCaller
	case d.work.step.Spec.GetGang():
		return waitGang
	}
	return waitCapacity
}
