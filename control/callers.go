package control

import (
	"crypto/sha256"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
	"google.golang.org/protobuf/proto"
)

// jobWaiter is a Wait call that is held until its job ends.
type jobWaiter struct {
	// reply answers the call.
	reply func(proto.Message, error)
}

// submit proposes a job; the state decides whether it is accepted.
func (c *Controller) submit(k call, req *apiv1.SubmitRequest) {
	cmd := &peerv1.Submit{KeySha256: k.key, Request: req, Digest: SubmitDigest(req)}
	c.propose(&peerv1.Command{Command: &peerv1.Command_Submit{Submit: cmd}}, func(r state.Result, err error) {
		k.finish(r.Submit, err)
	})
}

// SubmitDigest returns the SHA-256 hash of the parts of a request that stay the same when it is
// resent.
func SubmitDigest(req *apiv1.SubmitRequest) []byte {
	body := &apiv1.SubmitRequest{RequestId: req.GetRequestId(), Queue: req.GetQueue(), Job: req.GetJob(), StartWithinMs: req.GetStartWithinMs()}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		panic("control: request can't be encoded: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// cancel proposes to cancel jobs.
func (c *Controller) cancel(k call, req *apiv1.CancelRequest) {
	c.propose(&peerv1.Command{Command: &peerv1.Command_Cancel{Cancel: &peerv1.Cancel{KeySha256: k.key, Request: req, StableIdentities: true}}},
		func(r state.Result, err error) { k.finish(r.Cancel, err) })
}

// findJob returns the job that a key may read, or the refusal that its submission got.
func (c *Controller) findJob(key []byte, ref *apiv1.JobRef) (*state.Job, error) {
	if id := state.JobID(ref.GetJobId()); id != 0 {
		j := c.state.Job(id)
		if j == nil || !c.mayRead(key, j) {
			return nil, notFound("job %d is not known or no longer remembered", id)
		}
		return j, nil
	}
	team, refusal := c.state.Authorize(key, ref.GetQueue())
	if k := c.state.KeyByHash(key); refusal != nil && k != nil && k.Role == apiv1.KeyRole_KEY_ROLE_CALLER {
		// The queue may have been deleted since the request was accepted.
		team, refusal = k.Team, nil
	}
	if refusal != nil {
		// The refusal is of this lookup, and says nothing about whether the job ran; "not run"
		// would claim that it did not.
		return nil, refusalError{&apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Reason: refusal.Reason, Detail: refusal.Detail}}
	}
	known := c.state.RequestAt(ref.GetQueue(), team, ref.GetRequestId())
	switch {
	case known == nil:
		return nil, notFound("request %q is not known or no longer remembered", ref.GetRequestId())
	case known.Refusal != nil:
		return nil, refusalError{known.Refusal}
	}
	return c.state.Job(known.Job), nil
}

// mayRead reports whether a key may read a job: the key belongs to an operator or to the job's
// team, or the job's queue is open to it.
func (c *Controller) mayRead(key []byte, j *state.Job) bool {
	if c.state.AuthorizeOperator(key) == nil {
		return true
	}
	if k := c.state.KeyByHash(key); k != nil && k.Role == apiv1.KeyRole_KEY_ROLE_CALLER && k.Team == j.Team {
		return true
	}
	return c.state.MayAccess(key, j)
}

// withJob calls f with the job once the leadership is confirmed, so that f reads current state.
func (c *Controller) withJob(k call, ref *apiv1.JobRef, f func(*state.Job)) {
	c.whenConfirmed(func(ok bool) {
		if !ok {
			k.finish(nil, ErrNotLeader)
			return
		}
		j, err := c.findJob(k.key, ref)
		if err != nil {
			k.finish(nil, err)
			return
		}
		f(j)
	})
}

// get answers with the current view of a job.
func (c *Controller) get(k call, req *apiv1.GetRequest) {
	c.withJob(k, req.GetJob(), func(j *state.Job) { k.finish(&apiv1.GetResponse{Job: jobView(j)}, nil) })
}

// wait answers once a job has ended, or after the caller's maximum waiting time.
func (c *Controller) wait(k call, req *apiv1.WaitRequest) {
	c.withJob(k, req.GetJob(), func(j *state.Job) {
		if j.State == lifecycle.JobEnded || req.GetMaxWaitMs() <= 0 {
			k.finish(waitResponse(j), nil)
			return
		}
		w := &jobWaiter{reply: k.finish}
		c.waiters[j.ID] = append(c.waiters[j.ID], w)
		time.AfterFunc(time.Duration(req.GetMaxWaitMs())*time.Millisecond, func() {
			_ = c.node.Post(k.ctx, func() { c.expireWait(j, w) })
		})
	})
}

// expireWait answers a Wait call whose maximum waiting time has passed.
func (c *Controller) expireWait(j *state.Job, w *jobWaiter) {
	list := c.waiters[j.ID]
	for i, other := range list {
		if other == w {
			c.waiters[j.ID] = append(list[:i:i], list[i+1:]...)
			if len(c.waiters[j.ID]) == 0 {
				delete(c.waiters, j.ID)
			}
			w.reply(waitResponse(j), nil)
			return
		}
	}
}

// answerWaiters answers all Wait calls for a job.
func (c *Controller) answerWaiters(j *state.Job) {
	list := c.waiters[j.ID]
	delete(c.waiters, j.ID)
	for _, w := range list {
		w.reply(waitResponse(j), nil)
	}
}

func waitResponse(j *state.Job) *apiv1.WaitResponse {
	return &apiv1.WaitResponse{Job: jobView(j), Ended: j.State == lifecycle.JobEnded}
}

// explain answers with the scheduler's reasons for the current placement of a job.
func (c *Controller) explain(k call, req *apiv1.ExplainRequest) {
	c.withJob(k, req.GetJob(), func(j *state.Job) {
		k.finish(&apiv1.ExplainResponse{JobId: uint64(j.ID), Sentences: c.cell.Explain(sched.JobID(j.ID), time.Now())}, nil)
	})
}

// jobStates maps the states of jobs to those of the API.
var jobStates = map[lifecycle.JobState]apiv1.JobState{
	lifecycle.JobWaiting:    apiv1.JobState_JOB_STATE_WAITING,
	lifecycle.JobRunning:    apiv1.JobState_JOB_STATE_RUNNING,
	lifecycle.JobCancelling: apiv1.JobState_JOB_STATE_CANCELLING,
	lifecycle.JobEnded:      apiv1.JobState_JOB_STATE_ENDED,
}

// taskStates maps the states of tasks to those of the API.
var taskStates = map[lifecycle.TaskState]apiv1.TaskState{
	lifecycle.TaskWaiting:  apiv1.TaskState_TASK_STATE_WAITING,
	lifecycle.TaskPlaced:   apiv1.TaskState_TASK_STATE_PLACED,
	lifecycle.TaskRunning:  apiv1.TaskState_TASK_STATE_RUNNING,
	lifecycle.TaskStopping: apiv1.TaskState_TASK_STATE_STOPPING,
	lifecycle.TaskEnded:    apiv1.TaskState_TASK_STATE_ENDED,
}

// jobView returns a job as callers see it.
func jobView(j *state.Job) *apiv1.JobView {
	v := &apiv1.JobView{JobId: uint64(j.ID), Team: j.Team, RequestId: j.RequestID, Queue: j.Queue, Spec: j.Spec,
		State: jobStates[j.State], Outcome: j.Outcome}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		tv := &apiv1.TaskView{Index: t.Index, Attempt: t.Attempt, State: taskStates[t.State], Outcome: t.Outcome, Answer: t.Answer}
		if t.Upstream != nil {
			tv.Upstream = t.Upstream.Name
		}
		v.Tasks = append(v.Tasks, tv)
	}
	return v
}
