package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	"github.com/rs/zerolog"
)

const (
	// fullPercent is the percent of a lasting task that is at work.
	fullPercent = 100
	// workingValidity is how long a task counts as being at work after its upstream has listed it so. Status requests
	// of a session in order are answered more often.
	workingValidity = 3 * time.Second
)

// recordWorking records whether the upstream lists a lasting run as at work.
func (s *session) recordWorking(run *pipeline.Run, shown RunningTask, now time.Duration) {
	if !run.Task.Step.Spec.GetLasting() {
		return
	}
	if shown.Percent < fullPercent {
		delete(s.workingAt, shown.Run)
		return
	}
	s.workingAt[shown.Run] = now
}

// working reports whether a lasting run is at work, as far as its upstream has told lately, and no order ends it.
func (s *session) working(key pipeline.RunKey, now time.Duration) bool {
	at, listed := s.workingAt[key]
	return s.phase == lifecycle.SessionOpen && !s.stopping[key] && listed && now-at < workingValidity
}

// checkProgress stops a run that uses no CPU at all although its task should be working, so that
// the task can continue elsewhere.
func (s *session) checkProgress(run *pipeline.Run, shown RunningTask, now time.Duration) {
	at, answered := s.answeredAt[shown.Run]
	st := run.Task.Step
	if st.Spec.GetLasting() || st.Spec.GetGang() || !shown.UsageKnown || shown.Usage > 0 || !answered || now-at < stallAfter {
		delete(s.idleSince, shown.Run)
		return
	}
	since, idle := s.idleSince[shown.Run]
	if !idle {
		s.idleSince[shown.Run] = now
		return
	}
	if now-since < stallAfter || s.stopping[shown.Run] {
		return
	}
	runsStalled.Add(1)
	s.logger(zerolog.WarnLevel).Str("request", shown.Run.Job).Int32("step", shown.Run.Step).Int32("task", shown.Run.Index).Int32("run", shown.Run.Number).
		Dur("idle", now-since).Msg("run is stalled; stopping it so that its task can continue elsewhere")
	s.avoidUntil = now + stallPause
	if w := s.e.cell.Steps[st]; w != nil {
		w.Avoided[s.u.GetId()] = now + stepAvoidTime
	}
	s.enqueueStop(run, "the run is stalled")
}
