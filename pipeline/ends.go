package pipeline

import (
	"slices"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// defaultMaxAttempts bounds failed runs of a task when its queue sets no bound.
const defaultMaxAttempts = 3

// applyEnds records the applyEnds of runs. An end of an unknown run only moves the upstream's count.
func (s *State) applyEnds(c *pipelinev1.Ends) {
	for _, e := range c.GetEnds() {
		u := s.upstreams[e.GetRun().GetUpstream()]
		if u == nil || u.GetBorn() != e.GetRun().GetBorn() {
			continue
		}
		u.LastEnd = max(u.LastEnd, e.GetListed())
		if r := u.Runs[RunKey{KeyOf(e.GetRun().GetTask()), e.GetRun().GetNumber()}]; r != nil {
			s.endRun(r, e)
		}
	}
}

// endRun frees the run's room and decides what becomes of its task.
func (s *State) endRun(r *Run, e *pipelinev1.End) {
	s.release(r)
	t := r.Task
	if e.GetCheckpoint() != "" {
		s.saveCheckpoint(t, e.GetCheckpoint())
	}
	switch e.GetKind() {
	case pipelinev1.EndKind_END_KIND_DONE:
		s.runDone(t)
	case pipelinev1.EndKind_END_KIND_FAILED:
		s.runFailed(r)
	}
	s.failExhaustedJob(t)
	s.observer.RunEnded(r, e.GetKind())
}

// saveCheckpoint remembers what the next run resumes from; all members of a gang carry the same.
func (s *State) saveCheckpoint(t *Task, checkpoint string) {
	if !t.Step.Spec.GetGang() {
		t.Checkpoint = checkpoint
		return
	}
	for _, m := range t.Step.Tasks {
		m.Checkpoint = checkpoint
	}
}

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

// runFailed counts a failed attempt; the members of a gang fail together.
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

// failExhaustedJob ends the job of a task that has failed as often as it may, once no copy of it is
// left that could still be done.
func (s *State) failExhaustedJob(t *Task) {
	st := t.Step
	if t.Done || st.Job().Ended() || !s.Exhausted(t) || !st.Spec.GetGang() && len(t.Live) > 0 {
		return
	}
	s.endJob(st.Job(), lifecycle.PipelineFail)
}

// Exhausted reports whether a task has failed as often as it may.
func (s *State) Exhausted(t *Task) bool {
	if t.Step.Spec.GetLasting() {
		return false
	}
	return max(t.Failures, t.Step.Failures) >= s.maxAttempts(t.Step.Job())
}

func (s *State) maxAttempts(j *Job) int32 {
	if n := s.Terms(j).GetMaxAttempts(); n > 0 {
		return n
	}
	return defaultMaxAttempts
}

// LiveRuns returns all runs of a job, in order of their names.
func (j *Job) LiveRuns() []*Run {
	var out []*Run
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			out = append(out, st.LiveRuns()...)
		}
	}
	return out
}

// LiveRuns returns all runs of a step.
func (s *Step) LiveRuns() []*Run {
	var out []*Run
	for _, t := range s.Tasks {
		out = append(out, t.Live...)
	}
	return slices.Clip(out)
}
