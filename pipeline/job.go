package pipeline

import (
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// JobState is the state of a job as callers see it.
type JobState = lifecycle.PipelineState

// Job states.
const (
	// Queued means that no run of the job has been placed.
	Queued = lifecycle.PipelineQueued
	// Running means that a run has been placed and the job has not ended. The run may not have started yet.
	Running = lifecycle.PipelineRunning
	// Completed means that all tasks of all occurrences are done.
	Completed = lifecycle.PipelineCompleted
	// Failed means that a task or gang has used up its attempts.
	Failed = lifecycle.PipelineFailed
	// Cancelled means that the caller cancelled the job.
	Cancelled = lifecycle.PipelineCancelled
)

// Job is one accepted job.
type Job struct {
	// Spec is the job as it was submitted, with its ID and queue.
	Spec *pipelinev1.JobSpec
	// Team is the name of the team that the job belongs to, which submitted it under this name or another one; empty for a
	// call without a known key on an open queue.
	Team string
	// KeySHA256 is the SHA-256 of the key that it was submitted with. It is empty for a call without a key, and where an
	// older version has not recorded it.
	KeySHA256 []byte
	// AcceptedQueue is the queue as it was when the job was accepted.
	AcceptedQueue *pipelinev1.Queue
	// route is that of AcceptedQueue, queue what State.JobQueue returns.
	route Route
	queue *pipelinev1.Queue
	// Digest is the SHA-256 of the submission with the queue's name. Replicas of older versions tell a retry from
	// another job by it; see sameContent.
	Digest []byte
	// State is the state as callers see it.
	State JobState
	// SubmittedNS is the leader time of acceptance, in Unix nanoseconds.
	SubmittedNS int64
	// EndedNS is the leader time at which the job ended, in Unix nanoseconds; zero before.
	EndedNS int64
	// Begun is set once a run that its upstream is known to have started has ended.
	Begun bool
	// Occurrences are the repetitions of the steps; a job that does not repeat has one.
	Occurrences []*Occurrence
	// undone counts occurrences with a step that isn't done.
	undone int
}

// Occurrence is one repetition of a job's steps.
type Occurrence struct {
	// Job is the job that the occurrence belongs to.
	Job *Job
	// Index is the position in Job.Occurrences.
	Index int32
	// DueNS is the Unix time in nanoseconds before which nothing starts; zero means at once.
	DueNS int64
	// Steps are in the order of the specification.
	Steps []*Step
	// undone counts steps with a task that isn't done.
	undone int
}

// Step is one step of an occurrence.
type Step struct {
	// Occurrence is the occurrence that the step belongs to.
	Occurrence *Occurrence
	// Index is the position in Occurrence.Steps.
	Index int32
	// Spec is the step as it was submitted.
	Spec *pipelinev1.Step
	// Need is the amount that each task reserves on its upstream.
	Need Resources
	// Tasks are all tasks of the step.
	Tasks []*Task
	// LastRun is the highest run number of all tasks. The members of a gang share it.
	LastRun int32
	// Failures counts the failed runs of a gang as a whole; it stays zero for other steps.
	Failures int32
	// FailedRun is the number of the last failed run of a gang.
	FailedRun int32
	// Undone counts tasks that aren't done.
	Undone int
}

// Task is one task of a step.
type Task struct {
	// Step is the step that the task belongs to.
	Step *Step
	// Index is the position in Step.Tasks.
	Index int32
	// Done is set once a run has succeeded.
	Done bool
	// Failures counts the failed runs of a task that is not a member of a gang.
	Failures int32
	// LastRun is the highest run number of the task.
	LastRun int32
	// Checkpoint is what the next run resumes from; empty for none.
	Checkpoint string
	// Live are the runs that may exist at an upstream.
	Live []*Run
	// Crashes counts the runs whose upstream crashed, EarlyCrashes those whose upstream crashed soon
	// after their start. Both are counted since the last run that ended on its upstream after more than crashWindow.
	Crashes, EarlyCrashes int32
	// Expired are the runs that ended when their lease expired, as long as it is not known whether
	// their upstreams crashed.
	Expired []*Run
}

// Run is one start of a task that may exist at an upstream.
type Run struct {
	// Task is the task that runs.
	Task *Task
	// Number is unique among the runs of a task and increases; the members of a gang run under one
	// number.
	Number int32
	// Upstream is where the run was placed.
	Upstream *Upstream
	// Born identifies the incarnation of the upstream by its start time, in Unix milliseconds.
	Born int64
	// PlacedNS is the leader time at which the run was placed, in Unix nanoseconds.
	PlacedNS int64
}

// TaskKey identifies a task by value.
type TaskKey struct {
	// Job is the job's ID.
	Job string
	// Occurrence, Step and Index are the positions of the occurrence in the job, of the step in the
	// occurrence and of the task in the step.
	Occurrence, Step, Index int32
}

// RunKey identifies a run by value.
type RunKey struct {
	TaskKey
	// Number is the run number.
	Number int32
}

// TaskKeyOf returns the key that a TaskRef message holds.
func TaskKeyOf(t *pipelinev1.TaskRef) TaskKey {
	return TaskKey{t.GetJob(), t.GetOccurrence(), t.GetStep(), t.GetIndex()}
}

// Proto returns the key as a message.
func (k TaskKey) Proto() *pipelinev1.TaskRef {
	return &pipelinev1.TaskRef{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index}
}

// Job returns the job that the step belongs to.
func (s *Step) Job() *Job { return s.Occurrence.Job }

// Ready reports whether all steps that this one depends on are done.
func (s *Step) Ready() bool {
	for _, d := range s.Spec.GetDependsOn() {
		if s.Occurrence.Steps[d].Undone > 0 {
			return false
		}
	}
	return true
}

// RunsOn reports whether a run of the task may be on an upstream.
func (t *Task) RunsOn(u *Upstream) bool {
	for _, r := range t.Live {
		if r.Upstream == u {
			return true
		}
	}
	return false
}

// Key returns the key of the task.
func (t *Task) Key() TaskKey {
	return TaskKey{t.Step.Job().Spec.GetId(), t.Step.Occurrence.Index, t.Step.Index, t.Index}
}

// Waiting reports whether the task is not done, has no run and may get one.
func (t *Task) Waiting() bool { return !t.Done && len(t.Live) == 0 && !t.Held() }

// Key returns the key of the run.
func (r *Run) Key() RunKey { return RunKey{r.Task.Key(), r.Number} }

// Proto returns the run as a message.
func (r *Run) Proto() *pipelinev1.Run {
	return &pipelinev1.Run{Task: r.Task.Key().Proto(), Number: r.Number, Upstream: r.Upstream.GetId(), Born: r.Born}
}

// Ended reports whether the job is completed, failed or cancelled. Runs of it may still exist.
func (j *Job) Ended() bool { return j.State != Queued && j.State != Running }

// HasLastingStep reports whether the job has a lasting step, which runs until the job is cancelled.
func (j *Job) HasLastingStep() bool {
	for _, s := range j.Spec.GetSteps() {
		if s.GetLasting() {
			return true
		}
	}
	return false
}

const nsPerMs = 1_000_000

// owner returns whose the job is.
func (j *Job) owner() owner { return owner{j.Team, j.KeySHA256} }

// newJob builds the occurrences, steps and tasks of an accepted job.
func newJob(spec *pipelinev1.JobSpec, by owner, queue *pipelinev1.Queue, digest []byte, nowNS int64) *Job {
	j := &Job{Spec: spec, Team: by.team, KeySHA256: by.keySHA256, AcceptedQueue: queue, route: RouteOf(queue), queue: queue, Digest: digest, State: Queued, SubmittedNS: nowNS}
	count := max(1, spec.GetRepeatCount())
	for k := range count {
		o := &Occurrence{Job: j, Index: k, undone: len(spec.GetSteps())}
		if spec.GetRepeatCount() > 0 {
			o.DueNS = (spec.GetStartAtMs() + int64(k)*spec.GetPeriodMs()) * nsPerMs
		}
		for i, st := range spec.GetSteps() {
			o.Steps = append(o.Steps, newStep(o, int32(i), st))
		}
		j.Occurrences = append(j.Occurrences, o)
	}
	j.undone = int(count)
	return j
}

// newStep builds a step and its tasks.
func newStep(o *Occurrence, index int32, spec *pipelinev1.Step) *Step {
	s := &Step{Occurrence: o, Index: index, Spec: spec, Need: ResourcesFromProto(spec.GetNeed()), Undone: int(spec.GetCount())}
	tasks := make([]Task, spec.GetCount())
	for i := range tasks {
		tasks[i] = Task{Step: s, Index: int32(i)}
		s.Tasks = append(s.Tasks, &tasks[i])
	}
	return s
}

// markTaskDone marks a task as done, and ends its job if that was the last task.
func (s *State) markTaskDone(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	st := t.Step
	st.Undone--
	if st.Undone > 0 {
		return
	}
	o := st.Occurrence
	o.undone--
	s.observer.StepDone(st)
	if o.undone > 0 {
		return
	}
	o.Job.undone--
	if o.Job.undone == 0 && !o.Job.Ended() {
		s.endJob(o.Job, lifecycle.PipelineComplete)
	}
}

// endJob ends a job by a transition to a final state.
func (s *State) endJob(j *Job, trigger lifecycle.PipelineTrigger) {
	if j.State == Queued {
		s.addPending(j, -1)
	}
	j.transition(trigger)
	j.EndedNS = s.nowNS
	forgetExpiredOf(j)
	s.endedJobs = append(s.endedJobs, j)
	s.observer.JobEnded(j)
}

// transition changes the job's state. It panics if the transition is not permitted, which is a broken
// invariant.
func (j *Job) transition(trigger lifecycle.PipelineTrigger) {
	if err := lifecycle.Pipeline.Fire(&j.State, trigger); err != nil {
		panic("pipeline: job " + j.Spec.GetId() + ": " + err.Error())
	}
}
