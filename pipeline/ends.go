package pipeline

import (
	"slices"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// defaultMaxAttempts is the number of failed runs of a task after which its job fails, if the job's
// queue sets none.
const defaultMaxAttempts = 3

// applyEnds records ends of runs. An end of an unknown run only advances the upstream's LastEnd;
// an end on an incarnation that is not the current one is ignored.
func (s *State) applyEnds(c *pipelinev1.Ends) {
	for _, e := range c.GetEnds() {
		u := s.upstreams[e.GetRun().GetUpstream()]
		if u == nil || u.GetBorn() != e.GetRun().GetBorn() {
			continue
		}
		u.LastEnd = max(u.LastEnd, e.GetListed())
		if r := u.Runs[RunKey{TaskKeyOf(e.GetRun().GetTask()), e.GetRun().GetNumber()}]; r != nil {
			s.endRun(r, e)
		}
	}
}

// endRun releases the run's resources and updates its task, step and job by the kind of the end.
func (s *State) endRun(r *Run, e *pipelinev1.End) {
	s.release(r)
	t := r.Task
	if e.GetStarted() || e.GetListed() > 0 {
		t.Step.Job().Begun = true
	}
	if e.GetCheckpoint() != "" {
		s.saveCheckpoint(t, e.GetCheckpoint())
	}
	if e.GetListed() > 0 && !s.endedWithinCrashWindow(r) {
		t.Crashes, t.EarlyCrashes = 0, 0
	}
	switch e.GetKind() {
	case pipelinev1.EndKind_END_KIND_DONE:
		s.runDone(t)
	case pipelinev1.EndKind_END_KIND_FAILED:
		s.runFailed(r)
	case pipelinev1.EndKind_END_KIND_CRASHED:
		s.runCrashed(r, e.GetEarly())
	case pipelinev1.EndKind_END_KIND_EXPIRED:
		s.runExpired(r)
	}
	s.failExhaustedJob(t)
	s.observer.RunEnded(r, e.GetKind())
}

// saveCheckpoint stores what the next run resumes from; all members of a gang get the same.
func (s *State) saveCheckpoint(t *Task, checkpoint string) {
	if !t.Step.Spec.GetGang() {
		t.Checkpoint = checkpoint
		return
	}
	for _, m := range t.Step.Tasks {
		m.Checkpoint = checkpoint
	}
}

// runDone marks the task of a successful run as done, and with it all members of its gang. Lasting
// tasks are never done.
func (s *State) runDone(t *Task) {
	if t.Step.Spec.GetLasting() {
		return
	}
	if !t.Step.Spec.GetGang() {
		s.markTaskDone(t)
		return
	}
	for _, m := range t.Step.Tasks {
		s.markTaskDone(m)
	}
}

// runFailed counts a failed attempt. A gang's run counts once, however many of its members fail.
// Lasting tasks may fail without bound.
func (s *State) runFailed(r *Run) {
	t, st := r.Task, r.Task.Step
	if t.Done || st.Spec.GetLasting() {
		return
	}
	if !st.Spec.GetGang() {
		t.Failures++
		return
	}
	if r.Number > st.FailedRun {
		st.FailedRun = r.Number
		st.Failures++
	}
}

// failExhaustedJob fails the job of a task that is given up. While a copy of the task is still
// running, the job goes on, because the copy may still succeed.
func (s *State) failExhaustedJob(t *Task) {
	st := t.Step
	if t.Done || st.Job().Ended() || !s.Exhausted(t) || !st.Spec.GetGang() && len(t.Live) > 0 {
		return
	}
	s.endJob(st.Job(), lifecycle.PipelineFail)
}

// Exhausted reports whether a task is given up: it, or the gang that it is in, has used up its
// attempts, or it crashes its upstreams. Lasting tasks have no limit of attempts.
func (s *State) Exhausted(t *Task) bool {
	if t.CrashesUpstreams() {
		return true
	}
	return !t.Step.Spec.GetLasting() && max(t.Failures, t.Step.Failures) >= s.maxAttempts(t.Step.Job())
}

// maxAttempts returns the attempts that the job's queue allows.
func (s *State) maxAttempts(j *Job) int32 {
	if n := s.JobQueue(j).GetMaxAttempts(); n > 0 {
		return n
	}
	return defaultMaxAttempts
}

// LiveRuns returns all runs of the job that may exist at an upstream, ordered by occurrence, step
// and task.
func (j *Job) LiveRuns() []*Run {
	var out []*Run
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			out = append(out, st.LiveRuns()...)
		}
	}
	return out
}

// LiveRuns returns all runs of the step that may exist at an upstream, ordered by task.
func (s *Step) LiveRuns() []*Run {
	var out []*Run
	for _, t := range s.Tasks {
		out = append(out, t.Live...)
	}
	return slices.Clip(out)
}
