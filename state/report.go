package state

import (
	"bytes"
	"crypto/sha256"
	"strings"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// report applies an upstream's report of attempts that started, ended or are missing. It
// returns the ended attempts that need no further report, including those that are no longer
// current. It ignores reports of an unknown, lost or replaced incarnation.
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
	for _, r := range c.GetMissing() {
		if t := u.Tasks[RefFromProto(r)]; t != nil {
			s.loseTask(t, false)
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

// maxDetailBytes limits the stored part of an upstream's text about a failed attempt.
const maxDetailBytes = 1 << 10

// detailOf returns the detail of a report, cut to maxDetailBytes and made valid UTF-8.
func detailOf(r *apiv1.TaskReport) string {
	d := r.GetDetail()
	return strings.ToValidUTF8(d[:min(len(d), maxDetailBytes)], "")
}

func (s *State) reportOne(t *Task, r *apiv1.TaskReport) {
	s.preserveForCapture(t.Job)
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
		s.checkpointed(t, r.GetAnswer())
	case apiv1.ReportState_REPORT_STATE_REFUSED:
		s.refusedStart(t)
	}
}

func (s *State) started(t *Task) {
	if t.State == lifecycle.TaskStopping {
		t.Started = true
	}
	if t.State != lifecycle.TaskPlaced {
		return
	}
	s.fire(t, lifecycle.TaskStarted)
	t.Started = true
	s.observer.TaskChanged(t, lifecycle.TaskPlaced)
}

func (s *State) succeeded(t *Task, r *apiv1.TaskReport) {
	if s.restartService(t, r) {
		return
	}
	a := r.GetAnswer()
	if reason := s.checkAnswer(t.Job, a); reason != "" {
		s.finishLive(t, failed(apiv1.Reason_REASON_TASK_FAILED, "the answer was refused: %s", reason))
		return
	}
	t.Answer = a
	t.Job.answerBytes += len(a.GetBody())
	s.addStoredBytes(t.Job, len(a.GetBody())-len(t.Checkpoint))
	t.Checkpoint = nil
	s.finishLive(t, answered)
}

// checkAnswer returns why an answer or checkpoint is too large or corrupt, or "".
func (s *State) checkAnswer(j *Job, a *apiv1.Answer) string {
	sum := sha256.Sum256(a.GetBody())
	switch {
	case len(a.GetBody()) > s.settings.MaxAnswerBytes:
		return "it is larger than allowed"
	case j.answerBytes+len(a.GetBody()) > s.settings.MaxJobAnswerBytes:
		return "the answers of the job together are larger than allowed"
	case a.GetLength() != uint64(len(a.GetBody())):
		return "its length does not match"
	case !bytes.Equal(a.GetSha256(), sum[:]):
		return "its digest does not match"
	}
	return ""
}

// checkpointed requeues a task, which will continue from its checkpoint. With a missing, too
// large or corrupt checkpoint it would continue from an earlier one or start from the beginning,
// and so repeat work, which only the tasks of a repeatable job may do.
func (s *State) checkpointed(t *Task, a *apiv1.Answer) {
	if s.checkAnswer(t.Job, a) != "" {
		s.stopped(t)
		return
	}
	s.addStoredBytes(t.Job, len(a.GetBody())-len(t.Checkpoint))
	t.Checkpoint = a.GetBody()
	s.release(t, lifecycle.TaskRequeue)
}

// refusedStart requeues a task that its upstream refused to start. If the upstream reported the
// attempt as running before, it counts as stopped.
func (s *State) refusedStart(t *Task) {
	if t.Started {
		s.stopped(t)
		return
	}
	s.release(t, lifecycle.TaskRequeue)
}

// restartService requeues a service task that ended by itself, with a delay and without a limit
// on the number of attempts. It returns false and does nothing for any other task, and for a
// service that may not be repeated or is being cancelled.
func (s *State) restartService(t *Task, r *apiv1.TaskReport) bool {
	spec := t.Job.Spec
	if spec.GetPolicy() != apiv1.Policy_POLICY_SERVICE || !spec.GetRepeatable() || t.Job.State == lifecycle.JobCancelling {
		return false
	}
	if time.Duration(r.GetRunMs())*time.Millisecond >= s.settings.ServiceStableRun {
		t.Failures = 0
	}
	t.Failures++
	t.NotBeforeNS = s.nowNS + int64(min(s.backoff(t.Failures), s.settings.ServiceBackoffMax))
	s.release(t, lifecycle.TaskRequeue)
	return true
}

// backoff returns the delay before the next attempt, which doubles with each failure.
func (s *State) backoff(failures int32) time.Duration {
	return s.settings.FailureBackoff << min(failures-1, maxBackoffDoublings)
}

// maxBackoffDoublings limits the delay between failed attempts to 1024 times FailureBackoff.
const maxBackoffDoublings = 10

func (s *State) failedAttempt(t *Task, r *apiv1.TaskReport) {
	if s.restartService(t, r) {
		return
	}
	t.Failures++
	limit := t.Job.Spec.GetMaxAttempts()
	if limit == 0 {
		limit = s.settings.DefaultMaxAttempts
	}
	switch {
	case t.Job.State == lifecycle.JobCancelling || !t.Job.Spec.GetRepeatable():
		s.finishLive(t, failed(apiv1.Reason_REASON_TASK_FAILED, "%s", detailOf(r)))
	case t.Failures >= limit:
		s.finishLive(t, failed(apiv1.Reason_REASON_ATTEMPTS_EXHAUSTED, "failed %d times, last: %s", t.Failures, detailOf(r)))
	default:
		t.NotBeforeNS = s.nowNS + int64(s.backoff(t.Failures))
		s.release(t, lifecycle.TaskRequeue)
	}
}

// stopped handles an attempt that was stopped and may have run: it requeues the task, or ends
// it as failed if the job may not be repeated and is not being cancelled.
func (s *State) stopped(t *Task) {
	if t.Job.State != lifecycle.JobCancelling && !t.Job.Spec.GetRepeatable() {
		s.finishLive(t, failed(apiv1.Reason_REASON_TASK_FAILED, "stopped before its end; the job may not be repeated"))
		return
	}
	s.release(t, lifecycle.TaskRequeue)
}

// release releases the capacity of a live task and requeues it with the next attempt number, or
// ends it if its job is being cancelled. The other live tasks of a gang are stopped.
func (s *State) release(t *Task, trigger lifecycle.TaskTrigger) {
	from := t.State
	s.detach(t)
	if t.Job.State == lifecycle.JobCancelling {
		s.finish(t, from, cancelled("cancelled while it was on an upstream"))
		return
	}
	s.fire(t, trigger)
	t.Attempt++
	if t.Job.placed == 0 {
		s.fireJob(t.Job, lifecycle.JobIdle)
	}
	s.observer.TaskChanged(t, from)
	if t.Job.Gang() {
		s.stopAll(t.Job)
	}
}

// finishLive releases the capacity of a live task and ends it. If a task of a gang ends without
// an answer, the whole job is cancelled and fails for the same reason.
func (s *State) finishLive(t *Task, o *apiv1.Outcome) {
	from := t.State
	s.detach(t)
	s.finish(t, from, o)
	if t.Job.Gang() && o.Kind != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED && t.Job.State != lifecycle.JobEnded {
		s.cancelJob(t.Job, failed(o.Reason, "task %d of the gang ended: %s", t.Index, o.Detail))
	}
}

// finish ends a task that holds no capacity, and the job with its last task.
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
	s.removeFromQueue(j)
	s.observer.JobEnded(j)
}

// severity ranks the kinds of outcomes; see endJob.
var severity = [...]int{
	apiv1.OutcomeKind_OUTCOME_KIND_UNSPECIFIED:  0,
	apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED:     0,
	apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED:     1,
	apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:      2,
	apiv1.OutcomeKind_OUTCOME_KIND_CANCELLED:    3,
	apiv1.OutcomeKind_OUTCOME_KIND_FAILED:       4,
	apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED: 5,
}

// worse returns the more severe outcome, and a if both are equal. A nil outcome is the
// least severe.
func worse(a, b *apiv1.Outcome) *apiv1.Outcome {
	if a == nil || b != nil && severity[b.Kind] > severity[a.Kind] {
		return b
	}
	return a
}
