package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// lateFactor is how many objectives a job may take and still be worth something.
	lateFactor = 3
	// urgentPriority is that of the most urgent queues, which may preempt others.
	urgentPriority = 0
	// permitAllowance is the number of upstreams of one question that a job's objective counts.
	permitAllowance = 30
)

// hope tells what a job can still reach.
type hope int

const (
	// inTime jobs can still meet their objective, late ones can still be of use, the others
	// are done for their result's sake only.
	inTime hope = iota
	late
	pastUse
)

// urgency is how pressing a job is.
type urgency struct {
	hope  hope
	slack time.Duration
	// remaining is the expected time of the longest chain of what is left.
	remaining time.Duration
}

// urgencyOf weighs a job's expected remaining time against its objective.
func (e *Engine) urgencyOf(st *pipeline.Step, q *pipelinev1.Queue, wall int64) urgency {
	j := st.Job()
	if st.Spec.GetLasting() {
		return urgency{hope: inTime}
	}
	chain, remaining := e.chains(st.Occurrence, q)
	objective := time.Duration(q.GetStretch()*float64(chain)) + time.Duration(q.GetTargetLatencyMs())*time.Millisecond
	begin := j.SubmittedNS
	if st.Occurrence.DueNS > 0 {
		begin = st.Occurrence.DueNS
	}
	age := time.Duration(wall - begin)
	u := urgency{slack: objective - age - remaining, remaining: remaining}
	if u.slack < 0 {
		u.hope, u.slack = late, lateFactor*objective-age-remaining
	}
	if u.slack < 0 {
		u.hope = pastUse
	}
	return u
}

// chains returns the expected time of the longest chain of an occurrence's steps, and of what
// is left of it.
func (e *Engine) chains(o *pipeline.Occurrence, q *pipelinev1.Queue) (whole, left time.Duration) {
	permit := time.Duration(0)
	if p := q.GetPermits(); p != nil {
		permit = time.Duration((p.GetDecisionMs() + permitAllowance*p.GetPerUpstreamMs()) * float64(time.Millisecond))
	}
	wholeTo := make([]time.Duration, len(o.Steps))
	leftTo := make([]time.Duration, len(o.Steps))
	for i, st := range o.Steps {
		for _, d := range st.Spec.GetDependsOn() {
			wholeTo[i] = max(wholeTo[i], wholeTo[d])
			leftTo[i] = max(leftTo[i], leftTo[d])
		}
		t := e.learner.expected(st) + permit
		wholeTo[i] += t
		if st.Undone > 0 {
			leftTo[i] += t
		}
		whole, left = max(whole, wholeTo[i]), max(left, leftTo[i])
	}
	return whole, left
}

// isUrgent reports whether a step is of the most urgent queues and ends by itself.
func (e *Engine) isUrgent(st *pipeline.Step) bool {
	return !st.Spec.GetLasting() && e.state.Terms(st.Job()).GetPriority() == urgentPriority
}
