package state

import (
	"bytes"
	"crypto/sha256"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// report takes starts and ends from an upstream and returns the ends that need no
// further report, among them those of attempts that are no longer current.
func (s *State) report(c *peerv1.Report) []TaskRef {
	u := s.upstreams[c.GetUpstream()]
	if u == nil || u.Incarnation != c.GetIncarnation() || u.State == lifecycle.UpstreamLost {
		return nil
	}
	var acknowledged []TaskRef
	for _, r := range c.GetTasks() {
		ref := RefFromProto(r.GetTask())
		t := u.Tasks[ref]
		if t != nil {
			s.reportOne(t, r)
		}
		if Ended(r.GetState()) {
			acknowledged = append(acknowledged, ref)
		}
	}
	return acknowledged
}

// Ended reports whether a reported state is final for its attempt.
func Ended(state apiv1.ReportState) bool {
	switch state {
	case apiv1.ReportState_REPORT_STATE_SUCCEEDED, apiv1.ReportState_REPORT_STATE_FAILED,
		apiv1.ReportState_REPORT_STATE_STOPPED, apiv1.ReportState_REPORT_STATE_CHECKPOINTED,
		apiv1.ReportState_REPORT_STATE_REFUSED:
		return true
	}
	return false
}

func (s *State) reportOne(t *Task, r *apiv1.TaskReport) {
	switch r.GetState() {
	case apiv1.ReportState_REPORT_STATE_RUNNING:
		s.started(t)
	case apiv1.ReportState_REPORT_STATE_SUCCEEDED:
		s.succeeded(t, r)
	case apiv1.ReportState_REPORT_STATE_FAILED:
		s.failedAttempt(t, r)
	case apiv1.ReportState_REPORT_STATE_STOPPED:
		s.stopped(t)
	case apiv1.ReportState_REPORT_STATE_CHECKPOINTED:
		t.Checkpoint = r.GetAnswer().GetBody()
		s.release(t, lifecycle.TaskRequeue)
	case apiv1.ReportState_REPORT_STATE_REFUSED:
		s.release(t, lifecycle.TaskRequeue)
	}
}

func (s *State) started(t *Task) {
	if t.State != lifecycle.TaskPlaced {
		return
	}
	s.fire(t, lifecycle.TaskStarted)
	s.observer.TaskChanged(t, lifecycle.TaskPlaced)
}

func (s *State) succeeded(t *Task, r *apiv1.TaskReport) {
	a := r.GetAnswer()
	if why := s.checkAnswer(a); why != "" {
		s.finishLive(t, failed(apiv1.Reason_REASON_TASK_FAILED, "the answer was refused: %s", why))
		return
	}
	t.Answer = a
	s.finishLive(t, answered)
}

// checkAnswer returns why an answer is not whole, or "".
func (s *State) checkAnswer(a *apiv1.Answer) string {
	sum := sha256.Sum256(a.GetBody())
	switch {
	case len(a.GetBody()) > s.settings.MaxAnswerBytes:
		return "it is larger than allowed"
	case a.GetLength() != uint64(len(a.GetBody())):
		return "its length does not match"
	case !bytes.Equal(a.GetSha256(), sum[:]):
		return "its digest does not match"
	}
	return ""
}

func (s *State) failedAttempt(t *Task, r *apiv1.TaskReport) {
	t.Failures++
	limit := t.Job.Spec.GetMaxAttempts()
	if limit == 0 {
		limit = s.settings.DefaultMaxAttempts
	}
	switch {
	case t.Job.State == lifecycle.JobCancelling || !t.Job.Spec.GetRepeatable():
		s.finishLive(t, failed(apiv1.Reason_REASON_TASK_FAILED, "%s", r.GetDetail()))
	case t.Failures >= limit:
		s.finishLive(t, failed(apiv1.Reason_REASON_ATTEMPTS_EXHAUSTED, "failed %d times, last: %s", t.Failures, r.GetDetail()))
	default:
		backoff := s.settings.FailureBackoff << min(t.Failures-1, 10)
		t.NotBeforeNS = s.nowNS + int64(backoff/time.Nanosecond)
		s.release(t, lifecycle.TaskRequeue)
	}
}

// stopped ends an attempt that was stopped after it may have begun.
func (s *State) stopped(t *Task) {
	if t.Job.State != lifecycle.JobCancelling && !t.Job.Spec.GetRepeatable() {
		s.finishLive(t, failed(apiv1.Reason_REASON_TASK_FAILED, "stopped before its end; the job may not be repeated"))
		return
	}
	s.release(t, lifecycle.TaskRequeue)
}

// release frees a live task and lets it wait again under the next attempt, or ends it
// if its job is being cancelled.
func (s *State) release(t *Task, trigger lifecycle.TaskTrigger) {
	from := t.State
	s.detach(t)
	if t.Job.State == lifecycle.JobCancelling {
		s.finish(t, from, cancelled("cancelled while it was on an upstream"))
		return
	}
	s.fire(t, trigger)
	t.Attempt++
	if t.Job.live == 0 {
		s.fireJob(t.Job, lifecycle.JobIdle)
	}
	s.observer.TaskChanged(t, from)
	if t.Job.Gang() {
		s.stopAll(t.Job, "another task of the gang left")
	}
}

// finishLive frees a live task and ends it.
func (s *State) finishLive(t *Task, o *apiv1.Outcome) {
	from := t.State
	s.detach(t)
	s.finish(t, from, o)
	if t.Job.Gang() && o.Kind != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED && t.Job.State != lifecycle.JobEnded {
		s.cancelJob(t.Job, failed(o.Reason, "task %d of the gang ended: %s", t.Index, o.Detail))
	}
}

// finish ends a task that holds no capacity, and its job with the last task.
func (s *State) finish(t *Task, from lifecycle.TaskState, o *apiv1.Outcome) {
	s.fire(t, lifecycle.TaskFinish)
	t.Outcome = o
	s.teams[t.Job.Team].Waiting--
	t.Job.unended--
	s.observer.TaskChanged(t, from)
	if t.Job.unended == 0 {
		s.endJob(t.Job)
	}
}

// endJob gives the job the most severe outcome of its tasks.
func (s *State) endJob(j *Job) {
	worst := j.Outcome
	for i := range j.Tasks {
		worst = worse(worst, j.Tasks[i].Outcome)
	}
	j.Outcome = worst
	s.fireJob(j, lifecycle.JobFinish)
	j.EndedNS = s.nowNS
	s.endedJobs = append(s.endedJobs, j.ID)
	s.observer.JobEnded(j)
}

var severity = [...]int{
	apiv1.OutcomeKind_OUTCOME_KIND_UNSPECIFIED:  0,
	apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED:     0,
	apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED:     1,
	apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:      2,
	apiv1.OutcomeKind_OUTCOME_KIND_CANCELLED:    3,
	apiv1.OutcomeKind_OUTCOME_KIND_FAILED:       4,
	apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED: 5,
}

func worse(a, b *apiv1.Outcome) *apiv1.Outcome {
	if a == nil || b != nil && severity[b.Kind] > severity[a.Kind] {
		return b
	}
	return a
}
