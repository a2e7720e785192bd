package pipeline

import (
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// JobState is what a caller sees of a job.
type JobState = lifecycle.PipelineState

// Job states.
const (
	Queued    = lifecycle.PipelineQueued
	Running   = lifecycle.PipelineRunning
	Completed = lifecycle.PipelineCompleted
	Failed    = lifecycle.PipelineFailed
	Cancelled = lifecycle.PipelineCancelled
)

// Job is one accepted job.
type Job struct {
	Spec *pipelinev1.JobSpec
	Team string
	// Terms is the queue as it was when the job was accepted.
	Terms       *pipelinev1.Queue
	Digest      []byte
	State       JobState
	SubmittedNS int64
	EndedNS     int64
	// Begun is set once a run was placed.
	Begun       bool
	Occurrences []*Occurrence
	// undone counts occurrences with a step that isn't done.
	undone int
}

// Occurrence is one repetition of a job's steps.
type Occurrence struct {
	Job   *Job
	Index int32
	// DueNS is the Unix time in nanoseconds before which nothing starts; zero means at once.
	DueNS int64
	Steps []*Step
	// undone counts steps with a task that isn't done.
	undone int
}

// Step is one step of an occurrence.
type Step struct {
	Occurrence *Occurrence
	Index      int32
	Spec       *pipelinev1.Step
	Need       Resources
	Tasks      []*Task
	// LastRun is the highest run number of a gang.
	LastRun int32
	// Failures counts failed runs of a gang, FailedRun is the last of them.
	Failures  int32
	FailedRun int32
	// Undone counts tasks that aren't done.
	Undone int
}

// Task is one task of a step.
type Task struct {
	Step       *Step
	Index      int32
	Done       bool
	Failures   int32
	LastRun    int32
	Checkpoint string
	// Live are the runs that may exist at an upstream.
	Live []*Run
}

// Run is one start of a task that may exist at an upstream.
type Run struct {
	Task     *Task
	Number   int32
	Upstream *Upstream
	// Born is the upstream's incarnation.
	Born int64
	// PlacedNS is the leader time of its commit.
	PlacedNS int64
}

// TaskKey names a task by value.
type TaskKey struct {
	Job                     string
	Occurrence, Step, Index int32
}

// RunKey names a run by value.
type RunKey struct {
	TaskKey
	Number int32
}

// KeyOf converts the message.
func KeyOf(t *pipelinev1.TaskRef) TaskKey {
	return TaskKey{t.GetJob(), t.GetOccurrence(), t.GetStep(), t.GetIndex()}
}

// Proto converts to the message.
func (k TaskKey) Proto() *pipelinev1.TaskRef {
	return &pipelinev1.TaskRef{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index}
}

// Job returns the job of the step.
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
func (t *Task) RunsOn(w *Upstream) bool {
	for _, r := range t.Live {
		if r.Upstream == w {
			return true
		}
	}
	return false
}

// Key names the task.
func (t *Task) Key() TaskKey {
	return TaskKey{t.Step.Job().Spec.GetId(), t.Step.Occurrence.Index, t.Step.Index, t.Index}
}

// Waiting reports whether the task has work left and no run.
func (t *Task) Waiting() bool { return !t.Done && len(t.Live) == 0 }

// Key names the run.
func (r *Run) Key() RunKey { return RunKey{r.Task.Key(), r.Number} }

// Proto converts to the message.
func (r *Run) Proto() *pipelinev1.Run {
	return &pipelinev1.Run{Task: r.Task.Key().Proto(), Number: r.Number, Upstream: r.Upstream.GetId(), Born: r.Born}
}

// Ended reports whether the job needs nothing any more.
func (j *Job) Ended() bool { return j.State != Queued && j.State != Running }

// Lasts reports whether a step of the job runs until the job is cancelled.
func (j *Job) Lasts() bool {
	for _, s := range j.Spec.GetSteps() {
		if s.GetLasting() {
			return true
		}
	}
	return false
}

const nsPerMs = 1_000_000

// newJob builds the tables of an accepted job.
func newJob(spec *pipelinev1.JobSpec, team string, terms *pipelinev1.Queue, digest []byte, nowNS int64) *Job {
	j := &Job{Spec: spec, Team: team, Terms: terms, Digest: digest, State: Queued, SubmittedNS: nowNS}
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

func newStep(o *Occurrence, index int32, spec *pipelinev1.Step) *Step {
	s := &Step{Occurrence: o, Index: index, Spec: spec, Need: ResourcesFromProto(spec.GetNeed()), Undone: int(spec.GetCount())}
	tasks := make([]Task, spec.GetCount())
	for i := range tasks {
		tasks[i] = Task{Step: s, Index: int32(i)}
		s.Tasks = append(s.Tasks, &tasks[i])
	}
	return s
}

// markTaskDone marks a task and whatever is complete with it.
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

func (s *State) endJob(j *Job, trigger lifecycle.PipelineTrigger) {
	if j.State == Queued {
		s.addPending(j, -1)
	}
	j.transition(trigger)
	j.EndedNS = s.nowNS
	s.endedJobs = append(s.endedJobs, j)
	s.observer.JobEnded(j)
}

// transition changes the job's state. A transition that is not permitted is a broken invariant.
func (j *Job) transition(trigger lifecycle.PipelineTrigger) {
	if err := lifecycle.Pipeline.Fire(&j.State, trigger); err != nil {
		panic("pipeline: job " + j.Spec.GetId() + ": " + err.Error())
	}
}
