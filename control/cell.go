package control

import (
	"fmt"
	"strings"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// newCell returns a scheduler cell with the teams, failure domains and upstreams of the state;
// jobs are added with addJob.
func newCell(settings sched.Settings, st *state.State) *sched.Cell {
	c := sched.NewCell(settings)
	c.SetTime(time.Now())
	for _, t := range st.Teams() {
		c.PutTeam(schedTeam(t))
	}
	for _, d := range st.Domains() {
		c.PutDomain(schedDomain(d))
	}
	for _, u := range st.Upstreams() {
		c.PutUpstream(schedUpstream(u))
	}
	return c
}

// addJob adds a job that has not ended, and its tasks, to a cell.
func addJob(c *sched.Cell, j *state.Job) {
	c.AddJob(schedJob(j))
	for i := range j.Tasks {
		c.SetTask(schedTaskStatus(&j.Tasks[i]))
	}
}

// schedTeam and the functions below convert replicated state to the scheduler's types.
func schedTeam(t *state.Team) sched.Team {
	return sched.Team{Name: t.Name, Share: t.Share, Limit: t.Limit}
}

func schedDomain(d *state.Domain) sched.Domain {
	return sched.Domain{Name: d.Name, Out: d.Out, Notice: d.Notice}
}

func schedUpstream(u *state.Upstream) sched.Upstream {
	return sched.Upstream{Name: u.Name, Incarnation: u.Incarnation, Domain: u.Domain, Rack: u.Rack, Capacity: u.Capacity,
		Active: u.State == lifecycle.UpstreamActive, Leaving: u.State == lifecycle.UpstreamLeaving}
}

func schedJob(j *state.Job) sched.Job {
	out := sched.Job{ID: sched.JobID(j.ID), Team: j.Team, Class: j.Spec.Class, Queue: j.Queue, RequestID: j.RequestID,
		Policy: schedPolicy(j.Spec.Policy), Urgent: j.Spec.Urgent, Repeatable: j.Spec.Repeatable,
		Submitted: time.Unix(0, j.SubmittedNS), Expected: time.Duration(j.Spec.ExpectedMs) * time.Millisecond}
	for i := range j.Tasks {
		out.Needs = append(out.Needs, state.TaskNeed(j.Tasks[i].Spec))
	}
	return out
}

func schedPolicy(p apiv1.Policy) sched.Policy {
	switch p {
	case apiv1.Policy_POLICY_SERVICE:
		return sched.Service
	case apiv1.Policy_POLICY_GANG:
		return sched.Gang
	}
	return sched.Batch
}

func schedRef(r state.TaskRef) sched.TaskRef {
	return sched.TaskRef{Job: sched.JobID(r.Job), Index: r.Index, Attempt: r.Attempt}
}

// refProto returns the scheduler's reference to a task as the API has it.
func refProto(r sched.TaskRef) *apiv1.TaskRef {
	return &apiv1.TaskRef{JobId: uint64(r.Job), Task: r.Index, Attempt: r.Attempt}
}

// phases maps the states of tasks to those of the scheduler.
var phases = map[lifecycle.TaskState]sched.Phase{
	lifecycle.TaskWaiting:  sched.Waiting,
	lifecycle.TaskPlaced:   sched.Placed,
	lifecycle.TaskRunning:  sched.Running,
	lifecycle.TaskStopping: sched.Stopping,
	lifecycle.TaskEnded:    sched.Ended,
}

func schedTaskStatus(t *state.Task) sched.TaskStatus {
	s := sched.TaskStatus{Ref: schedRef(t.Ref()), Phase: phases[t.State], Reserved: t.Reserved}
	if t.Upstream != nil {
		s.Upstream = t.Upstream.Name
	}
	if t.NotBeforeNS != 0 {
		s.NotBefore = time.Unix(0, t.NotBeforeNS)
	}
	return s
}

// observer updates the cell, sessions and waiting calls after each change of the state.
type observer Controller

// TeamChanged implements state.Observer.
func (o *observer) TeamChanged(t *state.Team) {
	o.cell.PutTeam(schedTeam(t))
	o.dirty = true
}

// DomainChanged implements state.Observer.
func (o *observer) DomainChanged(d *state.Domain) {
	o.cell.PutDomain(schedDomain(d))
	o.dirty = true
}

// UpstreamChanged implements state.Observer.
func (o *observer) UpstreamChanged(u *state.Upstream) {
	c := (*Controller)(o)
	c.cell.PutUpstream(schedUpstream(u))
	c.syncSession(u)
	c.dirty = true
	c.event(&apiv1.Event{Kind: "upstream-" + string(u.State), Upstream: u.Name,
		Detail: fmt.Sprintf("incarnation %d in %s, rack %s, VM %s", u.Incarnation, u.Domain, u.Rack, u.VM)})
}

// JobAdded implements state.Observer.
func (o *observer) JobAdded(j *state.Job) {
	c := (*Controller)(o)
	c.cell.AddJob(schedJob(j))
	c.watchDeadline(j)
	c.dirty = true
	c.event(jobEvent("job-accepted", j, fmt.Sprintf("%d tasks in queue %s", len(j.Tasks), j.Queue)))
}

// JobEnded implements state.Observer.
func (o *observer) JobEnded(j *state.Job) {
	c := (*Controller)(o)
	c.cell.RemoveJob(sched.JobID(j.ID))
	c.dropGang(j.ID)
	c.answerWaiters(j)
	c.event(jobEvent("job-ended", j, strings.TrimSuffix(state.KindText(j.Outcome)+": "+j.Outcome.GetDetail(), ": ")))
}

// TaskChanged implements state.Observer.
func (o *observer) TaskChanged(t *state.Task, from lifecycle.TaskState) {
	c := (*Controller)(o)
	c.cell.SetTask(schedTaskStatus(t))
	c.taskChanged(t, from)
	c.gangChanged(t)
	c.dirty = true
	e := jobEvent("task-"+string(t.State), t.Job, fmt.Sprintf("task %d attempt %d, was %s", t.Index, t.Attempt, from))
	if t.Upstream != nil {
		e.Upstream = t.Upstream.Name
	}
	c.event(e)
}

// ConfigChanged implements state.Observer.
func (o *observer) ConfigChanged(revision uint64) {
	c := (*Controller)(o)
	c.answerAllViews()
	c.event(&apiv1.Event{Kind: "config", Revision: revision})
}

func jobEvent(kind string, j *state.Job, detail string) *apiv1.Event {
	return &apiv1.Event{Kind: kind, JobId: uint64(j.ID), RequestId: j.RequestID, Team: j.Team, Detail: detail}
}
