package state

import (
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// cancel cancels the named requests or all of the team's jobs in a queue.
func (s *State) cancel(c *peerv1.Cancel) *apiv1.CancelResponse {
	req := c.GetRequest()
	response := &apiv1.CancelResponse{}
	team, refusal := s.Authorize(c.KeySha256, req.GetQueue())
	if refusal != nil {
		// The request may still run, so the outcome must not be "not run". An earlier send may have cancelled it.
		refusal = undetermined(refusal.Reason, "not cancelled by this call: %s", refusal.Detail)
	}
	ids := req.GetRequestIds()
	if refusal == nil && req.GetWholeQueue() {
		ids = s.unendedRequests(team, req.GetQueue())
	}
	for _, id := range ids {
		o := refusal
		if o == nil {
			o = s.cancelRequest(c, team, id)
		}
		response.Results = append(response.Results, &apiv1.CancelResult{RequestId: id, Outcome: o})
	}
	return response
}

// unendedRequests returns the request IDs of the jobs in a queue that have not ended and that a team may access there, in
// order of job ID.
func (s *State) unendedRequests(team, queue string) []string {
	var ids []string
	for _, id := range sortedKeys(s.unendedByQueue[queue]) {
		if j := s.unendedByQueue[queue][id]; s.mayAccess(queue, team, j) {
			ids = append(ids, j.RequestID)
		}
	}
	return ids
}

// cancelRequest cancels one request for a team. An unknown request is recorded as cancelled, so that it
// does not run if its submission arrives late.
func (s *State) cancelRequest(c *peerv1.Cancel, team, id string) *apiv1.Outcome {
	key, queue := RequestKey{team, id}, c.GetRequest().GetQueue()
	if !ValidName(key.ID) {
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "request_id must have 1 to %d printable characters", maxNameBytes)
	}
	known := s.RequestAt(queue, team, id)
	if known == nil {
		unknown := &Request{Key: key, Refusal: cancelled("cancelled before it arrived")}
		if c.GetStableIdentities() {
			unknown.Queue = queue
		}
		if !s.recordRefusal(unknown) {
			return undetermined(apiv1.Reason_REASON_OVERLOADED, "request %q is not known; cancel it again, since it may still arrive", key.ID)
		}
		return undetermined(apiv1.Reason_REASON_NOT_FOUND,
			"request %q is not known or no longer remembered; it will not be run if it arrives later", key.ID)
	}
	if known.Refusal != nil {
		return known.Refusal
	}
	j := s.jobs.get(known.Job)
	if j == nil {
		return undetermined(apiv1.Reason_REASON_IDENTITY_TOO_OLD, "the job ended and is no longer remembered")
	}
	s.cancelJob(j, nil)
	if j.State == lifecycle.JobEnded {
		return j.Outcome
	}
	return &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED, Reason: apiv1.Reason_REASON_CANCELLED_BY_CALLER,
		Detail: "the job is on upstreams and is being stopped; wait for its outcome"}
}

// cancelJob ends the waiting tasks of a job and marks its live ones to be stopped. A non-nil
// cause becomes the outcome of the job instead of "cancelled".
func (s *State) cancelJob(j *Job, cause *apiv1.Outcome) {
	if j.State == lifecycle.JobEnded || j.State == lifecycle.JobCancelling {
		return
	}
	s.fireJob(j, lifecycle.JobCancel)
	j.Outcome = cause
	end := cause
	if end == nil {
		end = cancelled("cancelled before it was on any upstream")
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.State == lifecycle.TaskWaiting:
			s.finish(t, lifecycle.TaskWaiting, end)
		case t.Live():
			s.stopTask(t, false)
		}
	}
}

// stop marks live attempts to be stopped, after a checkpoint if the command asks for one. A
// pending stop with a checkpoint may be changed to one without, but not the reverse.
func (s *State) stop(c *peerv1.Stop) bool {
	changed := false
	for _, r := range c.GetTasks() {
		t := s.task(RefFromProto(r))
		if t == nil || !t.Live() || t.State == lifecycle.TaskStopping && (c.GetCheckpoint() || !t.Checkpointing) {
			continue
		}
		s.stopTask(t, c.GetCheckpoint())
		changed = true
	}
	return changed
}

func (s *State) stopAll(j *Job) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Live() && t.State != lifecycle.TaskStopping {
			s.stopTask(t, false)
		}
	}
}

func (s *State) stopTask(t *Task, checkpoint bool) {
	from := t.State
	s.fire(t, lifecycle.TaskStop)
	t.Checkpointing = checkpoint
	s.observer.TaskChanged(t, from)
}

// withdraw removes placements of attempts that, according to the leader, were never started on
// their upstreams. It ignores attempts that were reported as running.
func (s *State) withdraw(c *peerv1.Withdraw) bool {
	changed := false
	for _, r := range c.GetTasks() {
		t := s.task(RefFromProto(r))
		if t != nil && t.Live() && !t.Started {
			s.release(t, lifecycle.TaskWithdraw)
			changed = true
		}
	}
	return changed
}

// refuse ends a waiting job that, according to the scheduler, can never run or has missed its
// start deadline.
func (s *State) refuse(c *peerv1.Refuse) bool {
	j := s.jobs.get(JobID(c.GetJobId()))
	if j == nil || j.State != lifecycle.JobWaiting {
		return false
	}
	o := c.GetOutcome()
	for i := range j.Tasks {
		if j.Tasks[i].Attempt > 1 || j.Tasks[i].State == lifecycle.TaskEnded {
			// An attempt may have run, in which case "not run" would be false.
			o = failed(o.GetReason(), "%s", o.GetDetail())
			break
		}
	}
	s.cancelJob(j, o)
	return true
}
