package dispatch

import (
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
)

// isCopy reports whether a run was placed beside another one of its task.
func isCopy(r *pipeline.Run) bool { return !r.Task.Step.Spec.GetGang() && len(r.Task.Live) > 1 }

// learnRunTime records how long a run took, if this leader knows when it started. A run that was stopped because
// its task was done would have taken longer.
func (s *session) learnRunTime(r *pipeline.Run, kind pipelinev1.EndKind) {
	at, answered := s.answeredAt[r.Key()]
	if !answered || s.adopted[r.Key()] {
		return
	}
	switch {
	case kind == pipelinev1.EndKind_END_KIND_DONE:
		s.e.cell.Learner.RecordRun(r, s.e.now()-at, s.e.work(r.Task.Step))
	case kind == pipelinev1.EndKind_END_KIND_STOPPED && r.Task.Done:
		s.e.cell.Learner.RecordCut(r, s.e.now()-at)
	}
}

// recordCopyEnd records whether a copy or the first run of a task was done first. It is the copy that has the higher
// number. Copies of runs on upstreams that do not answer tell nothing of the others of their queue.
func (e *Engine) recordCopyEnd(r *pipeline.Run, kind pipelinev1.EndKind) {
	if kind != pipelinev1.EndKind_END_KIND_DONE || r.Task.Step.Spec.GetGang() || len(r.Task.Live) == 0 {
		return
	}
	first, copyDone := r, r.Number > r.Task.Live[0].Number
	if copyDone {
		first = r.Task.Live[0]
		copiesEndedFirst.Add(1)
	}
	if s := e.sessions[first.Upstream.GetId()]; s != nil && !s.silent() {
		e.cell.Learner.RecordCopy(first, copyDone)
	}
}

// logCopies logs the copies of a round.
func (e *Engine) logCopies(d placement.Decision) {
	copiesRefused.Add(int64(d.CopiesRefused))
	for _, c := range d.Copies {
		key := c.Of.Key()
		e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", c.Run.GetNumber()).
			Str("upstream", c.Run.GetUpstream()).Str("first_upstream", c.Of.Upstream.GetId()).Str("why", string(c.Reason)).
			Dur("ran", c.Ran).Dur("remaining", c.Remaining).Dur("copy_takes", c.Takes).Float64("win_share", c.WinShare).
			Msg("task gets a copy")
	}
}
