package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// lateFactor is the multiple of its objective within which a late job's result is still of
	// value.
	lateFactor = 3
	// urgentPriority is the priority of the most urgent queues.
	urgentPriority = 0
	// pressingSlack is the slack, as a share of the remaining time, below which a job loses value if it waits
	// for longer.
	pressingSlack = 1.0
	// permitAllowance is the number of upstreams in the permit question whose time is included in
	// a job's objective.
	permitAllowance = 30
)

// prospect says whether a job can still meet its objective.
type prospect int

const (
	// inTime jobs can still meet their objective. late jobs cannot, but can still finish within
	// lateFactor times the objective. tooLate jobs can do neither and are finished only for their
	// result.
	inTime prospect = iota
	late
	tooLate
)

// urgency says how urgent a job is. slack is the time to spare until the objective or, for jobs
// that are no longer inTime, until lateFactor times the objective.
type urgency struct {
	prospect prospect
	slack    time.Duration
	// remaining is the expected duration of the longest chain of unfinished steps.
	remaining time.Duration
}

// loss says what waiting would cost a job.
type loss int

// What is lost by waiting, the most first: a result in time, a late one, or nothing yet. A result that would
// come too late is of no value any more.
const (
	losesInTime loss = iota
	losesLate
	losesNothingInTime
	losesNothingLate
	losesNothing
)

// loss returns what waiting would cost the job.
func (u urgency) loss() loss {
	switch {
	case u.prospect == tooLate:
		return losesNothing
	case !u.canWait(pressingSlack) && u.prospect == inTime:
		return losesInTime
	case !u.canWait(pressingSlack):
		return losesLate
	case u.prospect == inTime:
		return losesNothingInTime
	}
	return losesNothingLate
}

// canWait reports whether a job loses nothing by waiting: its slack is more than a share of the remaining
// time, or its result would come too late anyway. Lasting jobs, which have neither, can't wait.
func (u urgency) canWait(share float64) bool {
	return u.prospect == tooLate || float64(u.slack) > share*float64(u.remaining)
}

// urgencyOf returns the urgency of a step's job, which is computed once in a round.
func (r *round) urgencyOf(st *pipeline.Step) urgency {
	u, known := r.urgencies[st]
	if !known {
		u = r.compareToObjective(st, r.State.JobQueue(st.Job()), r.Learner.Expected)
		r.urgencies[st] = u
	}
	return u
}

// compareToObjective compares a job's remaining time to its objective, by the run time that is expected for the tasks
// of a step.
func (r *round) compareToObjective(st *pipeline.Step, q *pipelinev1.Queue, expected func(*pipeline.Step) time.Duration) urgency {
	j := st.Job()
	if st.Spec.GetLasting() {
		return urgency{prospect: inTime}
	}
	chain, remaining := r.chains(st.Occurrence, q, expected)
	objective := time.Duration(q.GetStretch()*float64(chain)) + time.Duration(q.GetTargetLatencyMs())*time.Millisecond
	begin := j.SubmittedNS
	if st.Occurrence.DueNS > 0 {
		begin = st.Occurrence.DueNS
	}
	age := time.Duration(r.WallNS - begin)
	u := urgency{slack: objective - age - remaining, remaining: remaining}
	if u.slack < 0 {
		u.prospect, u.slack = late, lateFactor*objective-age-remaining
	}
	if u.slack < 0 {
		u.prospect = tooLate
	}
	return u
}

// chains returns the expected duration of the longest chain of dependent steps in an occurrence:
// of all steps, and of the unfinished ones.
func (r *round) chains(o *pipeline.Occurrence, q *pipelinev1.Queue, expected func(*pipeline.Step) time.Duration) (whole, left time.Duration) {
	permit := permitTime(q)
	wholeTo := make([]time.Duration, len(o.Steps))
	leftTo := make([]time.Duration, len(o.Steps))
	for i, st := range o.Steps {
		for _, d := range st.Spec.GetDependsOn() {
			wholeTo[i] = max(wholeTo[i], wholeTo[d])
			leftTo[i] = max(leftTo[i], leftTo[d])
		}
		t := expected(st) + permit
		wholeTo[i] += t
		if st.Undone > 0 {
			leftTo[i] += t
		}
		whole, left = max(whole, wholeTo[i]), max(left, leftTo[i])
	}
	return whole, left
}

// permitTime returns the time for a permit question that is included in the objective for each step.
func permitTime(q *pipelinev1.Queue) time.Duration {
	p := q.GetPermits()
	return time.Duration((p.GetDecisionMs() + permitAllowance*p.GetPerUpstreamMs()) * float64(time.Millisecond))
}

// Urgent reports whether a step belongs to one of the most urgent queues and is not lasting.
func Urgent(s *pipeline.State, st *pipeline.Step) bool {
	return !st.Spec.GetLasting() && s.JobQueue(st.Job()).GetPriority() == urgentPriority
}
